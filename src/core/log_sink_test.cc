/** @file log_sink_test.cc Tests of log output whose reader stops reading. */
#define BOOST_TEST_MODULE log_sink
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "core/log_sink_base.h"

namespace sapphire::core {

namespace {

constexpr std::size_t kMaxBuffered = 64 * 1024;

/** A pipe that is only read by ReadAll(). */
struct Pipe {
  Pipe() { BOOST_REQUIRE_EQUAL(::pipe(ends.data()), 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }

  /** @return All data that can be read without blocking. */
  std::string ReadAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buf;
    ssize_t n = 0;
    while ((n = ::read(ends[0], buf.data(), buf.size())) > 0) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

  std::array<int, 2> ends{};
};

}  // namespace

BOOST_AUTO_TEST_CASE(LinesAreWrittenAtOnce) {
  Pipe pipe;
  LogSink sink(pipe.ends[1], kMaxBuffered);
  sink.Write("a=1\n", "p");
  BOOST_TEST(pipe.ReadAll() == "a=1\n");
}

/**
 * Guards against a process that blocks in the middle of a request because the
 * log collector has stopped reading and the pipe is full. Lines are dropped
 * instead, and a later line reports how many.
 */
BOOST_AUTO_TEST_CASE(StalledReaderDoesNotBlockTheWriter) {
  constexpr int kLines = 20'000;
  Pipe pipe;
  LogSink sink(pipe.ends[1], kMaxBuffered);
  const std::string line = std::string(99, 'x') + "\n";
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) sink.Write(line, "p");
  BOOST_TEST(
      (std::chrono::steady_clock::now() - began < std::chrono::seconds(20)));
  const LogSinkCounters counters = sink.counters();
  BOOST_TEST(counters.dropped > 0);
  BOOST_TEST(counters.lines + counters.dropped == kLines);
  pipe.ReadAll();
  sink.Write(line, "p");
  pipe.ReadAll();
  sink.Write(line, "p");
  const std::string report =
      "p event=log_dropped lines=" + std::to_string(counters.dropped) + "\n";
  BOOST_TEST(pipe.ReadAll().find(report) != std::string::npos);
}

}  // namespace sapphire::core
