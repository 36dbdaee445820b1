/** @file model_loader_test.cc Tests of model loads with endpoints on loopback.
 */
#define BOOST_TEST_MODULE model_loader
#include <boost/test/unit_test.hpp>
#include <string>

#include "serving/loader_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::AdvancingClock;
using testing::kModel;
using testing::kRequest;
using testing::kService;
using Rig = testing::LoaderRig;

}  // namespace

/** Guards against callers of a busy model that are refused for 9 s after a
 * complete restart: the first entry that was back knew only one engine, without
 * a copy, and requested a load from the weight store there. */
BOOST_AUTO_TEST_CASE(StartingEntryDoesNotLoadFromTheWeightStore) {
  Rig rig;
  ModelLoader young(rig.finder, rig.calls, rig.peer_table, rig.registry,
                    rig.loads, rig.metrics, rig.io.get_executor(),
                    rig.loader_clock, rig.log);
  const auto at_once = young.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST((*at_once < milliseconds(1000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 0);
  rig.loader_clock.Advance(std::chrono::seconds(4));
  const auto later = young.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST((*later == milliseconds(8600)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
}

/** Guards against callers that are refused for 9 s although an engine has the
 * model on its disk: that engine registered after the load from the weight
 * store had begun. */
BOOST_AUTO_TEST_CASE(DiskCopyIsLoadedDespiteAWeightStoreLoad) {
  Rig rig;
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(8600)));
  const auto near = rig.AddEndpointWithDiskCopy();
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
}

/** Guards against a load at an engine of another software version, which can't
 * go on with the stream that needs it. */
BOOST_AUTO_TEST_CASE(ModelOfABegunStreamIsLoadedAtItsVersion) {
  Rig rig;
  rig.PutEngine(rig.EngineAt("i-1", "127.0.0.1:1"));
  const auto near = rig.AddEndpointWithDiskCopy();
  const fleet::SoftwareVersion version("v1");
  BOOST_TEST(!rig.loader.RequestLoad(rig.service, kModel, kRequest, version)
                  .has_value());
  fleet::EngineEntry same = rig.EngineAt("i-1", "127.0.0.1:1");
  same.software_version = version;
  rig.PutEngine(same);
  rig.loader.RequestLoad(rig.service, kModel, kRequest, version);
  rig.Settle();
  BOOST_TEST(near->load_requests == 0);
  BOOST_TEST(rig.endpoint.load_requests == 1);
}

/** Guards against callers that wait for a model which is loaded on an engine
 * that has said in an answer that it leaves, and against a load there. */
BOOST_AUTO_TEST_CASE(ModelIsLoadedElsewhereThanOnAnEngineThatLeaves) {
  Rig rig;
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  fleet::EngineNotice leaving;
  leaving.leaving = true;
  rig.loads.notices().Apply(fleet::InstanceId("i-1"), leaving, milliseconds(0));
  BOOST_TEST(
      !rig.loader.RequestLoad(rig.service, kModel, kRequest).has_value());
  const auto near = rig.AddEndpointWithDiskCopy();
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
  BOOST_TEST(rig.endpoint.load_requests == 1);
}

/** Guards against a model that is loaded once more for a rest of a second, and
 * against callers that wait for a rest which outlasts a load elsewhere. */
BOOST_AUTO_TEST_CASE(ModelIsLoadedElsewhereOnlyForALongRest) {
  Rig rig;
  const auto near = rig.AddEndpointWithDiskCopy();
  BOOST_TEST(!rig.loader.RequestLoad(rig.service, kModel, kRequest, {},
                                     milliseconds(1000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 0);
  BOOST_TEST(
      (*rig.loader.RequestLoad(rig.service, kModel, kRequest, {},
                               milliseconds(5000)) == milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
}

/** Guards against callers that are told a time before the end of the rest of
 * the engine that loads their model. */
BOOST_AUTO_TEST_CASE(ModelLoadedDuringARestServesAfterIt) {
  Rig rig;
  const auto near = rig.AddEndpointWithDiskCopy();
  fleet::EngineNotice rest;
  rest.rest = milliseconds(3000);
  rig.loads.notices().Apply(fleet::InstanceId("i-2"), rest, milliseconds(0));
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(5000)));
}

/** Guards against an entry that crashes in the middle of its callers' streams.
 * On a slow VM, a load that another entry has reported may be pending when the
 * choice begins and overdue a moment later, in the same choice. */
BOOST_AUTO_TEST_CASE(LoadMayBecomeOverdueDuringTheChoice) {
  Rig rig;
  rig.ReceiveStoreLoad("i-1", "other", milliseconds(500));
  AdvancingClock advancing;
  advancing.step = milliseconds(1000);
  const ReplicaFinder slow(core::ZoneId("z"), rig.registry, rig.peer_table,
                           rig.loads, rig.gauges, advancing);
  BOOST_TEST(slow.FindLoadCandidates(rig.service, kModel).size() == 1);
  BOOST_TEST(slow.FindPendingLoads(kService, core::ModelId("other")).size() ==
             1);
}

/** Guards against callers of a busy model that are refused for 16 s: rare
 * models that are on no disk any more are loaded concurrently, and the weight
 * store serves four at once. */
BOOST_AUTO_TEST_CASE(BusyModelsHavePriorityAtTheWeightStore) {
  Rig rig;
  const auto second = rig.AddEndpointWithDiskCopy(
      [](fleet::EngineEntry& it) { it.copies.on_disk.clear(); });
  rig.ReceiveStoreLoad("i-1", "other", milliseconds(100));
  rig.ReceiveStoreLoad("i-2", "another", milliseconds(100));
  rig.loader.RecordRequest(kModel);
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) >
              milliseconds(16'000)));
  for (int i = 0; i < 10; ++i) rig.loader.RecordRequest(kModel);
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(8700)));
}

/** Guards against refused callers of models on disks while each engine waits
 * for the weight store: one request for a rare model at one of many entries was
 * multiplied by their number, so that every model counted as busy. */
BOOST_AUTO_TEST_CASE(OneRequestAmongManyEntriesDoesNotMakeAModelBusy) {
  Rig rig;
  rig.SetEntries(40);
  rig.AddEndpointWithDiskCopy(
      [](fleet::EngineEntry& it) { it.copies.on_disk.clear(); });
  rig.ReceiveStoreLoad("i-1", "other", milliseconds(100));
  rig.ReceiveStoreLoad("i-2", "another", milliseconds(100));
  rig.loader.RecordRequest(kModel);
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) >
              milliseconds(16'000)));
  rig.loader.RecordRequest(kModel);
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(8700)));
}

