/** @file event_splitter.cc Splits a stream into complete events. */
#include <charconv>
#include <utility>

#include "serving/event_splitter_base.h"

namespace sapphire::serving {

namespace {

constexpr std::string_view kUnixEnd = "\n\n";
constexpr std::string_view kNetworkEnd = "\r\n\r\n";
constexpr std::string_view kLineEnds = "\r\n";

/** @return Length of the first event; 0 if none is complete. */
std::size_t EndOfEvent(std::string_view bytes) {
  const std::size_t unix_end = bytes.find(kUnixEnd);
  const std::size_t network_end = bytes.find(kNetworkEnd);
  if (unix_end == bytes.npos && network_end == bytes.npos) return 0;
  if (unix_end < network_end) return unix_end + kUnixEnd.size();
  return network_end + kNetworkEnd.size();
}

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
  std::string whole;
  std::size_t begin = 0;
  while (true) {
    const std::string_view all = buffer_;
    const std::string_view left = all.substr(begin);
    const std::size_t size = EndOfEvent(left);
    if (size == 0) break;
    has_events_ = true;
    if (Accept(left.substr(0, size))) whole += left.substr(0, size);
    begin += size;
  }
  buffer_.erase(0, begin);
  return whole;
}

bool EventSplitter::IsInsideEvent() const {
  return buffer_.find_first_not_of(kLineEnds) != buffer_.npos;
}

std::string EventSplitter::TakeBlankLines() {
  return std::exchange(buffer_, {});
}

void EventSplitter::StartRun() {
  buffer_.clear();
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
