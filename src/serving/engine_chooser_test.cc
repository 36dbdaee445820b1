/** @file engine_chooser_test.cc Tests of the choice of an engine, with
 * endpoints on loopback. */
#define BOOST_TEST_MODULE engine_chooser
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "entry/testing_key_value.h"
#include "serving/dispatcher_rig_test.h"
#include "serving/engine_chooser_base.h"
#include "serving/loader_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::kModel;
using testing::kService;
using testing::RecordingWriter;

const core::AdapterId kAdapter("a1");

void HoldModel(fleet::EngineEntry& engine) {
  engine.models.push_back({kModel, 0, {}});
}

/** A chooser on top of the model loader's rig. */
struct Rig : testing::LoaderRig {
  Rig()
      : store(store_clock),
        crash_watch(
            "self",
            {peer_table, [](const std::string&, const gen::EntryDatagram&) {},
             store, io.get_executor(), clock, log},
            loads),
        chooser(policy::EnginePace(), registry, peer_table, gauges, finder,
                loader, crash_watch, clock) {
    route.kind = routing::RequestKind::kStream;
    route.idle_timeout = milliseconds(16'000);
    request.model = kModel;
    request.id = core::RequestId("r");
  }

  /** Starts to choose for a request with a deadline after `wait`. */
  void Start(milliseconds wait) {
    work = std::make_unique<RequestWork>(request, writer, clock.Now());
    work->deadline = work->arrived + wait;
    work->route = &route;
    work->service = &service;
    entry::testing::StartTask(io, Ended(*work), outcome);
  }

  core::Task<std::string> Ended(RequestWork& one) {
    std::string error = "ok";
    try {
      co_await chooser.Choose(one);
    } catch (const core::Error& e) {
      error = core::InfoOf(e.code()).name;
    }
    co_return error;
  }

  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store;
  CrashWatch crash_watch;
  EngineChooser chooser;
  routing::Route route;
  CallerRequest request;
  RecordingWriter writer;
  std::unique_ptr<RequestWork> work;
  entry::testing::Outcome<std::string> outcome;
};

}  // namespace

/** Guards against callers of an adapter that wait 9 s and are refused: the
 * engine that looks cheapest is loading a model and accepts no order meanwhile,
 * while another engine that holds the model would load the adapter in 30 ms. */
BOOST_AUTO_TEST_CASE(AdapterIsLoadedOnAnEngineThatAcceptsOrders) {
  Rig rig;
  rig.ChangeEngine(HoldModel);
  rig.ReceiveStoreLoad("i-1", "other", milliseconds(9000));
  const auto idle = rig.AddEndpointWithDiskCopy(HoldModel);
  for (int i = 0; i < 5; ++i) {
    rig.loads.Begin(fleet::InstanceId("i-2"), {kModel, core::AdapterId()});
  }
  rig.request.adapter = kAdapter;
  rig.Start(milliseconds(1000));
  entry::testing::RunUntil(
      rig.io, [&] { return idle->load_requests > 0 || rig.outcome.value; });
  BOOST_TEST(idle->load_requests == 1);
  BOOST_TEST(rig.endpoint.load_requests == 0);
}

/** A request for an adapter that no engine can load in time is refused at once.
 */
BOOST_AUTO_TEST_CASE(RequestForALateAdapterIsRefusedAtOnce) {
  Rig rig;
  rig.ChangeEngine(HoldModel);
  rig.ReceiveStoreLoad("i-1", "other", milliseconds(9000));
  rig.request.adapter = kAdapter;
  rig.Start(milliseconds(4000));
  entry::testing::RunUntil(rig.io,
                           [&] { return rig.outcome.value.has_value(); });
  BOOST_TEST(*rig.outcome.value == "no_capacity");
  BOOST_TEST((rig.clock.Now() - rig.work->arrived < milliseconds(1000)));
}

/**
 * Guards against callers of the busiest model that pause and wait for eight
 * seconds after a complete restart. No engine holds the model; all requests
 * that arrive during its load of two seconds would meet the one engine that has
 * it then.
 */
BOOST_AUTO_TEST_CASE(ModelWithManyWaitersIsLoadedOnSeveralEngines) {
  Rig rig;
  rig.ChangeEngine(
      [](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
  const auto near = rig.AddEndpointWithDiskCopy();
  std::vector<std::unique_ptr<RequestWork>> works;
  for (int i = 0; i < 20; ++i) {
    rig.Start(milliseconds(10'000));
    works.push_back(std::move(rig.work));
    rig.Settle();
  }
  rig.Settle();
  rig.Settle();
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests == 1);
  BOOST_TEST(near->load_requests == 1);
}

/** Few callers need one engine only; the memory of the others stays as it is.
 */
BOOST_AUTO_TEST_CASE(ModelWithFewWaitersIsLoadedOnOneEngine) {
  Rig rig;
  rig.ChangeEngine(
      [](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
  const auto near = rig.AddEndpointWithDiskCopy();
  rig.Start(milliseconds(10'000));
  rig.Settle();
  rig.Settle();
  rig.Settle();
  BOOST_TEST(rig.endpoint.load_requests + near->load_requests == 1);
}

/** Guards against a replica that is loaded because one of two engines that hold
 * the model rests for a moment. */
BOOST_AUTO_TEST_CASE(RestIsNoDemandForAReplica) {
  for (const bool leaves : {false, true}) {
    Rig rig;
    rig.ChangeEngine(
        [](fleet::EngineEntry& it) { it.copies.on_disk = {kModel}; });
    const auto near = rig.AddEndpointWithDiskCopy(HoldModel);
    fleet::EngineEntry third =
        testing::LoaderRig::EngineAt("i-3", "127.0.0.3:1");
    HoldModel(third);
    rig.PutEngine(third);
    for (int i = 0; i < 60; ++i) {
      const fleet::SendTicket ticket = rig.loads.Begin(
          fleet::InstanceId("i-2"), {kModel, core::AdapterId()});
      rig.loads.End(ticket, fleet::SendResult::kServed);
    }
    fleet::EngineNotice notice;
    notice.leaving = leaves;
    if (!leaves) notice.rest = milliseconds(3000);
    rig.loads.notices().Apply(third.instance, notice, milliseconds(0));
    rig.Start(milliseconds(4000));
    entry::testing::RunUntil(rig.io,
                             [&] { return rig.outcome.value.has_value(); });
    if (leaves) {
      entry::testing::RunUntil(rig.io,
                               [&] { return rig.endpoint.load_requests > 0; });
    }
    rig.Settle();
    BOOST_TEST(*rig.outcome.value == "ok");
    // Without the engine that leaves, one alone serves a model in demand.
    BOOST_TEST(rig.endpoint.load_requests == (leaves ? 1 : 0));
  }
}

/** Guards against a caller that waits 8 s and is refused then: its entry shuts
 * down before the model can be loaded, but waited for the load until the
 * process was about to end. */
BOOST_AUTO_TEST_CASE(StoppingEntryDoesNotWaitForALateLoad) {
  Rig rig;
  rig.chooser.SetShutdownTime(rig.clock.Now() + std::chrono::seconds(7));
  rig.Start(milliseconds(20'000));
  entry::testing::RunUntil(rig.io,
                           [&] { return rig.outcome.value.has_value(); });
  BOOST_TEST(*rig.outcome.value == "leaving");
  BOOST_TEST((rig.clock.Now() - rig.work->arrived < milliseconds(1000)));
}

}  // namespace sapphire::serving
