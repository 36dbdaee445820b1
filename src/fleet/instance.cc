/** @file instance.cc Builds and parses the identifiers of engine instances. */
#include <charconv>
#include <string>
#include <string_view>

#include "fleet/instance_func.h"

namespace sapphire::fleet {

namespace {

constexpr char kMark = '@';

/** @return Position of the separator before the start time; npos if the text
 * has no start time. */
std::size_t MarkOf(std::string_view text) {
  const std::size_t mark = text.rfind(kMark);
  if (mark == std::string_view::npos || mark + 1 == text.size()) {
    return std::string_view::npos;
  }
  const bool is_time =
      text.find_first_not_of("0123456789", mark + 1) == std::string_view::npos;
  return is_time ? mark : std::string_view::npos;
}

}  // namespace

InstanceId MakeInstance(const EngineId& engine,
                        std::optional<EngineBirth> born) {
  if (!born) return InstanceId(engine.value());
  const auto millis = born->time_since_epoch().count();
  return InstanceId(engine.value() + kMark + std::to_string(millis));
}

EngineId EngineOf(const InstanceId& instance) {
  return EngineId(instance.value().substr(0, MarkOf(instance.value())));
}

std::optional<EngineBirth> BirthOf(const InstanceId& instance) {
  const std::string& text = instance.value();
  const std::size_t mark = MarkOf(text);
  if (mark == std::string::npos) return std::nullopt;
  std::chrono::milliseconds::rep millis = 0;
  const char* end = text.data() + text.size();
  std::from_chars(text.data() + mark + 1, end, millis);
  return EngineBirth(std::chrono::milliseconds(millis));
}

}  // namespace sapphire::fleet
