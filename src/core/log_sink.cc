/** @file log_sink.cc Writes log lines without blocking. */
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

#include "core/log_sink_base.h"

namespace sapphire::core {

namespace {

/** A pipe that polls as writable accepts this many bytes without blocking. */
constexpr std::size_t kReadyBytes = PIPE_BUF;

bool ReadyNow(int fd) {
  pollfd poll_fd{fd, POLLOUT, 0};
  return ::poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

}  // namespace

LogSink::LogSink(int fd, std::size_t max_waiting)
    : fd_(fd), max_waiting_(max_waiting) {}

LogSink::~LogSink() { Flush(); }

void LogSink::Write(std::string_view line, std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  Flush();
  if (unsaid_ > 0 && waiting_.empty()) {
    const std::int64_t dropped = std::exchange(unsaid_, 0);
    Add(fmt::format("{} event=log_dropped lines={}\n", prefix, dropped));
  }
  Add(line);
  Flush();
}

LogSinkCounters LogSink::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void LogSink::Add(std::string_view line) {
  if (waiting_.size() + line.size() > max_waiting_) {
    ++unsaid_;
    ++counters_.dropped;
    return;
  }
  waiting_ += line;
  ++counters_.lines;
  counters_.bytes += static_cast<std::int64_t>(line.size());
}

void LogSink::Flush() {
  std::size_t written = 0;
  while (written < waiting_.size() && ReadyNow(fd_)) {
    const std::size_t size = std::min(waiting_.size() - written, kReadyBytes);
    const auto n = ::write(fd_, waiting_.data() + written, size);
    // The reader closed the pipe: lines are dropped once the buffer is full.
    if (n <= 0) break;
    written += static_cast<std::size_t>(n);
  }
  waiting_.erase(0, written);
}

}  // namespace sapphire::core
