/** @file engine_controller_test.cc Tests of the controller of one engine.
 *
 * The engine has memory for three models, like the engines in the operators'
 * data sheets.
 */
#define BOOST_TEST_MODULE engine_controller
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "fleet/entry_message_func.h"
#include "orders/engine_controller_base.h"
#include "orders/testing_engine.h"

namespace sapphire::orders {

namespace {

using entry::testing::RunTask;
using std::chrono::milliseconds;

constexpr std::int64_t kGigabyte = 1'000'000'000;
constexpr std::int64_t kMemory = 230 * kGigabyte;
constexpr std::int64_t kModel = 70 * kGigabyte;
constexpr milliseconds kRemoteLoad{9000};
constexpr milliseconds kDiskLoad{300};
const core::ServiceId kService("drafts");
const std::string kEngine("10.0.0.1:80");

routing::Configuration MakeConfiguration() {
  routing::Service service;
  service.id = kService;
  service.engine.emplace();
  service.engine->memory_bytes = kMemory;
  service.engine->max_adapters = 8;
  service.engine->max_running = 64;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    routing::ModelSpec model;
    model.id = core::ModelId(name);
    model.bytes = kModel;
    model.load_times.remote = kRemoteLoad;
    model.load_times.disk = kDiskLoad;
    service.engine->models[model.id] = model;
  }
  routing::Configuration configuration;
  configuration.version = 1;
  configuration.services[service.id] = service;
  return configuration;
}

ControllerOptions Options() {
  ControllerOptions options;
  options.engine_address = kEngine;
  options.service = kService;
  options.busy_poll_interval = milliseconds(5);
  options.poll_interval = milliseconds(10);
  return options;
}

/** A controller and its testing engine. */
struct Rig {
  /** @param handover_complete An earlier process on this VM has left its key,
   * and the wait after the orders of other VMs is over. */
  explicit Rig(const LeaseOptions& lease = Lease(),
               bool handover_complete = true)
      : log({"endpoint", core::VmId("vm-1"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        leases(lease, IgnoreReleaseRequest, store, clock, log) {
    configuration.Adopt(MakeConfiguration());
    if (handover_complete) {
      gen::EngineHolder before = lease.self;
      before.handover_complete = true;
      RunTask(io, store.CompareAndSwap(
                      std::string(fleet::kEngineLeasePrefix) + kEngine, 0,
                      fleet::Encode(before), ""));
    }
    leases.RequestLease(kEngine);
    RunTask(io, leases.RenewOnce());
    Restart();
  }

  static LeaseOptions Lease() {
    LeaseOptions options;
    options.self.vm = "vm-1";
    options.self.address = "10.0.0.1:81";
    options.handover_gap = milliseconds(0);
    options.time_to_live = std::chrono::hours(1);
    return options;
  }

  static core::Task<> IgnoreReleaseRequest(const gen::EngineHolder& /*holder*/,
                                           const std::string& /*engine*/) {
    co_return;
  }

  /** Replaces the controller, as a restart of the process would. */
  void Restart() {
    controller = std::make_unique<EngineController>(
        Options(), engine, leases, configuration, metrics, clock, log);
  }

  /**
   * Kills the process while its engine loads a model, and restarts it.
   * @return The controller of the killed process.
   */
  std::unique_ptr<EngineController> RestartDuringLoad(
      const std::string& model) {
    LoadRequest load_request;
    load_request.model = core::ModelId(model);
    load_request.instance = engine.instance;
    load_request.deadline = clock.Now() + milliseconds(3000);
    entry::testing::StartTask(io, EnsureAndGetError(load_request), lost);
    WaitFor(milliseconds(100));
    std::unique_ptr<EngineController> killed = std::move(controller);
    Restart();
    return killed;
  }

  /** @return Empty, or the error's name. */
  std::string EnsureLoaded(const std::string& model, milliseconds timeout,
                           const std::string& instance = "i-1") {
    return RunTask(io,
                   EnsureAndGetError(LoadRequestFor(model, timeout, instance)));
  }

  std::string EnsureAdapter(const std::string& model,
                            const std::string& adapter, milliseconds timeout,
                            const std::string& instance) {
    LoadRequest load_request = LoadRequestFor(model, timeout, instance);
    load_request.adapter = core::AdapterId(adapter);
    return RunTask(io, EnsureAndGetError(std::move(load_request)));
  }

  [[nodiscard]] LoadRequest LoadRequestFor(
      const std::string& model, milliseconds timeout,
      const std::string& instance = "i-1") const {
    LoadRequest load_request;
    load_request.model = core::ModelId(model);
    load_request.instance = fleet::InstanceId(instance);
    load_request.deadline = clock.Now() + timeout;
    return load_request;
  }

  core::Task<std::string> EnsureAndGetError(LoadRequest load_request) {
    std::string error;
    try {
      co_await controller->EnsureLoaded(std::move(load_request));
    } catch (const core::Error& e) {
      error = core::InfoOf(e.code()).name;
    }
    co_return error;
  }

  /** Waits in real time. */
  void WaitFor(milliseconds time) { RunTask(io, Sleep(time)); }

  static core::Task<bool> Sleep(milliseconds time) {
    co_await core::SleepFor(time);
    co_return true;
  }

  boost::asio::io_context io;
  core::SystemClock clock;
  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store{store_clock};
  core::Logger log;
  EngineLeases leases;
  routing::ConfigurationHolder configuration;
  ControllerMetrics metrics;
  TestingEngine engine{kMemory, kModel};
  std::unique_ptr<EngineController> controller;
  entry::testing::Outcome<std::string> lost;
};

constexpr milliseconds kLongTimeout{3000};

fleet::EngineStartTime StartTimeAt(int seconds) {
  return fleet::EngineStartTime(std::chrono::seconds(seconds));
}

}  // namespace

BOOST_AUTO_TEST_CASE(FourthModelReplacesUnusedOne) {
  Rig rig;
  for (const char* it : {"a", "b", "c", "d"}) {
    BOOST_TEST(rig.EnsureLoaded(it, kLongTimeout) == "");
    // A model that was just loaded is kept a moment for the callers that waited
    // for it.
    rig.WaitFor(milliseconds(600));
  }
  BOOST_TEST(rig.engine.Holds("d"));
  BOOST_TEST(!rig.engine.over_memory);
}

/**
 * Guards against an engine crash in which all its models are lost. The endpoint
 * process is killed while its engine loads a model, and restarted. The engine's
 * report does not list a model that is still being loaded, so its memory looks
 * free, and the new process orders a fourth model.
 */
BOOST_AUTO_TEST_CASE(RestartedProcessCountsLoadInProgress) {
  Rig rig;
  rig.engine.AddModel("a");
  rig.engine.AddModel("b");
  rig.engine.load_time = milliseconds(400);
  const auto killed = rig.RestartDuringLoad("c");
  BOOST_TEST(rig.EnsureLoaded("d", kLongTimeout) == "");
  BOOST_TEST(!rig.engine.over_memory);
}

/**
 * Guards against an engine crash in which all its models are lost. The response
 * to an order is lost, the order is carried out late, and meanwhile its memory
 * is given to another model.
 */
BOOST_AUTO_TEST_CASE(LateOrderNeverExceedsMemory) {
  Rig rig;
  rig.engine.AddModel("a");
  rig.engine.AddModel("b");
  rig.engine.lose_next_answer = true;
  BOOST_TEST(rig.EnsureLoaded("c", milliseconds(100)) != "");
  BOOST_TEST(rig.EnsureLoaded("d", kLongTimeout) == "");
  rig.WaitFor(milliseconds(500));
  BOOST_TEST(!rig.engine.over_memory);
}

BOOST_AUTO_TEST_CASE(LostOrderIsSentAgainAndLateCopyIsVoid) {
  Rig rig;
  rig.engine.lose_next_answer = true;
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout) == "");
  BOOST_TEST(rig.engine.orders_submitted == 2);
  rig.WaitFor(milliseconds(500));
  BOOST_TEST(rig.engine.Holds("a"));
}

/**
 * Guards against a crash of the endpoint process from corrupted memory, after
 * which its engine loads no model until the process is restarted. While the
 * response to an order is pending, a poll finds the order finished, as the
 * engine has restarted; the response, a refusal, then removes the order from
 * the list of open ones a second time.
 */
BOOST_AUTO_TEST_CASE(RefusalOfFinishedOrderIsHarmless) {
  Rig rig;
  rig.engine.answer_delay = milliseconds(100);
  core::Spawn(rig.io.get_executor(), rig.log, "look",
              [&rig] { return rig.controller->Run(); });
  LoadRequest load_request;
  load_request.model = core::ModelId("a");
  load_request.instance = fleet::InstanceId("i-0");
  load_request.deadline = rig.clock.Now() + kLongTimeout;
  entry::testing::Outcome<std::string> refused;
  entry::testing::StartTask(rig.io, rig.EnsureAndGetError(load_request),
                            refused);
  rig.WaitFor(milliseconds(50));
  // Requests the same model: another one would not be queued behind a load of 9
  // s.
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout) == "");
  BOOST_TEST(*refused.value == "engine_replaced");
}

