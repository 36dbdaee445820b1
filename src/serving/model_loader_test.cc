/** @file model_loader_test.cc Tests of wake-ups against endpoints on loopback.
 */
#define BOOST_TEST_MODULE model_loader
#include <boost/test/unit_test.hpp>
#include <string>

#include "serving/loader_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::AgeingClock;
using testing::kModel;
using testing::kRequest;
using testing::kService;
using Rig = testing::LoaderRig;

}  // namespace

/**
 * After everything was stopped, all callers of a busy model are refused for
 * 9 s: the first entry to be back knew one engine yet, without a copy, and had
 * the model loaded there from the weight store.
 */
BOOST_AUTO_TEST_CASE(AnEntryThatHasJustStartedDoesNotTurnToTheWeightStore) {
  Rig rig;
  ModelLoader young(rig.finder, rig.calls, rig.peer_table, rig.registry,
                    rig.loads, rig.metrics, rig.io.get_executor(),
                    rig.loader_clock, rig.log);
  const auto at_once = young.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*at_once < milliseconds(1000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 0);
  rig.loader_clock.Advance(std::chrono::seconds(4));
  const auto later = young.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*later == milliseconds(8600)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
}

/**
 * Callers of a model are refused for 9 s although an engine has it on its disk:
 * that engine was heard of after the load from the weight store had begun.
 */
BOOST_AUTO_TEST_CASE(ANearCopyOvertakesALoadFromTheWeightStore) {
  Rig rig;
  rig.loader.Wake(rig.service, kModel, kRequest);
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(8600)));
  const auto near = rig.AddNearEndpoint();
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
}

/**
 * An entry ends in the middle of its callers' streams.
 * The VM is slow: a load that another entry told of is counted on as a wake-up
 * begins to look at the engines, and overdue a moment later, in the same look.
 */
BOOST_AUTO_TEST_CASE(ALoadThatBecomesOverdueDuringTheChoiceIsBorne) {
  Rig rig;
  rig.HearOfStoreLoad("i-1", "other", milliseconds(500));
  AgeingClock ageing;
  ageing.step = milliseconds(1000);
  const ReplicaFinder slow(core::ZoneId("z"), rig.registry, rig.peer_table,
                           rig.loads, rig.gauges, ageing);
  BOOST_TEST(slow.FindLoaders(rig.service, kModel).size() == 1);
  BOOST_TEST(slow.FindComing(kService, core::ModelId("other")).size() == 1);
}

/**
 * Callers of a busy model are refused for 16 s: rare models that are on no disk
 * any more are fetched in company, and the weight store serves four at once.
 */
BOOST_AUTO_TEST_CASE(RareModelsLeaveTheWeightStoreToBusyOnes) {
  Rig rig;
  const auto second = rig.AddNearEndpoint(
      [](fleet::EngineEntry& it) { it.copies.on_disk.clear(); });
  rig.HearOfStoreLoad("i-1", "other", milliseconds(100));
  rig.HearOfStoreLoad("i-2", "another", milliseconds(100));
  rig.loader.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) > milliseconds(16'000)));
  for (int i = 0; i < 10; ++i) rig.loader.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(8700)));
}

/**
 * Callers of models on disks are refused: each engine waits for the weight
 * store. One request for a rare model at one of many entries was multiplied by
 * their number, so that every model counted as a busy one.
 */
BOOST_AUTO_TEST_CASE(OneRequestAmongManyEntriesDoesNotMakeAModelBusy) {
  Rig rig;
  rig.SetEntries(40);
  rig.AddNearEndpoint(
      [](fleet::EngineEntry& it) { it.copies.on_disk.clear(); });
  rig.HearOfStoreLoad("i-1", "other", milliseconds(100));
  rig.HearOfStoreLoad("i-2", "another", milliseconds(100));
  rig.loader.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) > milliseconds(16'000)));
  rig.loader.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(8700)));
}

/**
 * Callers of a model wait until their patience is over, beside idle engines.
 * An endpoint was asked to load it and neither does so nor says that it can't.
 */
