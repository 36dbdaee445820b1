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
constexpr std::size_t kWritableBytes = PIPE_BUF;

bool IsWritable(int fd) {
  pollfd poll_fd{fd, POLLOUT, 0};
  return ::poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

}  // namespace

LogSink::LogSink(int fd, std::size_t max_buffered)
    : fd_(fd), max_buffered_(max_buffered) {}

LogSink::~LogSink() { Flush(); }

void LogSink::Write(std::string_view line, std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  Flush();
  if (unreported_ > 0 && buffer_.empty()) {
    const std::int64_t dropped = std::exchange(unreported_, 0);
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
  if (buffer_.size() + line.size() > max_buffered_) {
    ++unreported_;
    ++counters_.dropped;
    return;
  }
  buffer_ += line;
  ++counters_.lines;
  counters_.bytes += static_cast<std::int64_t>(line.size());
}

void LogSink::Flush() {
  std::size_t written = 0;
  while (written < buffer_.size() && IsWritable(fd_)) {
    const std::size_t size = std::min(buffer_.size() - written, kWritableBytes);
    const auto n = ::write(fd_, buffer_.data() + written, size);
    // The reader closed the pipe: lines are dropped once the buffer is full.
    if (n <= 0) break;
    written += static_cast<std::size_t>(n);
  }
  buffer_.erase(0, written);
}

}  // namespace sapphire::core
