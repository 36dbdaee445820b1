/** @file instance.cc Builds and parses the identifiers of engine instances. */
#include <charconv>
#include <string>
#include <string_view>

#include "fleet/instance_func.h"

namespace sapphire::fleet {

namespace {

constexpr char kSeparator = '@';

/** @return Position of the separator before the start time; npos if the text
 * has no start time. */
std::size_t SeparatorPos(std::string_view text) {
  const std::size_t mark = text.rfind(kSeparator);
  if (mark == std::string_view::npos || mark + 1 == text.size()) {
    return std::string_view::npos;
  }
  const bool is_time =
      text.find_first_not_of("0123456789", mark + 1) == std::string_view::npos;
  return is_time ? mark : std::string_view::npos;
}

}  // namespace

InstanceId MakeInstance(const EngineId& engine,
                        std::optional<EngineStartTime> start_time) {
  if (!start_time) return InstanceId(engine.value());
  const auto millis = start_time->time_since_epoch().count();
  return InstanceId(engine.value() + kSeparator + std::to_string(millis));
}

EngineId EngineOf(const InstanceId& instance) {
  return EngineId(instance.value().substr(0, SeparatorPos(instance.value())));
}

std::optional<EngineStartTime> StartTimeOf(const InstanceId& instance) {
  const std::string& text = instance.value();
  const std::size_t mark = SeparatorPos(text);
  if (mark == std::string::npos) return std::nullopt;
  std::chrono::milliseconds::rep millis = 0;
  const char* end = text.data() + text.size();
  std::from_chars(text.data() + mark + 1, end, millis);
  return EngineStartTime(std::chrono::milliseconds(millis));
}

}  // namespace sapphire::fleet
