/** @file log_sink_base.h Writes log lines without blocking. */
#ifndef SAPPHIRE_CORE_LOG_SINK_BASE_H_
#define SAPPHIRE_CORE_LOG_SINK_BASE_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace sapphire::core {

struct LogSinkCounters {
  std::int64_t lines = 0;
  std::int64_t bytes = 0;
  /** Lines that did not fit into the buffer. */
  std::int64_t dropped = 0;
};

/**
 * Writes lines to a descriptor without blocking. Thread-safe.
 *
 * If the reader of standard output stops reading, the pipe fills up, and a
 * blocking write would stop the process in the middle of a request. Lines that
 * can't be written at once are kept in a bounded buffer; lines that don't fit
 * are dropped, and a later line reports their number.
 */
class LogSink {
 public:
  /** @param fd Never closed. @param max_buffered Size of the buffer, bytes. */
  LogSink(int fd, std::size_t max_buffered);
  /** Tries once more to write the buffered lines. */
  ~LogSink();

  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

  /** Writes a line that ends in a newline. @param prefix First fields of the
   * line that reports dropped lines, if one is due. */
  void Write(std::string_view line, std::string_view prefix);

  [[nodiscard]] LogSinkCounters counters() const;

 private:
  void Add(std::string_view line);
  void Flush();

  const int fd_;
  const std::size_t max_buffered_;
  mutable std::mutex mutex_;
  std::string buffer_;
  /** Dropped lines that were not reported yet. */
  std::int64_t unreported_ = 0;
  LogSinkCounters counters_;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_LOG_SINK_BASE_H_
