/** @file log_sink_base.h Where log lines go, without ever waiting. */
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
  /** Lines that had no room. */
  std::int64_t dropped = 0;
};

/**
 * Writes lines to a descriptor as far as it takes them at once.
 *
 * The failure met: whoever reads standard output stops reading; the pipe fills
 * up, and the next write would stop the process in the middle of a request.
 * What does not go out now waits in a bounded buffer; what has no room there is
 * dropped, and a line says how many were. Safe to use from several threads.
 */
class LogSink {
 public:
  /** @param fd Stays open. @param max_waiting Bytes that may wait. */
  LogSink(int fd, std::size_t max_waiting);
  /** Tries once more to write what waits. */
  ~LogSink();

  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

  /** Takes one line with its end. @param prefix What a line about dropped ones
   * begins with. */
  void Write(std::string_view line, std::string_view prefix);

  [[nodiscard]] LogSinkCounters counters() const;

 private:
  void Add(std::string_view line);
  void Flush();

  const int fd_;
  const std::size_t max_waiting_;
  mutable std::mutex mutex_;
  std::string waiting_;
  /** Dropped since the last line that said so. */
  std::int64_t unsaid_ = 0;
  LogSinkCounters counters_;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_LOG_SINK_BASE_H_
