/** @file log_reader_func.h Reads event logs as core::Logger writes them. */
#ifndef SAPPHIRE_TIMELINE_LOG_READER_FUNC_H_
#define SAPPHIRE_TIMELINE_LOG_READER_FUNC_H_

#include <istream>
#include <optional>
#include <string_view>
#include <vector>

#include "timeline/event_type.h"

namespace sapphire::timeline {

/** What a log held. */
struct ReadLog {
  std::vector<Event> events;
  /** Lines that are no events, such as a crash's last words. */
  int other_lines = 0;
};

/** @return The event of one line; nothing if it is none. */
std::optional<Event> ParseLine(std::string_view line);

/** Reads a log to its end. */
ReadLog ReadEvents(std::istream& in);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_LOG_READER_FUNC_H_
