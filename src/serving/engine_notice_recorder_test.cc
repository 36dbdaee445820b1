/** @file engine_notice_recorder_test.cc Tests of what answers change in what is
 * known of their engines. */
#define BOOST_TEST_MODULE engine_notice_recorder
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "serving/engine_notice_recorder_base.h"
#include "serving/loader_rig_test.h"

namespace sapphire::serving {

namespace {

using Rig = testing::LoaderRig;

constexpr milliseconds kRest{3000};
const fleet::InstanceId kEngine("i-1");

NoticeSource From(EngineCall call) {
  return {kEngine, call, core::RequestId("r")};
}

EngineAnswer TurningAway() {
  EngineAnswer answer;
  answer.status = 503;
  answer.not_run = true;
  answer.notice.rest = kRest;
  return answer;
}

milliseconds RestLeft(const Rig& rig) {
  return rig.loads.notices().RestLeft(kEngine);
}

}  // namespace

/** Guards against all requests that waited for the end of a rest reaching the
 * engine at once although it has accepted none of them yet. */
BOOST_AUTO_TEST_CASE(OnlyAnAcceptedRequestEndsTheCautionAfterARest) {
  Rig rig;
  rig.notices.Record(From(EngineCall::kRequest), TurningAway());
  rig.loader_clock.Advance(RestLeft(rig));
  rig.loads.notices().RecordSend(kEngine);
  const EngineAnswer plain;
  rig.notices.Record(From(EngineCall::kState), plain);
  BOOST_TEST((RestLeft(rig) > milliseconds(0)));
  EngineAnswer refusal = TurningAway();
  refusal.notice.rest.reset();
  rig.notices.Record(From(EngineCall::kRequest), refusal);
  BOOST_TEST((RestLeft(rig) > milliseconds(0)));
  refusal.notice.rest = milliseconds(0);
  rig.notices.Record(From(EngineCall::kRequest), refusal);
  BOOST_TEST((RestLeft(rig) > milliseconds(0)));
  rig.notices.Record(From(EngineCall::kRequest), plain);
  BOOST_TEST((RestLeft(rig) == milliseconds(0)));
}

/** Guards against all entries returning to an engine in one millisecond, and
 * against one that returns before the end of the rest. */
BOOST_AUTO_TEST_CASE(EntriesReturnApartAfterARest) {
  constexpr int kEntries = 20;
  std::set<milliseconds> ends;
  for (int i = 0; i < kEntries; ++i) {
    Rig rig;
    EngineNoticeRecorder recorder(
        "entry-" + std::to_string(i), rig.loads, rig.registry, [] {},
        rig.metrics, rig.log);
    recorder.Record(From(EngineCall::kRequest), TurningAway());
    BOOST_TEST((RestLeft(rig) >= kRest));
    BOOST_TEST((RestLeft(rig) <= kRest + milliseconds(200)));
    ends.insert(RestLeft(rig));
  }
  BOOST_TEST(ends.size() > kEntries / 2);
}

/** Guards against a notice that is taken for the addressed engine's, or is
 * lost, as another registered engine has answered at its address. */
BOOST_AUTO_TEST_CASE(NoticeCountsForTheEngineThatAnswers) {
  Rig rig;
  rig.PutEngine(Rig::EngineAt("i-2", "127.0.0.1:1"));
  EngineAnswer answer;
  answer.engine = fleet::EngineId("i-2");
  answer.notice.leaving = true;
  rig.notices.Record(From(EngineCall::kRequest), answer);
  BOOST_TEST(!rig.loads.notices().IsLeaving(kEngine));
  BOOST_TEST(rig.loads.notices().IsLeaving(fleet::InstanceId("i-2")));
}

}  // namespace sapphire::serving
