/** @file usage_report_test.cc Tests of what entries tell endpoints of use. */
#define BOOST_TEST_MODULE usage_report
#include <boost/test/unit_test.hpp>

#include "serving/waker_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::kModel;
using Rig = testing::WakerRig;

core::Task<bool> Sleep(milliseconds time) {
  co_await core::SleepFor(time);
  co_return true;
}

}  // namespace

/**
 * With 100 entries before 200 engines, callers' streams pause: entries and the
 * processes beside engines spend their time on 80,000 reports of use a second,
 * nearly all of which say what the ones before said.
 */
BOOST_AUTO_TEST_CASE(AnEntryTellsOfUseOnlyWhenItChanges) {
  Rig rig;
  entry::testing::RunTask(rig.io, Sleep(milliseconds(1000)));
  BOOST_TEST(rig.endpoint.usages <= 1);
  const int before = rig.endpoint.usages;
  rig.loads.Begin(fleet::InstanceId("i-1"), {kModel, core::AdapterId()});
  entry::testing::RunTask(rig.io, Sleep(milliseconds(600)));
  BOOST_TEST(rig.endpoint.usages == before + 1);
}

/** An endpoint takes an entry that is silent for 5 s for gone. */
BOOST_AUTO_TEST_CASE(AnEntryThatHasNothingToTellRepeatsItself) {
  Rig rig;
  entry::testing::RunTask(rig.io, Sleep(milliseconds(3000)));
  BOOST_TEST(rig.endpoint.usages >= 2);
}

}  // namespace sapphire::serving
