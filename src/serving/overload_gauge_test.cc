/** @file overload_gauge_test.cc Tests of finding that an entry is overloaded.
 */
#define BOOST_TEST_MODULE overload_gauge
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "serving/overload_gauge_base.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{250};
constexpr milliseconds kLate{300};
constexpr milliseconds kInTime{5};

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        gauge(clock, log) {}

  void Record(milliseconds delay, int times) {
    for (int i = 0; i < times; ++i) {
      clock.Advance(kInterval + delay);
      gauge.Record(delay);
    }
  }

  core::ManualClock clock;
  core::Logger log;
  OverloadGauge gauge;
};

}  // namespace

/** Guards against refused callers because of single pieces of work, as a large
 * configuration, that delay everything once. */
BOOST_AUTO_TEST_CASE(SingleStallsAreNoOverload) {
  Rig rig;
  for (int i = 0; i < 20; ++i) {
    rig.Record(milliseconds(1500), 1);
    BOOST_TEST(!rig.gauge.is_overloaded());
    rig.Record(kInTime, 1);
  }
}

/** Guards against an entry that takes on a crowd which it can't serve. */
BOOST_AUTO_TEST_CASE(TimersThatAreAlwaysLateAreAnOverloadUntilOneIsInTime) {
  Rig rig;
  rig.Record(kLate, 2);
  BOOST_TEST(!rig.gauge.is_overloaded());
  rig.Record(kLate, 2);
  BOOST_TEST(rig.gauge.is_overloaded());
  rig.Record(kInTime, 1);
  BOOST_TEST(!rig.gauge.is_overloaded());
}

}  // namespace sapphire::serving
