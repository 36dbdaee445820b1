/** @file model_waker_test.cc Tests of wake-ups against endpoints on loopback.
 */
#define BOOST_TEST_MODULE model_waker
#include <boost/test/unit_test.hpp>
#include <string>

#include "serving/waker_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::kModel;
using testing::kRequest;
using Rig = testing::WakerRig;

}  // namespace

/**
 * After everything was stopped, all callers of a busy model are refused for
 * 9 s: the first entry to be back knew one engine yet, without a copy, and had
 * the model loaded there from the weight store.
 */
BOOST_AUTO_TEST_CASE(AnEntryThatHasJustStartedDoesNotTurnToTheWeightStore) {
  Rig rig;
  const auto at_once = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*at_once < milliseconds(1000)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 0);
  rig.waker_clock.Advance(std::chrono::seconds(4));
  const auto later = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*later == milliseconds(8600)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 1);
}

/**
 * Callers of a model are refused for 9 s although an engine has it on its disk:
 * that engine was heard of after the load from the weight store had begun.
 */
BOOST_AUTO_TEST_CASE(ANearCopyOvertakesALoadFromTheWeightStore) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(8600)));
  const auto near = rig.AddNearEndpoint();
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.AwaitReports(3);
  BOOST_TEST(near->wishes == 1);
}

/**
 * An entry ends in the middle of its callers' streams.
 * The VM is slow: an endpoint's report is fresh as a wake-up begins to look at
 * the engines, and too old a moment later, in the same look.
 */
BOOST_AUTO_TEST_CASE(AReportThatAgesDuringTheChoiceIsBorne) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.clock.step = milliseconds(1000);
  const auto wakers = rig.finder.FindWakers(rig.service, kModel);
  BOOST_TEST(wakers.size() == 1);
}

/**
 * Callers of a busy model are refused for 16 s: rare models that are on no disk
 * any more are fetched in company, and the weight store serves four at once.
 */
BOOST_AUTO_TEST_CASE(RareModelsLeaveTheWeightStoreToBusyOnes) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.endpoint.report.loading_model = "other";
  rig.AwaitReports(3);
  const auto second = rig.AddNearEndpoint();
  second->report.disk_tier.clear();
  second->report.loading_model = "another";
  rig.AwaitReports(4);
  rig.waker.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) > milliseconds(16'000)));
  for (int i = 0; i < 10; ++i) rig.waker.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(8600)));
}

/**
 * Callers of a model wait until their patience is over, beside idle engines.
 * An endpoint was asked to load it and neither does so nor says that it can't.
 */
BOOST_AUTO_TEST_CASE(AnOverdueWakeUpIsAskedOfAnotherEngine) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.endpoint.report.disk_tier = {kModel.value()};
  rig.AwaitReports(3);
  rig.waker.Wake(rig.service, kModel, kRequest);
  const auto other = rig.AddNearEndpoint();
  rig.waker_clock.Advance(std::chrono::seconds(4));
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 1);
  BOOST_TEST(other->wishes == 1);
}

/**
 * Callers of the busiest model pause and wait on three crowded engines for 20
 * s. A further replica is on its way from the weight store; an engine with a
 * copy on its disk comes back meanwhile and is not asked.
 */
BOOST_AUTO_TEST_CASE(ANearReplicaDoesNotWaitForOneFromTheWeightStore) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.waker.AddReplica(rig.service, kModel, policy::ReplicaNeed::kUrgent);
  const auto near = rig.AddNearEndpoint();
  rig.waker_clock.Advance(std::chrono::seconds(2));
  rig.waker.AddReplica(rig.service, kModel, policy::ReplicaNeed::kUseful);
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 1);
  BOOST_TEST(near->wishes == 1);
}

/**
 * All callers of a rare model are refused for a minute, beside a copy on a
 * disk. The engine with the copy has no room for a moment: what it holds was
 * loaded for somebody just now. The weight store was asked instead, where loads
 * take 13 to 60 s in company, and nobody looked at the disk again meanwhile.
 */
BOOST_AUTO_TEST_CASE(ACopyWithoutRoomForAMomentIsWaitedFor) {
  testing::WakerRig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  const core::ModelId large("large");
  routing::ModelSpec& spec = rig.service.engine->models[large];
  spec.id = large;
  spec.bytes = rig.service.engine->memory_bytes;
  const auto near = rig.AddNearEndpoint();
  gen::ReplicaReport held;
  held.model = large.value();
  held.state = gen::ReplicaState::READY;
  held.idle_ms = 200;
  near->report.replicas = {held};
  rig.AwaitReports(4);
  const auto soon = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*soon < milliseconds(1000)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 0);
  BOOST_TEST(near->wishes == 0);
  near->report.replicas.front().idle_ms = 2000;
  rig.AwaitReports(4);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.AwaitReports(3);
  BOOST_TEST(near->wishes == 1);
}

/**
 * A caller of a rare model is refused although its model could serve in time.
 * Whatever the engines hold was loaded for somebody a moment ago, so that none
 * can make room; half a second later one can.
 */
BOOST_AUTO_TEST_CASE(EnginesWithoutRoomForAMomentAreNoReasonToRefuse) {
  testing::WakerRig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  const core::ModelId large("large");
  routing::ModelSpec& spec = rig.service.engine->models[large];
  spec.id = large;
  spec.bytes = rig.service.engine->memory_bytes;
  gen::ReplicaReport held;
  held.model = large.value();
  held.state = gen::ReplicaState::READY;
  held.idle_ms = 200;
  rig.endpoint.report.replicas = {held};
  rig.AwaitReports(4);
  const auto soon = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST(soon.has_value());
  BOOST_TEST((soon.value_or(milliseconds(0)) < milliseconds(1000)));
  BOOST_TEST(rig.endpoint.wishes == 0);
  // Without any engine in reach there is nothing to wait for.
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  BOOST_TEST(!rig.waker.Wake(rig.service, kModel, kRequest).has_value());
}

/**
 * Loads from the weight store that would take 13 s take a minute.
 * The store serves one at full speed and nobody tells; each further load slows
 * down those before it. A load that took much longer than one alone does is the
 * sign not to begin another, also for a model that is asked for often.
 */
BOOST_AUTO_TEST_CASE(ACrowdedWeightStoreGetsNoFurtherLoad) {
  testing::WakerRig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.endpoint.report.loading_model = "other";
  rig.endpoint.report.store_load_ms = 20'000;
  rig.AwaitReports(4);
  for (int i = 0; i < 20; ++i) rig.waker.NoteAsked(kModel);
  const auto turn = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*turn >= milliseconds(40'000)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 0);
}

}  // namespace sapphire::serving
