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

BOOST_AUTO_TEST_CASE(MergedUseExpiresWithTheWindow) {
  Rig rig;
  rig.a.RecordGrant(kQuota, 100);
  rig.clock.Advance(seconds(3));
  rig.a.RecordGrant(kQuota, 50);
  rig.b.Merge(kQuota, rig.a.Export(kQuota));
  rig.b.RecordGrant(kQuota, 7);
  BOOST_TEST(rig.b.Sum(kQuota) == 157);
  rig.clock.Advance(milliseconds(5600));
  BOOST_TEST(rig.b.Sum(kQuota) == 57);
  rig.clock.Advance(seconds(3));
  BOOST_TEST(rig.b.Sum(kQuota) == 0);
}

/** Guards against use that expires earlier at the entries that receive it. */
BOOST_AUTO_TEST_CASE(MergedUseNeverExpiresEarly) {
  Rig rig;
  for (int i = 0; i < 80; ++i) {
    rig.a.RecordGrant(kQuota, 1.5);
    rig.clock.Advance(milliseconds(100));
    rig.b.Merge(kQuota, rig.a.Export(kQuota));
    BOOST_TEST(rig.b.Sum(kQuota) >= rig.a.Sum(kQuota));
  }
  for (int i = 0; i < 90; ++i) {
    rig.clock.Advance(milliseconds(100));
    BOOST_TEST(rig.b.Sum(kQuota) >= rig.a.Sum(kQuota));
  }
}

/** Guards against use that is counted twice, or replaced by an older update. */
BOOST_AUTO_TEST_CASE(LaterUpdateReplacesEarlierOne) {
  Rig rig;
  rig.a.RecordGrant(kQuota, 100);
  const auto before = rig.a.Export(kQuota);
  rig.a.RecordGrant(kQuota, 100);
  rig.b.Merge(kQuota, rig.a.Export(kQuota));
  rig.b.Merge(kQuota, before);
  rig.b.Merge(kQuota, rig.a.Export(kQuota));
  BOOST_TEST(rig.b.Sum(kQuota) == 200);
  rig.a.RecordGiveBack(kQuota, 60);
  rig.b.Merge(kQuota, rig.a.Export(kQuota));
  BOOST_TEST(rig.b.Sum(kQuota) == 140);
}

/** Guards against grants that are not counted: an entry whose use has expired
 * continues with higher sequence numbers. */
BOOST_AUTO_TEST_CASE(UpdatesAreAcceptedAfterTheUseExpired) {
  Rig rig;
  for (int i = 0; i < 5; ++i) rig.a.RecordGrant(kQuota, 1);
  rig.b.Merge(kQuota, rig.a.Export(kQuota));
  rig.clock.Advance(milliseconds(8100));
  rig.a.Forget();
  rig.a.RecordGrant(kQuota, 9);
  rig.b.Merge(kQuota, rig.a.Export(kQuota));
  BOOST_TEST(rig.b.Sum(kQuota) >= 9);
}

/** Datagrams may come from any sender, so they must not change an entry's own
 * grants. */
BOOST_AUTO_TEST_CASE(OwnUseIsNotOverwrittenByOthers) {
  Rig rig;
  rig.a.RecordGrant(kQuota, 10);
  auto update = rig.a.Export(kQuota);
  update.front().number += 100;
  update.front().steps = {1000};
  rig.a.Merge(kQuota, update);
  BOOST_TEST(rig.a.Sum(kQuota) == 10);
}

}  // namespace sapphire::quota