/** Guards against callers that wait until their deadline beside idle engines:
 * an endpoint that was asked for a load neither loads the model nor reports a
 * failure. */
BOOST_AUTO_TEST_CASE(OverdueLoadIsRequestedFromAnotherEngine) {
  Rig rig;
  rig.ChangeEngine(
      [](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  const auto other = rig.AddEndpointWithDiskCopy();
  rig.loader_clock.Advance(std::chrono::seconds(4));
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(other->load_requests == 1);
}

/** Guards against callers of the busiest model that wait for 20 s on three
 * overloaded engines: a further replica is being loaded from the weight store,
 * and an engine that returns meanwhile with a copy on its disk was not asked.
 */
BOOST_AUTO_TEST_CASE(DiskReplicaDoesNotWaitForAWeightStoreLoad) {
  Rig rig;
  rig.loader.AddReplica(rig.service, kModel, policy::ReplicaNeed::kUrgent);
  const auto near = rig.AddEndpointWithDiskCopy();
  rig.loader_clock.Advance(std::chrono::seconds(2));
  rig.loader.AddReplica(rig.service, kModel, policy::ReplicaNeed::kUseful);
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(near->load_requests == 1);
}

/**
 * Guards against callers of a rare model that are refused for a minute beside a
 * copy on a disk. The engine with the copy has no room for a moment, as what it
 * holds was requested just now. The load went to the weight store instead,
 * where concurrent loads take 13 to 60 s, and the disk was not tried again
 * meanwhile.
 */
BOOST_AUTO_TEST_CASE(DiskCopyWithoutRoomIsWaitedFor) {
  Rig rig;
  const core::ModelId large("large");
  routing::ModelSpec& spec = rig.service.engine->models[large];
  spec.id = large;
  spec.bytes = rig.service.engine->memory_bytes;
  const auto near =
      rig.AddEndpointWithDiskCopy([&large](fleet::EngineEntry& it) {
        it.models.push_back({large, 0, {}});
      });
  const fleet::SendTicket sent =
      rig.loads.Begin(fleet::InstanceId("i-2"), {large, core::AdapterId()});
  rig.loads.End(sent, fleet::SendResult::kServed);
  rig.loader_clock.Advance(milliseconds(200));
  const auto soon = rig.loader.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST((*soon < milliseconds(1000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 0);
  BOOST_TEST(near->load_requests == 0);
  rig.loader_clock.Advance(milliseconds(1800));
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
}

/** Guards against a refused caller although its model could serve in time:
 * everything that the engines hold was requested a moment ago, so none can make
 * room; half a second later one can. */
BOOST_AUTO_TEST_CASE(BriefLackOfRoomCausesNoRefusal) {
  Rig rig;
  const core::ModelId large("large");
  routing::ModelSpec& spec = rig.service.engine->models[large];
  spec.id = large;
  spec.bytes = rig.service.engine->memory_bytes;
  rig.ChangeEngine([&large](fleet::EngineEntry& it) {
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
  rig.ReceiveRecord(record);
  const auto soon = rig.loader.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST(soon.has_value());
  BOOST_TEST((soon.value_or(milliseconds(0)) < milliseconds(1000)));
  BOOST_TEST(rig.endpoint.load_requests == 0);
  // Without a reachable engine there is nothing to wait for.
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  BOOST_TEST(
      !rig.loader.RequestLoad(rig.service, kModel, kRequest).has_value());
}

/**
 * Guards against loads from the weight store that take a minute instead of
 * thirteen seconds. The store serves one load at full speed and does not report
 * that; each further load slows down those before it. A load that took much
 * longer than a single one shows that no other should begin, even for a model
 * that is requested often.
 */
BOOST_AUTO_TEST_CASE(OverloadedWeightStoreGetsNoFurtherLoad) {
  Rig rig;
  gen::EntryRecord record;
  record.store_load_ms = 20'000;
  gen::ComingLoad load;
  load.engine_instance = "i-1";
  load.model = "other";
  load.ready_in_ms = 5000;
  load.from_weight_store = true;
  record.loads.push_back(load);
  rig.ReceiveRecord(record);
  for (int i = 0; i < 20; ++i) rig.loader.RecordRequest(kModel);
  const auto turn = rig.loader.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST((*turn >= milliseconds(40'000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 0);
}

/**
 * Guards against callers at a hundred entries that wait 1 to 2 s longer than
 * their model's load takes: another entry had requested it, and this one waited
 * for the update of the engine's entry in the store. If it requests the load
 * too, the endpoint answers it at the load's end.
 */
BOOST_AUTO_TEST_CASE(LoadOfAnotherEntryIsJoined) {
  Rig rig;
  const auto near = rig.AddEndpointWithDiskCopy();
  gen::EntryRecord record;
  gen::ComingLoad load;
  load.engine_instance = "i-2";
  load.model = kModel.value();
  load.ready_in_ms = 1500;
  record.loads.push_back(load);
  rig.ReceiveRecord(record);
  const auto left = rig.loader.RequestLoad(rig.service, kModel, kRequest);
  BOOST_TEST((*left == milliseconds(1500)));
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(near->load_requests == 1);
  BOOST_TEST(rig.endpoint.load_requests == 0);
  // Joined loads are not reported: otherwise entries would keep each other's
  // information alive.
  BOOST_TEST(rig.loader.PendingLoads().empty());
}

/** Guards against callers that are refused for seconds beside idle engines: the
 * endpoint that was asked is busy with an order unknown to this entry and says
 * so at once; the next one with a copy is asked. */
BOOST_AUTO_TEST_CASE(AnotherEndpointIsAskedAfterARefusal) {
  Rig rig;
  rig.ChangeEngine(
      [](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
  rig.endpoint.refuses = true;
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  const auto near = rig.AddEndpointWithDiskCopy();
  BOOST_TEST((*rig.loader.RequestLoad(rig.service, kModel, kRequest) ==
              milliseconds(2000)));
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(near->load_requests == 1);
}

/** Guards against a model that is unloaded while in use: the process beside the
 * engine sees no usage itself, so each load request reports the usage by all
 * entries. */
BOOST_AUTO_TEST_CASE(LoadRequestReportsUsageByAllEntries) {
  Rig rig;
  rig.ChangeEngine([](fleet::EngineEntry& it) {
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
  rig.ReceiveRecord(record);
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_REQUIRE(rig.endpoint.last_load_request.resident_use.size() == 1);
  BOOST_TEST(rig.endpoint.last_load_request.resident_use.front().running == 3);
  BOOST_TEST(rig.endpoint.last_load_request.resident_use.front().idle_ms == 0);
}

/**
 * Guards against a new configuration that takes effect seconds late on the
 * smallest entries: ten requests wait for rare models, each checks several
 * times a second, and each check computed what 160 engines hold and who uses
 * it. Usage is updated every 250 ms only; what engines hold, and this entry's
 * own loads, count at once.
 */
BOOST_AUTO_TEST_CASE(CandidatesAreNotRecomputedPerRequest) {
  Rig rig;
  const core::ModelId other("other");
  rig.ChangeEngine([&other](fleet::EngineEntry& it) {
    it.models.push_back({other, 0, {}});
  });
  const auto running = [&rig] {
    const auto loaders = rig.finder.FindLoadCandidates(rig.service, kModel);
    return loaders.front().view.residents.front().running;
  };
  BOOST_TEST(running() == 0);
  rig.loads.Begin(fleet::InstanceId("i-1"), {other, core::AdapterId()});
  BOOST_TEST(running() == 0);
  rig.loader_clock.Advance(milliseconds(250));
  BOOST_TEST(running() == 1);
  rig.ChangeEngine([](fleet::EngineEntry& it) {
    it.models.push_back({core::ModelId("third"), 0, {}});
  });
  const auto loaders = rig.finder.FindLoadCandidates(rig.service, kModel);
  BOOST_TEST(loaders.front().view.residents.size() == 2);
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  // The engine's load is pending now, so it counts as holding the model.
  BOOST_TEST(rig.finder.FindLoadCandidates(rig.service, kModel).empty());
}

/** Guards against constant requests to an unreachable process: callers of its
 * engine are told at once when to retry. */
BOOST_AUTO_TEST_CASE(UnreachableControllerIsNotRetriedAtOnce) {
  Rig rig;
  rig.ChangeEngine([](fleet::EngineEntry& it) { it.address = "127.0.0.9:1"; });
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  const fleet::InstanceId engine("i-1");
  BOOST_TEST(!rig.loader.IsControllerReachable(engine));
  BOOST_TEST(
      !rig.loader.RequestLoad(rig.service, kModel, kRequest).has_value());
  BOOST_TEST(
      (*rig.loader.TimeToFirstReachable(kService) == milliseconds(1000)));
  rig.loader_clock.Advance(milliseconds(2100));
  BOOST_TEST(rig.loader.RequestLoad(rig.service, kModel, kRequest).has_value());
  rig.Settle();
  BOOST_TEST(
      (*rig.loader.TimeToFirstReachable(kService) == milliseconds(2000)));
}

/** Guards against callers that are refused although their engine works: only
 * the process that controls it is down. */
BOOST_AUTO_TEST_CASE(EngineKeepsServingWithoutItsController) {
  Rig rig;
  rig.ChangeEngine([](fleet::EngineEntry& it) {
    it.address = "127.0.0.9:1";
    it.models.push_back({core::ModelId("held"), 1, {}});
  });
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(!rig.loads.IsUnreachable(fleet::InstanceId("i-1")));
}

/** Guards against callers that wait out the pause of a holder that no longer
 * exists: a new one is asked at once. */
BOOST_AUTO_TEST_CASE(NewHolderIsUsedAtOnce) {
  Rig rig;
  rig.ChangeEngine([](fleet::EngineEntry& it) { it.address = "127.0.0.9:1"; });
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  const fleet::InstanceId engine("i-1");
  BOOST_TEST(!rig.loader.IsControllerReachable(engine));
  rig.holders.Put("127.0.0.9:1", {"vm-2", rig.endpoint.address, 7});
  BOOST_TEST(rig.loader.IsControllerReachable(engine));
  rig.loader_clock.Advance(milliseconds(2100));
  rig.loader.RequestLoad(rig.service, kModel, kRequest);
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
}

}  // namespace sapphire::serving