/**
 * Guards against 30 s of refusals for callers of all models on an engine's
 * disk. The engine crashes during a load and restarts at once; the endpoint
 * process waits for the load, which no longer exists.
 */
BOOST_AUTO_TEST_CASE(OrderLostInCrashFailsSoon) {
  Rig rig;
  rig.engine.load_time = milliseconds(400);
  const auto began = rig.clock.Now();
  core::Spawn(rig.io.get_executor(), rig.log, "crash",
              [&rig]() -> core::Task<> {
                co_await core::SleepFor(milliseconds(100));
                rig.engine.Restart();
              });
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout) == "load_failed");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(2000)));
}

/** Guards against a model that is loaded on an engine which says in its report
 * that it leaves, and is lost with it. */
BOOST_AUTO_TEST_CASE(EngineThatLeavesLoadsNothing) {
  Rig rig;
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout) == "");
  rig.engine.Leave();
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout) == "engine_refused_order");
  BOOST_TEST(!rig.engine.Holds("b"));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout) == "");
}

/**
 * Entries may still know an earlier instance of the engine; no order is given
 * then.
 */
BOOST_AUTO_TEST_CASE(OrderForEarlierInstanceIsRefused) {
  Rig rig;
  rig.engine.instance = fleet::InstanceId("i-2");
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout) == "engine_replaced");
  BOOST_TEST(!rig.engine.Holds("a"));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-2") == "");
}

