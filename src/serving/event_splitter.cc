/** @file event_splitter.cc Splits a stream into complete events. */
#include <charconv>
#include <utility>

#include "serving/event_splitter_base.h"

namespace sapphire::serving {

namespace {

constexpr std::string_view kUnixEnd = "\n\n";
constexpr std::string_view kNetworkEnd = "\r\n\r\n";
constexpr std::string_view kLineEnds = "\r\n";

/** @return The number in the event's `id:` line. */
std::optional<std::int64_t> IdOf(std::string_view event) {
  static constexpr std::string_view kField = "id:";
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    std::int64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  buffer_ += bytes;
  const std::string_view all = buffer_;
  std::string whole;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = EndOfEvent(begin);
    if (end == 0) break;
    const std::string_view event = all.substr(begin, end - begin);
    has_events_ = true;
    if (Accept(event)) whole += event;
    begin = end;
  }
  buffer_.erase(0, begin);
  searched_ -= begin;
  return whole;
}

/** Searches on from where the last search ended, as an event may arrive in any
 * number of parts.
 * @return End of the event at `begin`; 0 if it is not complete. */
std::size_t EventSplitter::EndOfEvent(std::size_t begin) {
  const std::string_view all = buffer_;
  while (true) {
    const std::size_t line_end = all.find('\n', searched_);
    if (line_end == all.npos) {
      searched_ = all.size();
      return 0;
    }
    searched_ = line_end + 1;
    const std::string_view event = all.substr(begin, searched_ - begin);
    if (event.ends_with(kUnixEnd) || event.ends_with(kNetworkEnd)) {
      return searched_;
    }
  }
}

bool EventSplitter::IsInsideEvent() const {
  return buffer_.find_first_not_of(kLineEnds) != buffer_.npos;
}

std::string EventSplitter::TakeBlankLines() {
  searched_ = 0;
  return std::exchange(buffer_, {});
}

void EventSplitter::StartRun() {
  buffer_ = std::string();
  searched_ = 0;
  has_events_ = false;
}

bool EventSplitter::Accept(std::string_view event) {
  const std::optional<std::int64_t> id = IdOf(event);
  if (!id) return true;
  if (last_event_ && *id <= *last_event_) return false;
  last_event_ = id;
  return true;
}

}  // namespace sapphire::serving