BOOST_AUTO_TEST_CASE(AnOverdueWakeUpIsAskedOfAnotherEngine) {
  Rig rig;
  rig.Describe([](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
  rig.loader.Wake(rig.service, kModel, kRequest);
  const auto other = rig.AddNearEndpoint();
  rig.loader_clock.Advance(std::chrono::seconds(4));
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(other->load_requests == 1);
}

/**
 * Callers of the busiest model pause and wait on three crowded engines for 20
 * s. A further replica is on its way from the weight store; an engine with a
 * copy on its disk comes back meanwhile and is not asked.
 */
BOOST_AUTO_TEST_CASE(ANearReplicaDoesNotWaitForOneFromTheWeightStore) {
  Rig rig;
  rig.loader.AddReplica(rig.service, kModel, policy::ReplicaNeed::kUrgent);
  const auto near = rig.AddNearEndpoint();
  rig.loader_clock.Advance(std::chrono::seconds(2));
  rig.loader.AddReplica(rig.service, kModel, policy::ReplicaNeed::kUseful);
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(near->load_requests == 1);
}

/**
 * All callers of a rare model are refused for a minute, beside a copy on a
 * disk. The engine with the copy has no room for a moment: what it holds was
 * asked for just now. The weight store was asked instead, where loads take 13
 * to 60 s in company, and nobody looked at the disk again meanwhile.
 */
BOOST_AUTO_TEST_CASE(ACopyWithoutRoomForAMomentIsWaitedFor) {
  Rig rig;
  const core::ModelId large("large");
  routing::ModelSpec& spec = rig.service.engine->models[large];
  spec.id = large;
  spec.bytes = rig.service.engine->memory_bytes;
  const auto near = rig.AddNearEndpoint([&large](fleet::EngineEntry& it) {
    it.models.push_back({large, 0, {}});
  });
  const fleet::SendTicket sent =
      rig.loads.Begin(fleet::InstanceId("i-2"), {large, core::AdapterId()});
  rig.loads.End(sent, fleet::SendResult::kServed);
  rig.loader_clock.Advance(milliseconds(200));
  const auto soon = rig.loader.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*soon < milliseconds(1000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 0);
  BOOST_TEST(near->load_requests == 0);
  rig.loader_clock.Advance(milliseconds(1800));
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
}

/**
 * A caller of a rare model is refused although its model could serve in time.
 * Whatever the engines hold was asked for a moment ago, so that none can make
 * room; half a second later one can.
 */
BOOST_AUTO_TEST_CASE(EnginesWithoutRoomForAMomentAreNoReasonToRefuse) {
  Rig rig;
  const core::ModelId large("large");
  routing::ModelSpec& spec = rig.service.engine->models[large];
  spec.id = large;
  spec.bytes = rig.service.engine->memory_bytes;
  rig.Describe([&large](fleet::EngineEntry& it) {
    it.models.push_back({large, 0, {}});
  });
  gen::ResidentUse use;
  use.model = large.value();
  use.idle_ms = 200;
  gen::EngineUse at;
  at.engine_instance = "i-1";
  at.parts.push_back(use);
  gen::EntryRecord record;
  record.uses.push_back(at);
  rig.Hear(record);
  const auto soon = rig.loader.Wake(rig.service, kModel, kRequest);
  BOOST_TEST(soon.has_value());
  BOOST_TEST((soon.value_or(milliseconds(0)) < milliseconds(1000)));
  BOOST_TEST(rig.endpoint.load_requests == 0);
  // Without any engine in reach there is nothing to wait for.
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  BOOST_TEST(!rig.loader.Wake(rig.service, kModel, kRequest).has_value());
}

/**
 * Loads from the weight store that would take 13 s take a minute.
 * The store serves one at full speed and nobody tells; each further load slows
 * down those before it. A load that took much longer than one alone does is the
 * sign not to begin another, also for a model that is asked for often.
 */
BOOST_AUTO_TEST_CASE(ACrowdedWeightStoreGetsNoFurtherLoad) {
  Rig rig;
  gen::EntryRecord record;
  record.store_load_ms = 20'000;
  gen::ComingLoad load;
  load.engine_instance = "i-1";
  load.model = "other";
  load.ready_in_ms = 5000;
  load.from_weight_store = true;
  record.loads.push_back(load);
  rig.Hear(record);
  for (int i = 0; i < 20; ++i) rig.loader.NoteAsked(kModel);
  const auto turn = rig.loader.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*turn >= milliseconds(40'000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 0);
}

/**
 * Callers at a hundred entries wait 1 to 2 s longer than the load of their
 * model takes. Another entry had asked for it; this one waited for the engine's
 * own entry in the store. Asked too, the endpoint tells it at the load's end.
 */
BOOST_AUTO_TEST_CASE(ALoadThatAnotherEntryAskedForIsJoined) {
  Rig rig;
  const auto near = rig.AddNearEndpoint();
  gen::EntryRecord record;
  gen::ComingLoad load;
  load.engine_instance = "i-2";
  load.model = kModel.value();
  load.ready_in_ms = 1500;
  record.loads.push_back(load);
  rig.Hear(record);
  const auto left = rig.loader.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*left == milliseconds(1500)));
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
  BOOST_TEST(rig.endpoint.load_requests == 0);
  // Not told on: else each would hold up what the other believes.
  BOOST_TEST(rig.loader.Asked().empty());
}

/**
 * Callers of a model are refused for seconds beside idle engines.
 * The endpoint that was asked is busy with an order that nobody here knew of,
 * and says so at once; the next one that has a copy is asked.
 */
BOOST_AUTO_TEST_CASE(AnEndpointThatRefusesIsFollowedByAnother) {
  Rig rig;
  rig.Describe([](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
  rig.endpoint.refuses = true;
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  const auto near = rig.AddNearEndpoint();
  BOOST_TEST(
      (*rig.loader.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(near->load_requests == 1);
}

/**
 * A model in use is dropped, and its callers wait until it is loaded again.
 * The process beside the engine hears of no use by itself: whoever asks it for
 * a load says what all entries use there.
 */
BOOST_AUTO_TEST_CASE(ALoadRequestTellsOfTheUseByAllEntries) {
  Rig rig;
  rig.Describe([](fleet::EngineEntry& it) {
    it.models.push_back({core::ModelId("busy"), 0, {}});
  });
  rig.loads.Begin(fleet::InstanceId("i-1"),
                  {core::ModelId("busy"), core::AdapterId()});
  gen::ResidentUse use;
  use.model = "busy";
  use.running = 2;
  use.idle_ms = 300;
  gen::EngineUse at;
  at.engine_instance = "i-1";
  at.parts.push_back(use);
  gen::EntryRecord record;
  record.uses.push_back(at);
  rig.Hear(record);
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_REQUIRE(rig.endpoint.last_load_request.resident_use.size() == 1);
  BOOST_TEST(rig.endpoint.last_load_request.resident_use.front().running == 3);
  BOOST_TEST(rig.endpoint.last_load_request.resident_use.front().idle_ms == 0);
}

/**
 * A new configuration is in force seconds late on the smallest entries.
 * Pattern: ten requests wait for rare models, each looks several times a
 * second, and each look worked out what 160 engines hold and who uses it. Use
 * is looked at anew after 250 ms only; what engines hold, and what this entry
 * has asked for, counts at once.
 */
BOOST_AUTO_TEST_CASE(WhatEnginesHoldIsNotWorkedOutForEachWaiter) {
  Rig rig;
  const core::ModelId other("other");
  rig.Describe([&other](fleet::EngineEntry& it) {
    it.models.push_back({other, 0, {}});
  });
  const auto running = [&rig] {
    const auto loaders = rig.finder.FindLoaders(rig.service, kModel);
    return loaders.front().view.residents.front().running;
  };
  BOOST_TEST(running() == 0);
  rig.loads.Begin(fleet::InstanceId("i-1"), {other, core::AdapterId()});
  BOOST_TEST(running() == 0);
  rig.loader_clock.Advance(milliseconds(250));
  BOOST_TEST(running() == 1);
  rig.Describe([](fleet::EngineEntry& it) {
    it.models.push_back({core::ModelId("third"), 0, {}});
  });
  const auto loaders = rig.finder.FindLoaders(rig.service, kModel);
  BOOST_TEST(loaders.front().view.residents.size() == 2);
  rig.loader.Wake(rig.service, kModel, kRequest);
  // The engine takes its load now: it holds the model as good as already.
  BOOST_TEST(rig.finder.FindLoaders(rig.service, kModel).empty());
}

/** Guards against a request a moment to a process that can't be reached: its
 * engine's callers are told at once when to come back. */
BOOST_AUTO_TEST_CASE(AnUnreachableControllerIsLeftAloneForAWhile) {
  Rig rig;
  rig.Describe([](fleet::EngineEntry& it) { it.address = "127.0.0.9:1"; });
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  const fleet::InstanceId engine("i-1");
  BOOST_TEST(!rig.loader.CanOrder(engine));
  BOOST_TEST(!rig.loader.Wake(rig.service, kModel, kRequest).has_value());
  BOOST_TEST((*rig.loader.FirstReachable(kService) == milliseconds(1000)));
  rig.loader_clock.Advance(milliseconds(2100));
  BOOST_TEST(rig.loader.Wake(rig.service, kModel, kRequest).has_value());
  rig.Settle();
  BOOST_TEST((*rig.loader.FirstReachable(kService) == milliseconds(2000)));
}

/** Guards against callers that are refused by an engine which works: only the
 * process that gives it orders is gone. */
BOOST_AUTO_TEST_CASE(AnEngineServesOnWithoutItsController) {
  Rig rig;
  rig.Describe([](fleet::EngineEntry& it) {
    it.address = "127.0.0.9:1";
    it.models.push_back({core::ModelId("held"), 1, {}});
  });
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(!rig.loads.IsUnreachable(fleet::InstanceId("i-1")));
}

/** Guards against callers that wait out the pause of a holder which is gone: a
 * new one is asked at once. */
BOOST_AUTO_TEST_CASE(ANewHolderIsAskedAtOnce) {
  Rig rig;
  rig.Describe([](fleet::EngineEntry& it) { it.address = "127.0.0.9:1"; });
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  const fleet::InstanceId engine("i-1");
  BOOST_TEST(!rig.loader.CanOrder(engine));
  rig.holders.Put("127.0.0.9:1", {"vm-2", rig.endpoint.address, 7});
  BOOST_TEST(rig.loader.CanOrder(engine));
  rig.loader_clock.Advance(milliseconds(2100));
  rig.loader.Wake(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
}

}  // namespace sapphire::serving
