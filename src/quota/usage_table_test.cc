/** @file usage_table_test.cc Tests of the use of quotas that entries
 * exchange. */
#define BOOST_TEST_MODULE usage_table
#include <boost/test/unit_test.hpp>

#include "quota/usage_table_base.h"

namespace sapphire::quota {

namespace {

using std::chrono::seconds;

constexpr milliseconds kWindow{8000};
const QuotaId kQuota("draft-house");

struct Rig {
  Rig() { clock.Advance(seconds(100)); }

  core::ManualClock clock;
  UsageTable a{"a", kWindow, clock};
  UsageTable b{"b", kWindow, clock};
};

}  // namespace

BOOST_AUTO_TEST_CASE(WhatIsToldCountsUntilItIsOlderThanTheWindow) {
  Rig rig;
  rig.a.NoteGranted(kQuota, 100);
  rig.clock.Advance(seconds(3));
  rig.a.NoteGranted(kQuota, 50);
  rig.b.Learn(kQuota, rig.a.Tell(kQuota));
  rig.b.NoteGranted(kQuota, 7);
  BOOST_TEST(rig.b.Sum(kQuota) == 157);
  rig.clock.Advance(milliseconds(5600));
  BOOST_TEST(rig.b.Sum(kQuota) == 57);
  rig.clock.Advance(seconds(3));
  BOOST_TEST(rig.b.Sum(kQuota) == 0);
}

/** Guards against use that expires earlier at the entries that receive it. */
BOOST_AUTO_TEST_CASE(WhatIsToldNeverEndsBeforeItDoes) {
  Rig rig;
  for (int i = 0; i < 80; ++i) {
    rig.a.NoteGranted(kQuota, 1.5);
    rig.clock.Advance(milliseconds(100));
    rig.b.Learn(kQuota, rig.a.Tell(kQuota));
    BOOST_TEST(rig.b.Sum(kQuota) >= rig.a.Sum(kQuota));
  }
  for (int i = 0; i < 90; ++i) {
    rig.clock.Advance(milliseconds(100));
    BOOST_TEST(rig.b.Sum(kQuota) >= rig.a.Sum(kQuota));
  }
}

/** Guards against use that is counted twice, or replaced by an older update. */
BOOST_AUTO_TEST_CASE(OfTwoWordsTheLaterCounts) {
  Rig rig;
  rig.a.NoteGranted(kQuota, 100);
  const auto before = rig.a.Tell(kQuota);
  rig.a.NoteGranted(kQuota, 100);
  rig.b.Learn(kQuota, rig.a.Tell(kQuota));
  rig.b.Learn(kQuota, before);
  rig.b.Learn(kQuota, rig.a.Tell(kQuota));
  BOOST_TEST(rig.b.Sum(kQuota) == 200);
  rig.a.NoteGivenBack(kQuota, 60);
  rig.b.Learn(kQuota, rig.a.Tell(kQuota));
  BOOST_TEST(rig.b.Sum(kQuota) == 140);
}

/** Guards against grants that are not counted: an entry whose use has expired
 * continues with higher sequence numbers. */
BOOST_AUTO_TEST_CASE(AnEntryThatWasForgottenIsBelievedAgain) {
  Rig rig;
  for (int i = 0; i < 5; ++i) rig.a.NoteGranted(kQuota, 1);
  rig.b.Learn(kQuota, rig.a.Tell(kQuota));
  rig.clock.Advance(milliseconds(8100));
  rig.a.Forget();
  rig.a.NoteGranted(kQuota, 9);
  rig.b.Learn(kQuota, rig.a.Tell(kQuota));
  BOOST_TEST(rig.b.Sum(kQuota) >= 9);
}

/** Datagrams may come from any sender, so they must not change an entry's own
 * grants. */
BOOST_AUTO_TEST_CASE(AnEntryKnowsItsOwnGrantsBest) {
  Rig rig;
  rig.a.NoteGranted(kQuota, 10);
  auto told = rig.a.Tell(kQuota);
  told.front().number += 100;
  told.front().steps = {1000};
  rig.a.Learn(kQuota, told);
  BOOST_TEST(rig.a.Sum(kQuota) == 10);
}

}  // namespace sapphire::quota
