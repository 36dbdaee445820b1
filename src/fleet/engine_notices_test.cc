/** @file engine_notices_test.cc Tests of what engines say of themselves. */
#define BOOST_TEST_MODULE engine_notices
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>

#include "fleet/engine_notices_base.h"

namespace sapphire::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kEngine("i-1");
constexpr milliseconds kNoSpread{0};

EngineNotice Rest(milliseconds rest) {
  EngineNotice notice;
  notice.rest = rest;
  return notice;
}

struct Fixture {
  NoticeChange Apply(const EngineNotice& notice) {
    return notices.Apply(kEngine, notice, kNoSpread);
  }

  core::ManualClock clock;
  EngineNotices notices{clock};
};

}  // namespace

/** Guards against an engine that returns to use as a later answer, perhaps to a
 * request from before, does not say that it leaves. */
BOOST_FIXTURE_TEST_CASE(LeavingIsFinal, Fixture) {
  EngineNotice leaving;
  leaving.leaving = true;
  BOOST_TEST(Apply(leaving).leaving);
  BOOST_TEST(!Apply(leaving).leaving);
  Apply(EngineNotice());
  BOOST_TEST(notices.IsLeaving(kEngine));
}

/** Guards against an engine that returns to use as its registration, which
 * lapsed in an outage of the store, is back. */
BOOST_FIXTURE_TEST_CASE(LeavingOutlastsALapsedRegistration, Fixture) {
  EngineNotice leaving;
  leaving.leaving = true;
  Apply(leaving);
  clock.Advance(seconds(120));
  notices.Forget({kEngine});
  clock.Advance(seconds(30));
  notices.Forget({});
  BOOST_TEST(notices.IsLeaving(kEngine));
  clock.Advance(seconds(60));
  notices.Forget({});
  BOOST_TEST(!notices.IsLeaving(kEngine));
}

/** Guards against a short rest, or an answer to an earlier request, that ends a
 * longer one. */
BOOST_FIXTURE_TEST_CASE(LongestRestCounts, Fixture) {
  BOOST_TEST(Apply(Rest(seconds(3))).rest);
  clock.Advance(seconds(1));
  BOOST_TEST(!Apply(Rest(milliseconds(20))).rest);
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(2000));
  BOOST_TEST(!Apply(EngineNotice()).rest_ended);
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(2000));
  BOOST_TEST(Apply(Rest(seconds(4))).rest);
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(4000));
  notices.Forget({});
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(4000));
}

/** Guards against a mistyped rest that takes an engine out of use for good. */
BOOST_FIXTURE_TEST_CASE(RestIsBounded, Fixture) {
  Apply(Rest(std::chrono::hours(24)));
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(300'000));
  BOOST_TEST(
      !notices.Apply(InstanceId("i-2"), Rest(kNoSpread), kNoSpread).rest);
  BOOST_TEST(notices.RestLeft(InstanceId("i-2")) == milliseconds(0));
}

/** Guards against all waiting requests that return at once to an engine that
 * has just asked for rest. */
BOOST_FIXTURE_TEST_CASE(OneRequestReturnsFirst, Fixture) {
  Apply(Rest(seconds(1)));
  clock.Advance(seconds(1));
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(0));
  notices.RecordSend(kEngine);
  BOOST_TEST(notices.RestLeft(kEngine) > milliseconds(0));
  BOOST_TEST(Apply(EngineNotice()).rest_ended);
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(0));
  BOOST_TEST(notices.resting() == 0);
}

/** Guards against an engine that stays out of use as its first request after
 * the rest is answered late or never. */
BOOST_FIXTURE_TEST_CASE(OthersFollowAFirstRequestThatIsNotTurnedAway, Fixture) {
  Apply(Rest(seconds(1)));
  clock.Advance(seconds(1));
  notices.RecordSend(kEngine);
  clock.Advance(milliseconds(100));
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(0));
  notices.RecordSend(kEngine);
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(0));
  BOOST_TEST(Apply(Rest(seconds(1))).rest);
  BOOST_TEST(notices.RestLeft(kEngine) == milliseconds(1000));
}

}  // namespace sapphire::fleet