/**
 * The same for an engine that keeps its id: only its start time shows that the
 * requested instance no longer exists. The engine accepts orders under that id,
 * so the endpoint process has to refuse.
 */
BOOST_AUTO_TEST_CASE(OrderForEarlierStartTimeIsRefused) {
  Rig rig;
  rig.engine.SetStartTime(StartTimeAt(20));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@10000") ==
             "engine_replaced");
  BOOST_TEST(rig.engine.orders_submitted == 0);
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@20000") == "");
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout, "i-1@10000") ==
             "engine_replaced");
}

/**
 * Guards against an engine crash in which all its models are lost. The response
 * to an order is lost; the engine restarts under the same id, counts its orders
 * from 0 and accepts the late copy, as its count matches; meanwhile the memory
 * was given to other models.
 */
BOOST_AUTO_TEST_CASE(LateOrderForEarlierInstanceNeverExceedsMemory) {
  Rig rig;
  rig.engine.SetStartTime(StartTimeAt(10));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@10000") == "");
  rig.engine.lose_next_answer = true;
  rig.engine.late_order_delay = milliseconds(700);
  BOOST_TEST(rig.EnsureLoaded("c", milliseconds(100), "i-1@10000") != "");
  rig.engine.RestartAt(StartTimeAt(20));
  rig.engine.AddModel("b");
  rig.engine.AddModel("d");
  BOOST_TEST(rig.EnsureLoaded("e", kLongTimeout, "i-1@20000") == "");
  rig.WaitFor(milliseconds(1000));
  BOOST_TEST(rig.engine.Holds("e"));
  BOOST_TEST(!rig.engine.over_memory);
}

/**
 * Guards against callers that wait for a load that no longer exists. The engine
 * restarts under the same id during the load; its new order count has already
 * passed the old one because of another order.
 */
BOOST_AUTO_TEST_CASE(RestartUnderSameIdFailsLoad) {
  Rig rig;
  rig.engine.SetStartTime(StartTimeAt(10));
  rig.engine.load_time = milliseconds(400);
  const auto began = rig.clock.Now();
  core::Spawn(rig.io.get_executor(), rig.log, "crash",
              [&rig]() -> core::Task<> {
                co_await core::SleepFor(milliseconds(100));
                rig.engine.RestartAt(StartTimeAt(20));
              });
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@10000") ==
             "engine_replaced");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(1000)));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@20000") == "");
}

/**
 * Guards against callers that wait for the load of an adapter that no longer
 * exists. The engine restarts under the same id while the adapter is loaded;
 * the adapter and its model were lost with the earlier instance.
 */
