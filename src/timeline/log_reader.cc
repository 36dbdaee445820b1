/** @file log_reader.cc Reads event logs as core::Logger writes them. */
#include <charconv>
#include <string>
#include <utility>

#include "timeline/log_reader_func.h"

namespace sapphire::timeline {

namespace {

/** Consumes keys and values from the front of a key=value line. */
class LineScanner {
 public:
  explicit LineScanner(std::string_view rest) : rest_(rest) {}

  [[nodiscard]] bool AtEnd() {
    while (rest_.starts_with(' ')) rest_.remove_prefix(1);
    return rest_.empty();
  }

  /** @return The key; empty if no key=value pair follows. */
  std::string_view TakeKey() {
    const std::size_t end = rest_.find('=');
    if (end == std::string_view::npos) return {};
    const std::string_view key = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return key.find(' ') == std::string_view::npos ? key : std::string_view();
  }

  /** @return The value; nothing if its closing quote is missing. */
  std::optional<std::string> TakeValue() {
    if (rest_.starts_with('"')) return TakeQuoted();
    const std::string_view value = rest_.substr(0, rest_.find(' '));
    rest_.remove_prefix(value.size());
    return std::string(value);
  }

 private:
  std::optional<std::string> TakeQuoted() {
    std::string value;
    for (std::size_t i = 1; i < rest_.size(); ++i) {
      if (rest_[i] == '"') {
        rest_.remove_prefix(i + 1);
        return value;
      }
      if (rest_[i] == '\\' && i + 1 < rest_.size()) ++i;
      value += rest_[i];
    }
    return std::nullopt;
  }

  std::string_view rest_;
};

/** Parses a number of fixed width. */
std::optional<int> NumberAt(std::string_view text, std::size_t at,
                            std::size_t width) {
  if (at + width > text.size()) return std::nullopt;
  const char* begin = text.data() + at;
  int number = 0;
  const auto [end, ec] = std::from_chars(begin, begin + width, number);
  if (ec != std::errc() || end != begin + width) return std::nullopt;
  return number;
}

/** @param text As in 2026-12-02T20:41:29.012345Z. */
std::optional<core::WallTime> ParseTime(std::string_view text) {
  constexpr std::size_t kLength = 27;
  if (text.size() != kLength || text.back() != 'Z') return std::nullopt;
  const auto year = NumberAt(text, 0, 4);
  const auto month = NumberAt(text, 5, 2);
  const auto day = NumberAt(text, 8, 2);
  const auto hour = NumberAt(text, 11, 2);
  const auto minute = NumberAt(text, 14, 2);
  const auto second = NumberAt(text, 17, 2);
  const auto micros = NumberAt(text, 20, 6);
  if (!year || !month || !day || !hour || !minute || !second || !micros) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{
      std::chrono::year(*year),
      std::chrono::month(static_cast<unsigned>(*month)),
      std::chrono::day(static_cast<unsigned>(*day))};
  if (!date.ok()) return std::nullopt;
  const std::chrono::sys_days midnight = date;
  return midnight + std::chrono::hours(*hour) + std::chrono::minutes(*minute) +
         std::chrono::seconds(*second) + std::chrono::microseconds(*micros);
}

void SetField(Event& event, std::string_view key, std::string value) {
  if (key == "process") {
    event.process = std::move(value);
  } else if (key == "vm") {
    event.vm = core::VmId(std::move(value));
  } else if (key == "zone") {
    event.zone = core::ZoneId(std::move(value));
  } else if (key == "level") {
    event.level = std::move(value);
  } else if (key == "category") {
    event.category = std::move(value);
  } else if (key == "event") {
    event.name = std::move(value);
  } else if (key == "request") {
    event.request = core::RequestId(std::move(value));
  } else {
    event.fields.emplace_back(key, std::move(value));
  }
}

}  // namespace

std::optional<Event> ParseLine(std::string_view line) {
  LineScanner scanner(line);
  if (scanner.TakeKey() != "time") return std::nullopt;
  const auto time = ParseTime(scanner.TakeValue().value_or(""));
  if (!time) return std::nullopt;
  Event event;
  event.time = *time;
  while (!scanner.AtEnd()) {
    const std::string_view key = scanner.TakeKey();
    auto value = key.empty() ? std::nullopt : scanner.TakeValue();
    // The process died while it wrote the line: complete fields are kept.
    if (!value) break;
    SetField(event, key, std::move(*value));
  }
  if (event.name.empty()) return std::nullopt;
  return event;
}

ParsedLog ReadEvents(std::istream& in) {
  ParsedLog log;
  std::string line;
  while (std::getline(in, line)) {
    std::optional<Event> event = ParseLine(line);
    if (event) {
      log.events.push_back(std::move(*event));
    } else if (!line.empty()) {
      ++log.other_lines;
    }
  }
  return log;
}

}  // namespace sapphire::timeline
