/** @file stall_watch_test.cc Tests of how stalls of a thread are reported. */
#define BOOST_TEST_MODULE stall_watch
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "core/stall_watch_base.h"

namespace sapphire::core {

namespace {

using std::chrono::milliseconds;

struct Rig {
  explicit Rig(int fd)
      : log({"entry", VmId("vm"), ZoneId("z")}, LogLevel::kInfo, clock, fd),
        watch([this](std::string_view work,
                     milliseconds) { reported.emplace_back(work); },
              clock, log) {}

  void Work(const char* name, milliseconds time) {
    const StallWatch::Span span(watch, name);
    clock.Advance(time);
  }

  ManualClock clock;
  Logger log;
  std::vector<std::string> reported;
  StallWatch watch;
};

}  // namespace

/**
 * Guards against pauses in callers' streams that no log line explains, such as
 * while the entry's thread reads a large configuration. Each stall is counted
 * with the work that caused it; the log has at most one line per second.
 */
BOOST_AUTO_TEST_CASE(WorkThatBlocksSocketsIsReported) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE(::pipe(ends.data()) == 0);
  {
    Rig rig(ends[1]);
    rig.Work("choice", milliseconds(4));
    BOOST_TEST(rig.watch.stalls() == 0);
    for (int i = 0; i < 10; ++i) rig.Work("configuration", milliseconds(20));
    BOOST_TEST(rig.watch.stalls() == 10);
    BOOST_TEST(rig.reported.size() == 10U);
    BOOST_TEST(rig.reported.front() == "configuration");
    rig.clock.Advance(milliseconds(1000));
    rig.watch.Record("timer", milliseconds(300));
  }
  ::close(ends[1]);
  std::string text;
  std::array<char, 512> buf{};
  for (ssize_t n = 0; (n = ::read(ends[0], buf.data(), buf.size())) > 0;) {
    text.append(buf.data(), static_cast<std::size_t>(n));
  }
  ::close(ends[0]);
  BOOST_TEST(std::ranges::count(text, '\n') == 2);
  BOOST_TEST(text.find("event=loop_held work=configuration took_ms=20 "
                       "so_far=1") != std::string::npos);
  BOOST_TEST(text.find("work=timer took_ms=300 so_far=11") !=
             std::string::npos);
}

}  // namespace sapphire::core
