/** @file engine_limits_test.cc Tests of the rate limits that engines report. */
#define BOOST_TEST_MODULE engine_limits
#include <boost/test/unit_test.hpp>

#include "fleet/engine_limits_base.h"

namespace sapphire::fleet {

namespace {

using std::chrono::milliseconds;

const InstanceId kEngine("i-1");

struct Rig {
  core::ManualClock clock;
  EngineLimits limits{clock};

  LimitChange Answer(LimitNotice notice, core::SteadyTime sent) {
    return limits.Apply(kEngine, notice, sent);
  }
};

}  // namespace

/** Guards against a late answer to an earlier request that ends a newer limit.
 */
BOOST_AUTO_TEST_CASE(LateAnswerDoesNotEndANewerLimit) {
  Rig rig;
  const core::SteadyTime before = rig.clock.Now();
  rig.clock.Advance(milliseconds(100));
  BOOST_TEST((rig.Answer({2.0}, before) == LimitChange::kReported));
  BOOST_TEST((rig.Answer({}, before) == LimitChange::kNone));
  BOOST_TEST(*rig.limits.RateOf(kEngine) == 2.0);
  BOOST_TEST((rig.Answer({}, rig.clock.Now()) == LimitChange::kEnded));
  BOOST_TEST(!rig.limits.RateOf(kEngine));
}

/** Guards against a limit that is lost when a later one can't be parsed. */
BOOST_AUTO_TEST_CASE(UnreadableNoticeKeepsTheLimit) {
  Rig rig;
  rig.Answer({2.0}, rig.clock.Now());
  BOOST_TEST((rig.Answer({std::nullopt, true}, rig.clock.Now()) ==
              LimitChange::kNone));
  BOOST_TEST(*rig.limits.RateOf(kEngine) == 2.0);
}

BOOST_AUTO_TEST_CASE(LowerLimitReplacesAHigherOne) {
  Rig rig;
  rig.Answer({2.0}, rig.clock.Now());
  BOOST_TEST((rig.Answer({0.5}, rig.clock.Now()) == LimitChange::kReported));
  BOOST_TEST((rig.Answer({0.5}, rig.clock.Now()) == LimitChange::kNone));
  BOOST_TEST(*rig.limits.RateOf(kEngine) == 0.5);
}

/** Guards against peers that keep sending an ended limit to each other. */
BOOST_AUTO_TEST_CASE(LimitFromAPeerExpires) {
  Rig rig;
  rig.limits.ApplyPeerLimit(kEngine, 3.0);
  BOOST_TEST(*rig.limits.RateOf(kEngine) == 3.0);
  BOOST_TEST(rig.limits.RecentlyReported().empty());
  rig.clock.Advance(milliseconds(10'000));
  BOOST_TEST(!rig.limits.RateOf(kEngine));
}

/** Guards against a peer that still sends a limit after its end. */
BOOST_AUTO_TEST_CASE(OwnAnswerOverridesALimitFromAPeer) {
  Rig rig;
  rig.Answer({2.0}, rig.clock.Now());
  rig.clock.Advance(milliseconds(10));
  rig.Answer({}, rig.clock.Now());
  rig.limits.ApplyPeerLimit(kEngine, 2.0);
  BOOST_TEST(!rig.limits.RateOf(kEngine));
}

BOOST_AUTO_TEST_CASE(ThrottlingEndsAndGoneEnginesAreRemoved) {
  Rig rig;
  rig.limits.Throttle(kEngine, milliseconds(300));
  BOOST_TEST((rig.limits.ThrottledFor(kEngine) == milliseconds(300)));
  rig.clock.Advance(milliseconds(300));
  BOOST_TEST((rig.limits.ThrottledFor(kEngine) == milliseconds(0)));
  rig.Answer({2.0}, rig.clock.Now());
  rig.limits.Forget({});
  BOOST_TEST(rig.limits.limited() == 0);
}

}  // namespace sapphire::fleet