BOOST_AUTO_TEST_CASE(RestartUnderSameIdFailsAdapterLoad) {
  Rig rig;
  rig.engine.SetStartTime(StartTimeAt(10));
  BOOST_TEST(rig.EnsureAdapter("a", "x", kLongTimeout, "i-1@10000") == "");
  rig.engine.load_time = milliseconds(400);
  const auto began = rig.clock.Now();
  core::Spawn(rig.io.get_executor(), rig.log, "crash",
              [&rig]() -> core::Task<> {
                co_await core::SleepFor(milliseconds(100));
                rig.engine.RestartAt(StartTimeAt(20));
              });
  BOOST_TEST(rig.EnsureAdapter("a", "y", kLongTimeout, "i-1@10000") ==
             "engine_replaced");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(1000)));
  rig.engine.load_time = milliseconds(60);
  BOOST_TEST(rig.EnsureAdapter("a", "y", kLongTimeout, "i-1@20000") == "");
}

/**
 * Guards against callers that wait until they time out, next to idle engines,
 * after everything was stopped. An engine still carries out a load that the
 * previous process ordered, and accepts no order meanwhile. It may be a load
 * from disk, which is worth waiting for; once it has taken longer, waiting
 * requests are refused so that they go elsewhere.
 */
BOOST_AUTO_TEST_CASE(OrderOfPreviousProcessDelaysRequests) {
  Rig rig;
  rig.engine.load_time = milliseconds(1600);
  const auto killed = rig.RestartDuringLoad("c");
  const auto began = rig.clock.Now();
  BOOST_TEST(rig.EnsureLoaded("d", kLongTimeout) == "no_capacity");
  const auto waited = rig.clock.Now() - began;
  BOOST_TEST((waited >= kDiskLoad));
  BOOST_TEST((waited < milliseconds(1200)));
  rig.WaitFor(milliseconds(1000));
  rig.engine.load_time = milliseconds(60);
  BOOST_TEST(rig.EnsureLoaded("d", kLongTimeout) == "");
}

/**
 * Guards against callers that wait until they time out, next to idle engines.
 * Their entry does not know yet that another one has a model loaded here from
 * the weight store. It is told at once that the engine is busy for 9 s, and
 * asks another; callers of the model being loaded wait with the first one.
 */
BOOST_AUTO_TEST_CASE(LoadRequestBehindLongLoadIsRefusedAtOnce) {
  Rig rig;
  rig.engine.load_time = milliseconds(600);
  entry::testing::Outcome<std::string> first;
  entry::testing::Outcome<std::string> same;
  entry::testing::StartTask(
      rig.io, rig.EnsureAndGetError(rig.LoadRequestFor("a", kLongTimeout)),
      first);
  rig.WaitFor(milliseconds(50));
  entry::testing::StartTask(
      rig.io, rig.EnsureAndGetError(rig.LoadRequestFor("a", kLongTimeout)),
      same);
  const auto began = rig.clock.Now();
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout) == "no_capacity");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(200)));
  rig.WaitFor(milliseconds(1000));
  BOOST_TEST(*first.value == "");
  BOOST_TEST(*same.value == "");
  BOOST_TEST(rig.engine.orders_submitted == 1);
}

/**
 * Guards against callers that wait for a model to be reloaded while it is used.
 * The endpoint process relies on the usage in the load request: a model with
 * requests in progress, or requested a moment ago, is kept.
 */
BOOST_AUTO_TEST_CASE(ModelsInUseAreNotUnloaded) {
  Rig rig;
  for (const char* it : {"a", "b", "c"}) rig.engine.AddModel(it);
  LoadRequest load_request = rig.LoadRequestFor("d", kLongTimeout);
  fleet::Usage busy;
  busy.running = 1;
  fleet::Usage fresh;
  fresh.last_begun = rig.clock.Now();
  fleet::Usage asked_for;
  asked_for.demand = 0.5;
  load_request.usage[{core::ModelId("a"), core::AdapterId()}] = busy;
  load_request.usage[{core::ModelId("b"), core::AdapterId()}] = fresh;
  load_request.usage[{core::ModelId("c"), core::AdapterId()}] = asked_for;
  BOOST_TEST(RunTask(rig.io, rig.EnsureAndGetError(load_request)) == "");
  BOOST_TEST(rig.engine.Holds("a"));
  BOOST_TEST(rig.engine.Holds("b"));
  BOOST_TEST(!rig.engine.Holds("c"));
  load_request.model = core::ModelId("e");
  load_request.deadline = rig.clock.Now() + milliseconds(300);
  BOOST_TEST(RunTask(rig.io, rig.EnsureAndGetError(load_request)) ==
             "no_capacity");
}

/**
 * Guards against refusals for seconds whose reason on-call engineers cannot
 * see. The response to an order is lost; the metrics of the endpoint process
 * must show that, and how long the load request took in the end.
 */
