/** @file engine_leave_test.cc Tests of engines that say in their answers that
 * they leave. */
#define BOOST_TEST_MODULE engine_leave
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "serving/engine_notice_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Always;
using testing::kDrafts;
using testing::kFirst;
using testing::kLater;
using testing::kLeaving;
using testing::kPlain;
using testing::kWait;
using testing::RecordingWriter;
using testing::Rig;
using testing::ServeSome;
using testing::ServiceOf;
using testing::Shape;
using testing::Sound;
using testing::TestEngine;
using testing::Together;

}  // namespace

/** Guards against requests to an engine whose answer, of any status, has said
 * that it leaves, while the store does not say so. */
BOOST_AUTO_TEST_CASE(EngineThatSaysItLeavesGetsNoFurtherRequest) {
  const std::vector<Shape> shapes = {
      {200, {kLeaving}},
      {500, {kLeaving}},
      {503, {{"not-run", "1"}, kLeaving}},
      {503, {kLeaving}},
      {421, {{"not-run", "1"}, kLeaving}},
      {200, {{"id", "of-another-request"}, kLeaving}}};
  for (const std::string path : {"/safe/", "/once/", "/stream/"}) {
    for (const Shape& shape : shapes) {
      Rig rig;
      const TestEngine& leaving = rig.AddEngine(ServiceOf(path), Always(shape));
      rig.AddEngine(ServiceOf(path), Sound());
      ServeSome(rig, path, 1);
      BOOST_TEST_INFO(path << " " << shape.status);
      BOOST_TEST(ServeSome(rig, path, kLater) == kLater);
      BOOST_TEST_INFO(path << " " << shape.status);
      BOOST_TEST(leaving.requests.size() == 1U);
    }
  }
}

/** Guards against requests to an engine that leaves as no other one serves:
 * callers are refused at once. */
BOOST_AUTO_TEST_CASE(EngineThatLeavesIsNoLastResort) {
  for (const std::string path : {"/safe/", "/stream/"}) {
    Rig rig;
    const TestEngine& leaving =
        rig.AddEngine(ServiceOf(path), Always({200, {kLeaving}}));
    ServeSome(rig, path, 1);
    const core::SteadyTime began = rig.clock.Now();
    BOOST_TEST(ServeSome(rig, path, kLater) == 0);
    BOOST_TEST((rig.clock.Now() - began < kWait));
    BOOST_TEST(leaving.requests.size() == 1U);
  }
}

/** Guards against a registration from before the notice that takes it back. */
BOOST_AUTO_TEST_CASE(LaterRegistrationDoesNotTakeALeaveBack) {
  Rig rig;
  const TestEngine& leaving = rig.AddEngine(kPlain, Always({200, {kLeaving}}));
  rig.AddEngine(kPlain, Sound());
  ServeSome(rig, "/safe/", 1);
  const fleet::EngineEntry entry = *rig.registry.Find(kFirst);
  rig.registry.Put(entry);
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  rig.dispatcher.Forget();
  rig.registry.Put(entry);
  BOOST_TEST(ServeSome(rig, "/safe/", kLater) == kLater);
  BOOST_TEST(leaving.requests.size() == 1U);
}

/** Guards against a notice that is taken for the addressed engine's although
 * another one, which uses its address now, has answered. */
BOOST_AUTO_TEST_CASE(NoticeOfAnotherEngineDoesNotCount) {
  Rig rig;
  rig.AddEngine(kPlain, Always({200, {kLeaving, {"instance", "i-9"}}}));
  BOOST_TEST(ServeSome(rig, "/safe/", 1) == 1);
  BOOST_TEST(!rig.loads.notices().IsLeaving(kFirst));
  BOOST_TEST(!rig.loads.notices().IsLeaving(fleet::InstanceId("i-9")));
}

/** Guards against a notice in the answer to a query for the engine's load that
 * is dropped. */
BOOST_AUTO_TEST_CASE(LeaveIsReadFromAnswersToOtherCalls) {
  Rig rig;
  rig.AddEngine(kDrafts, Always({503, {kLeaving}}));
  // On a busy machine a query may time out.
  constexpr int kMaxQueries = 20;
  for (int i = 0; i < kMaxQueries && !rig.loads.notices().IsLeaving(kFirst);
       ++i) {
    core::Spawn(rig.io.get_executor(), rig.log, "query",
                [&rig] { return rig.gauges.Refresh({kFirst}); });
    rig.Pass(milliseconds(100));
  }
  BOOST_TEST(rig.loads.notices().IsLeaving(kFirst));
}

/** Guards against a stream that is broken off as its engine says that it
 * leaves. */
BOOST_AUTO_TEST_CASE(StreamThatHasBegunGoesOnAtALeavingEngine) {
  Rig rig;
  const TestEngine& leaving = rig.AddEngine(
      kDrafts,
      [](const http::Request& request,
         http::ResponseWriter& writer) -> core::Task<> {
        http::ResponseHead head;
        head.headers = {{"genuine", "1"}, kLeaving};
        head.headers.push_back(
            {"id", std::string(*http::FindHeader(request.headers, "id"))});
        co_await writer.Begin(head);
        for (const char* it : {"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"}) {
          co_await writer.Write(it);
          co_await core::SleepFor(milliseconds(50));
        }
        co_await writer.End();
      });
  rig.AddEngine(kDrafts, Sound());
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.whole);
  BOOST_TEST(writer.body == "id: 1\n\nid: 2\n\nid: 3\n\n");
  BOOST_TEST(leaving.requests.size() == 1U);
}

/** Guards against a send to an engine that has said that it leaves while the
 * send waited for the engine's rate limit. */
BOOST_AUTO_TEST_CASE(SendThatWaitedIsNotSentToAnEngineThatLeaves) {
  Rig rig;
  const TestEngine& first = rig.AddEngine(kPlain, Sound());
  rig.AddEngine(kPlain, Sound());
  fleet::LimitNotice limit;
  limit.per_second = 4;
  rig.loads.limits().Apply(kFirst, limit, rig.clock.Now());
  const EngineAnswer answer = rig.engine_wire.Read({200, {kLeaving}});
  Together together(rig);
  constexpr int kRequests = 8;
  for (int i = 0; i < kRequests; ++i) together.Begin("/safe/", kWait);
  rig.notices.Record({kFirst, EngineCall::kRequest, core::RequestId("r")},
                     answer);
  together.Finish();
  BOOST_TEST(together.served() == kRequests);
  BOOST_TEST(first.requests.size() == 0U);
}

}  // namespace sapphire::serving
