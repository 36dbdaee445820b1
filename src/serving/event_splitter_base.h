/** @file event_splitter_base.h Splits a stream into complete events. */
#ifndef SAPPHIRE_SERVING_EVENT_SPLITTER_BASE_H_
#define SAPPHIRE_SERVING_EVENT_SPLITTER_BASE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphire::serving {

/** Largest event that is held until it is complete. */
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

/**
 * Extracts the complete events of a `text/event-stream` and remembers the id of
 * the last one.
 *
 * Incomplete events are buffered, and dropped when the run ends, so that a
 * stream can be resumed on another engine without a truncated or duplicate
 * event.
 */
class EventSplitter {
 public:
  /** @param last_event Last event that the caller has; it and older ones are
   * dropped. */
  explicit EventSplitter(std::optional<std::int64_t> last_event)
      : last_event_(last_event) {}

  /** @return The events that these bytes complete. */
  std::string Add(std::string_view bytes);

  /** @return True if bytes of an event have been added that is not complete. */
  [[nodiscard]] bool IsInsideEvent() const;

  /** @return The blank lines after the last event. @pre Not inside an event. */
  std::string TakeBlankLines();

  /** Drops an incomplete event: the next bytes are from another run. */
  void StartRun();

  /** @return True once an event of the current run was complete. */
  [[nodiscard]] bool has_events() const { return has_events_; }

  /** @return Number of bytes after the last complete event. */
  [[nodiscard]] std::size_t partial_bytes() const { return buffer_.size(); }

  [[nodiscard]] std::optional<std::int64_t> last_event() const {
    return last_event_;
  }

 private:
  [[nodiscard]] std::size_t EndOfEvent(std::size_t begin);
  /** @return True if the event is to be relayed. */
  bool Accept(std::string_view event);

  std::optional<std::int64_t> last_event_;
  std::string buffer_;
  /** Bytes of the buffer in which no event ends. */
  std::size_t searched_ = 0;
  bool has_events_ = false;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_EVENT_SPLITTER_BASE_H_