BOOST_AUTO_TEST_CASE(MetricsCountLostAnswersAndLoadRequests) {
  Rig rig;
  rig.engine.lose_next_answer = true;
  BOOST_TEST(rig.EnsureLoaded("a", milliseconds(2000)).empty());
  const std::string text = rig.metrics.Text(rig.controller->Levels());
  const auto has = [&text](const std::string& line) {
    return text.find(line) != std::string::npos;
  };
  BOOST_TEST(
      has("sapphire_controller_orders_total{answer=\"no_answer\","
          "kind=\"load\"} 1"));
  BOOST_TEST(
      has("sapphire_controller_load_request_seconds_count{outcome=\"ok\","
          "tier=\"remote\"} 1"));
  BOOST_TEST(has("sapphire_controller_level{name=\"config_version\"} 1"));
}

/**
 * Guards against loads that are refused after each freeze of the endpoint
 * process: its lease ended, but no other process has given an order.
 */
BOOST_AUTO_TEST_CASE(EngineWithoutForeignOrdersNeedsNoHandoverDelay) {
  LeaseOptions lease = Rig::Lease();
  lease.time_to_live = lease.margin + milliseconds(300);
  lease.handover_gap = std::chrono::hours(1);
  Rig rig(lease);
  rig.engine.SetStartTime(StartTimeAt(10));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@10000") == "");
  rig.WaitFor(milliseconds(400));
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout, "i-1@10000") == "not_holder");
  rig.store.LapseLeases();
  RunTask(rig.io, rig.leases.RenewOnce());
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout, "i-1@10000") == "");
}

/**
 * Guards against alternating orders of two processes: while another process
 * held the lease, the engine accepted an order that this process did not give.
 */
BOOST_AUTO_TEST_CASE(EngineWithForeignOrderNeedsHandoverDelay) {
  LeaseOptions lease = Rig::Lease();
  lease.time_to_live = lease.margin + milliseconds(300);
  lease.handover_gap = std::chrono::hours(1);
  Rig rig(lease);
  rig.engine.SetStartTime(StartTimeAt(10));
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1@10000") == "");
  rig.WaitFor(milliseconds(400));
  EngineOrder foreign;
  foreign.kind = OrderKind::kUnload;
  foreign.model = core::ModelId("a");
  foreign.instance = fleet::InstanceId("i-1@10000");
  foreign.expected_count = 1;
  const auto answer = RunTask(rig.io, rig.engine.Submit(foreign));
  BOOST_TEST((answer == OrderAnswer::kAccepted));
  rig.store.LapseLeases();
  RunTask(rig.io, rig.leases.RenewOnce());
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout, "i-1@10000") == "no_capacity");
}

/**
 * Guards against orders within the handover gap: an entry has ordered the
 * engine, which has forgotten that in a restart.
 */
BOOST_AUTO_TEST_CASE(RestartedEngineNeedsHandoverDelay) {
  LeaseOptions lease = Rig::Lease();
  lease.handover_gap = std::chrono::hours(1);
  Rig rig(lease, false);
  EngineOrder foreign;
  foreign.model = core::ModelId("a");
  foreign.instance = rig.engine.instance;
  BOOST_TEST(
      (RunTask(rig.io, rig.engine.Submit(foreign)) == OrderAnswer::kAccepted));
  rig.engine.Restart();
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout) == "no_capacity");
}

/**
 * The same, where the engine has accepted as many orders since its restart as
 * it had when this process last held the lease.
 */
BOOST_AUTO_TEST_CASE(SameOrderCountOfAnotherInstanceNeedsHandoverDelay) {
  LeaseOptions lease = Rig::Lease();
  lease.time_to_live = lease.margin + milliseconds(300);
  lease.handover_gap = std::chrono::hours(1);
  Rig rig(lease);
  BOOST_TEST(rig.EnsureLoaded("a", kLongTimeout, "i-1") == "");
  rig.WaitFor(milliseconds(400));
  rig.engine.Restart();
  rig.engine.instance = fleet::InstanceId("i-2");
  EngineOrder foreign;
  foreign.model = core::ModelId("c");
  foreign.instance = rig.engine.instance;
  BOOST_TEST(
      (RunTask(rig.io, rig.engine.Submit(foreign)) == OrderAnswer::kAccepted));
  rig.store.LapseLeases();
  RunTask(rig.io, rig.leases.RenewOnce());
  BOOST_TEST(rig.EnsureLoaded("b", kLongTimeout, "i-2") == "no_capacity");
}

}  // namespace sapphire::orders
