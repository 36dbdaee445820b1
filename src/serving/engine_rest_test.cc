/** @file engine_rest_test.cc Tests of engines that ask for rest as they turn
 * requests away. */
#define BOOST_TEST_MODULE engine_rest
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "serving/engine_notice_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Always;
using testing::kFirst;
using testing::kLater;
using testing::kPlain;
using testing::kWait;
using testing::RecordingWriter;
using testing::RestOf;
using testing::Rig;
using testing::ServeSome;
using testing::ServiceOf;
using testing::Shape;
using testing::Shaped;
using testing::Sound;
using testing::TestEngine;
using testing::Together;
using testing::TurningAway;

}  // namespace

/** Guards against a send to an engine that has asked for rest while the send
 * waited for the engine's rate limit. */
BOOST_AUTO_TEST_CASE(SendThatWaitedIsNotSentToAnEngineThatRests) {
  Rig rig;
  const TestEngine& first = rig.AddEngine(kPlain, Sound());
  rig.AddEngine(kPlain, Sound());
  fleet::LimitNotice limit;
  limit.per_second = 4;
  rig.loads.limits().Apply(kFirst, limit, rig.clock.Now());
  const EngineAnswer answer =
      rig.engine_wire.Read({503, {RestOf(milliseconds(1000))}});
  Together together(rig);
  constexpr int kRequests = 8;
  for (int i = 0; i < kRequests; ++i) together.Begin("/safe/", kWait);
  rig.notices.Record({kFirst, EngineCall::kRequest, core::RequestId("r")},
                     answer);
  together.Finish();
  BOOST_TEST(together.served() == kRequests);
  BOOST_TEST(first.requests.size() == 0U);
}

/** Guards against requests to an engine that has asked for rest, and against
 * callers that are refused for it while another engine is idle. */
BOOST_AUTO_TEST_CASE(EngineThatAskedForRestGetsNoRequest) {
  constexpr milliseconds kRest{20'000};
  for (const std::string path : {"/safe/", "/once/", "/stream/"}) {
    Rig rig;
    const TestEngine& resting =
        rig.AddEngine(ServiceOf(path), Always(TurningAway(kRest)));
    rig.AddEngine(ServiceOf(path), Sound());
    BOOST_TEST(ServeSome(rig, path, 1) == 1);
    BOOST_TEST(ServeSome(rig, path, kLater, milliseconds(50)) == kLater);
    BOOST_TEST_INFO(path);
    BOOST_TEST(resting.requests.size() == 1U);
  }
}

/** Guards against a shorter rest, or the end of another throttle, that ends a
 * longer rest. */
BOOST_AUTO_TEST_CASE(ShorterRestDoesNotEndALongerOne) {
  Rig rig;
  int answers = 0;
  const TestEngine& resting = rig.AddEngine(
      kPlain, Shaped([&] {
        return TurningAway(milliseconds(++answers == 1 ? 20'000 : 10));
      }));
  rig.AddEngine(kPlain, Sound());
  ServeSome(rig, "/safe/", 1);
  rig.loads.limits().Throttle(kFirst, milliseconds(5));
  rig.notices.Record({kFirst, EngineCall::kRequest, core::RequestId("r")},
                     rig.engine_wire.Read({503, {RestOf(milliseconds(10))}}));
  BOOST_TEST(ServeSome(rig, "/safe/", kLater, milliseconds(50)) == kLater);
  BOOST_TEST(resting.requests.size() == 1U);
}

/** Guards against requests that keep asking the only engine of a service
 * during its rest; those with the time for it wait for its end. */
BOOST_AUTO_TEST_CASE(RequestsWaitForTheEndOfAShortRest) {
  for (const std::string path : {"/safe/", "/stream/"}) {
    Rig rig;
    int answers = 0;
    const TestEngine& resting = rig.AddEngine(
        ServiceOf(path), Shaped([&] {
          return ++answers == 1 ? TurningAway(milliseconds(400)) : Shape{};
        }));
    const core::SteadyTime began = rig.clock.Now();
    BOOST_TEST_INFO(path);
    BOOST_TEST(ServeSome(rig, path, 1) == 1);
    BOOST_TEST((rig.clock.Now() - began >= milliseconds(400)));
    BOOST_TEST(resting.requests.size() == 2U);
    BOOST_TEST(ServeSome(rig, path, kLater) == kLater);
  }
}

/** Guards against callers that are held, though the only engine rests for
 * longer than they wait. */
BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceIfTheRestOutlastsIt) {
  for (const std::string path : {"/safe/", "/stream/"}) {
    Rig rig;
    const TestEngine& resting = rig.AddEngine(
        ServiceOf(path), Always(TurningAway(milliseconds(10'000))));
    const core::SteadyTime began = rig.clock.Now();
    for (int i = 0; i < kLater; ++i) {
      RecordingWriter writer;
      rig.Serve(path, kWait, writer);
      BOOST_TEST_INFO(path);
      BOOST_TEST(writer.status == 503);
    }
    BOOST_TEST((rig.clock.Now() - began < kWait));
    BOOST_TEST(resting.requests.size() == 1U);
  }
}

/** Guards against all requests that waited for the end of a rest reaching the
 * engine at once, and being turned away together. */
BOOST_AUTO_TEST_CASE(OneRequestReturnsFirstAfterARest) {
  constexpr std::size_t kRequests = 10;
  constexpr milliseconds kRest{300};
  constexpr milliseconds kLongWait{5000};
  Rig rig;
  std::vector<core::SteadyTime> arrivals;
  rig.AddEngine(kPlain, Shaped([&] {
                  arrivals.push_back(rig.clock.Now());
                  return arrivals.size() <= 2 ? TurningAway(kRest) : Shape{};
                }));
  Together together(rig);
  together.Begin("/safe/", kLongWait);
  rig.Pass(milliseconds(50));
  for (std::size_t i = 1; i < kRequests; ++i) {
    together.Begin("/safe/", kLongWait);
  }
  together.Finish();
  BOOST_TEST(together.served() == static_cast<int>(kRequests));
  BOOST_REQUIRE(arrivals.size() == 2 + kRequests);
  // The second was turned away too, and none came with it or in its rest.
  BOOST_TEST((arrivals[1] - arrivals[0] >= kRest));
  BOOST_TEST((arrivals[2] - arrivals[1] >= kRest));
}

/** Guards against a rest that counts as a failure of the engine. */
BOOST_AUTO_TEST_CASE(RestIsNoFailure) {
  Rig rig;
  rig.AddEngine(kPlain, Always(TurningAway(milliseconds(200))));
  rig.AddEngine(kPlain, Sound());
  ServeSome(rig, "/safe/", 1);
  BOOST_TEST(rig.loads.FailureRate(kFirst) == 0.0);
  BOOST_TEST(!rig.loads.IsUnreachable(kFirst));
}

}  // namespace sapphire::serving
