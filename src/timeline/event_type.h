/** @file event_type.h One logged event of one process. */
#ifndef SAPPHIRE_TIMELINE_EVENT_TYPE_H_
#define SAPPHIRE_TIMELINE_EVENT_TYPE_H_

#include <charconv>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::timeline {

/** One parsed line of an event log. */
struct Event {
  core::WallTime time;
  std::string process;
  core::VmId vm;
  core::ZoneId zone;
  std::string level;
  std::string category;
  std::string name;
  /** Empty if the event belongs to no request. */
  core::RequestId request;
  /** All other fields, in the order of the line. */
  std::vector<std::pair<std::string, std::string>> fields;
};

/** @return The value of a field in `fields`; empty if there is none. */
inline std::string FieldOf(const Event& event, std::string_view key) {
  for (const auto& [name, value] : event.fields) {
    if (name == key) return value;
  }
  return {};
}

/** @return The begin of what the event reports: its time less its duration,
 * which events of longer operations have in their field `took_ms`. */
inline core::WallTime BeginOf(const Event& event) {
  const std::string took = FieldOf(event, "took_ms");
  core::Millis::rep millis = 0;
  std::from_chars(took.data(), took.data() + took.size(), millis);
  return event.time - core::Millis(millis);
}

/** @return The name of the lane an event is drawn in: "process@vm". */
inline std::string LaneOf(const Event& event) {
  return event.process + "@" + event.vm.value();
}

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_EVENT_TYPE_H_
