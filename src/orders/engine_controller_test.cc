/** @file engine_controller_test.cc Tests of the orders to one engine.
 *
 * The engine has room for three models, as the engines of the operators'
 * sheets.
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
  options.busy_look_interval = milliseconds(5);
  options.look_interval = milliseconds(10);
  return options;
}

/** A controller beside a testing engine. */
struct Rig {
  explicit Rig(const LeaseOptions& lease = Lease())
      : log({"endpoint", core::VmId("vm-1"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        leases(lease, NeverAsked, store, clock, log) {
    configuration.Adopt(MakeConfiguration());
    // A process before on this VM, so that there is no turn to wait for.
    EngineLeases before(Lease(), NeverAsked, store, clock, log);
    for (EngineLeases* it : {&before, &leases}) {
      it->Want(kEngine);
      RunTask(io, it->KeepOnce());
    }
    Restart();
  }

  static LeaseOptions Lease() {
    LeaseOptions options;
    options.self.vm = "vm-1";
    options.self.address = "10.0.0.1:81";
    options.turn_gap = milliseconds(0);
    options.time_to_live = std::chrono::hours(1);
    return options;
  }

  static core::Task<> NeverAsked(const gen::EngineHolder& /*holder*/,
                                 const std::string& /*engine*/) {
    co_return;
  }

  /** A new process in the place of the one before. */
  void Restart() {
    controller = std::make_unique<EngineController>(
        Options(), engine, leases, configuration, metrics, clock, log);
  }

  /** The process is killed while its engine loads a model, and started again.
   * @return What is left of the killed one. */
  std::unique_ptr<EngineController> RestartDuringLoad(
      const std::string& model) {
    LoadRequest load_request;
    load_request.model = core::ModelId(model);
    load_request.instance = engine.instance;
    load_request.deadline = clock.Now() + milliseconds(3000);
    entry::testing::StartTask(io, Ended(load_request), lost);
    Pass(milliseconds(100));
    std::unique_ptr<EngineController> killed = std::move(controller);
    Restart();
    return killed;
  }

  /** @return Empty, or the error's name. */
  std::string Ensure(const std::string& model, milliseconds timeout,
                     const std::string& instance = "i-1") {
    return RunTask(io, Ended(LoadRequestFor(model, timeout, instance)));
  }

  std::string EnsureAdapter(const std::string& model,
                            const std::string& adapter, milliseconds timeout,
                            const std::string& instance) {
    LoadRequest load_request = LoadRequestFor(model, timeout, instance);
    load_request.adapter = core::AdapterId(adapter);
    return RunTask(io, Ended(std::move(load_request)));
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

  core::Task<std::string> Ended(LoadRequest load_request) {
    std::string error;
    try {
      co_await controller->Ensure(std::move(load_request));
    } catch (const core::Error& e) {
      error = core::InfoOf(e.code()).name;
    }
    co_return error;
  }

  /** Lets real time pass. */
  void Pass(milliseconds time) { RunTask(io, Sleep(time)); }

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

constexpr milliseconds kEnough{3000};

fleet::EngineStartTime At(int seconds) {
  return fleet::EngineStartTime(std::chrono::seconds(seconds));
}

}  // namespace

BOOST_AUTO_TEST_CASE(AFourthModelTakesTheRoomOfAnUnusedOne) {
  Rig rig;
  for (const char* it : {"a", "b", "c", "d"}) {
    BOOST_TEST(rig.Ensure(it, kEnough) == "");
    // What was just loaded stays a moment for those who waited for it.
    rig.Pass(milliseconds(600));
  }
  BOOST_TEST(rig.engine.Holds("d"));
  BOOST_TEST(!rig.engine.over_memory);
}

/**
 * An engine crashes and everything on it is lost.
 * The endpoint process is killed while its engine loads a model and started
 * again. The engine's report does not list a model that is still loading, so
 * its room looks free, and the new process orders a fourth model onto it.
 */
BOOST_AUTO_TEST_CASE(ARestartedProcessCountsTheLoadInProgress) {
  Rig rig;
  rig.engine.Hold("a");
  rig.engine.Hold("b");
  rig.engine.load_time = milliseconds(400);
  const auto killed = rig.RestartDuringLoad("c");
  BOOST_TEST(rig.Ensure("d", kEnough) == "");
  BOOST_TEST(!rig.engine.over_memory);
}

/**
 * An engine crashes and everything on it is lost.
 * The answer to an order is lost, the order is carried out later, and in the
 * meantime the room that it takes is given to another model.
 */
BOOST_AUTO_TEST_CASE(ALostOrderThatIsCarriedOutLateNeverOverfillsTheEngine) {
  Rig rig;
  rig.engine.Hold("a");
  rig.engine.Hold("b");
  rig.engine.lose_next_answer = true;
  BOOST_TEST(rig.Ensure("c", milliseconds(100)) != "");
  BOOST_TEST(rig.Ensure("d", kEnough) == "");
  rig.Pass(milliseconds(500));
  BOOST_TEST(!rig.engine.over_memory);
}

BOOST_AUTO_TEST_CASE(ALostOrderIsGivenAgainAndItsLateCopyIsVoid) {
  Rig rig;
  rig.engine.lose_next_answer = true;
  BOOST_TEST(rig.Ensure("a", kEnough) == "");
  BOOST_TEST(rig.engine.orders_given == 2);
  rig.Pass(milliseconds(500));
  BOOST_TEST(rig.engine.Holds("a"));
}

/**
 * An endpoint process ends with spoiled memory, and its engine wakes no model
 * until it is started again.
 * While the answer to an order is on its way, a look at the engine finds that
 * order over, as the engine has restarted; then the answer, a refusal, takes
 * the order off the list of open ones a second time.
 */
BOOST_AUTO_TEST_CASE(ARefusalOfAnOrderThatIsOverAlreadyIsHarmless) {
  Rig rig;
  rig.engine.answer_delay = milliseconds(100);
  core::Spawn(rig.io.get_executor(), rig.log, "look",
              [&rig] { return rig.controller->Run(); });
  LoadRequest load_request;
  load_request.model = core::ModelId("a");
  load_request.instance = fleet::InstanceId("i-0");
  load_request.deadline = rig.clock.Now() + kEnough;
  entry::testing::Outcome<std::string> refused;
  entry::testing::StartTask(rig.io, rig.Ended(load_request), refused);
  rig.Pass(milliseconds(50));
  // The same model: another one is not queued behind a load of 9 s.
  BOOST_TEST(rig.Ensure("a", kEnough) == "");
  BOOST_TEST(*refused.value == "engine_replaced");
}

/**
 * Callers of all models on an engine's disk are refused for 30 s.
 * The engine crashes in the middle of a load and is back at once; the process
 * beside it waits for the load that nobody carries out any more.
 */
BOOST_AUTO_TEST_CASE(AnOrderThatACrashForgotIsGivenUpSoon) {
  Rig rig;
  rig.engine.load_time = milliseconds(400);
  const auto began = rig.clock.Now();
  core::Spawn(rig.io.get_executor(), rig.log, "crash",
              [&rig]() -> core::Task<> {
                co_await core::SleepFor(milliseconds(100));
                rig.engine.Restart();
              });
  BOOST_TEST(rig.Ensure("a", kEnough) == "load_failed");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(2000)));
}

/** Entries may still know the engine's last start: nothing is ordered then. */
BOOST_AUTO_TEST_CASE(AnOrderForAnEarlierStartIsRefused) {
  Rig rig;
  rig.engine.instance = fleet::InstanceId("i-2");
  BOOST_TEST(rig.Ensure("a", kEnough) == "engine_replaced");
  BOOST_TEST(!rig.engine.Holds("a"));
  BOOST_TEST(rig.Ensure("a", kEnough, "i-2") == "");
}

/**
 * The same where the engine keeps its name: only the time of its start tells
 * that what the entry means is gone. It takes orders under that name, so the
 * process beside it has to refuse.
 */
BOOST_AUTO_TEST_CASE(AnOrderForAnEarlierStartOfTheNameIsRefused) {
  Rig rig;
  rig.engine.TellBirth(At(20));
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@10000") == "engine_replaced");
  BOOST_TEST(rig.engine.orders_given == 0);
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@20000") == "");
  BOOST_TEST(rig.Ensure("b", kEnough, "i-1@10000") == "engine_replaced");
}

/**
 * An engine crashes and everything on it is lost.
 * The answer to an order is lost; the engine starts again under its name,
 * counts its orders anew and takes the late copy, as its number fits; the room
 * was given to other models meanwhile.
 */
BOOST_AUTO_TEST_CASE(ALateOrderForAnEarlierStartNeverOverfillsTheNewOne) {
  Rig rig;
  rig.engine.TellBirth(At(10));
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@10000") == "");
  rig.engine.lose_next_answer = true;
  rig.engine.late_by = milliseconds(700);
  BOOST_TEST(rig.Ensure("c", milliseconds(100), "i-1@10000") != "");
  rig.engine.RestartAt(At(20));
  rig.engine.Hold("b");
  rig.engine.Hold("d");
  BOOST_TEST(rig.Ensure("e", kEnough, "i-1@20000") == "");
  rig.Pass(milliseconds(1000));
  BOOST_TEST(rig.engine.Holds("e"));
  BOOST_TEST(!rig.engine.over_memory);
}

/**
 * Callers of a model wait for a load that nobody carries out.
 * The engine starts again under its name in the middle of it; its order count,
 * which starts anew, has passed the old one already by an order of another.
 */
BOOST_AUTO_TEST_CASE(ARestartUnderItsNameEndsALoad) {
  Rig rig;
  rig.engine.TellBirth(At(10));
  rig.engine.load_time = milliseconds(400);
  const auto began = rig.clock.Now();
  core::Spawn(rig.io.get_executor(), rig.log, "crash",
              [&rig]() -> core::Task<> {
                co_await core::SleepFor(milliseconds(100));
                rig.engine.RestartAt(At(20));
              });
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@10000") == "engine_replaced");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(1000)));
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@20000") == "");
}

/**
 * Callers of an adapter wait for a load that nobody carries out.
 * The engine starts again under its name while the adapter loads: the adapter,
 * and the model that it belongs to, are gone with the start before.
 */
BOOST_AUTO_TEST_CASE(ARestartUnderItsNameEndsTheLoadOfAnAdapter) {
  Rig rig;
  rig.engine.TellBirth(At(10));
  BOOST_TEST(rig.EnsureAdapter("a", "x", kEnough, "i-1@10000") == "");
  rig.engine.load_time = milliseconds(400);
  const auto began = rig.clock.Now();
  core::Spawn(rig.io.get_executor(), rig.log, "crash",
              [&rig]() -> core::Task<> {
                co_await core::SleepFor(milliseconds(100));
                rig.engine.RestartAt(At(20));
              });
  BOOST_TEST(rig.EnsureAdapter("a", "y", kEnough, "i-1@10000") ==
             "engine_replaced");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(1000)));
  rig.engine.load_time = milliseconds(60);
  BOOST_TEST(rig.EnsureAdapter("a", "y", kEnough, "i-1@20000") == "");
}

/**
 * After everything was stopped, callers of a model wait until their patience is
 * over, beside idle engines.
 * An engine still loads what the process before had ordered, and takes no order
 * meanwhile. It may be a load from disk, worth the wait; once it has taken
 * longer than that, those who wait are told to go elsewhere.
 */
BOOST_AUTO_TEST_CASE(AnOrderOfTheProcessBeforeCountsAsWork) {
  Rig rig;
  rig.engine.load_time = milliseconds(1600);
  const auto killed = rig.RestartDuringLoad("c");
  const auto began = rig.clock.Now();
  BOOST_TEST(rig.Ensure("d", kEnough) == "no_capacity");
  const auto waited = rig.clock.Now() - began;
  BOOST_TEST((waited >= kDiskLoad));
  BOOST_TEST((waited < milliseconds(1200)));
  rig.Pass(milliseconds(1000));
  rig.engine.load_time = milliseconds(60);
  BOOST_TEST(rig.Ensure("d", kEnough) == "");
}

/**
 * Callers wait until their patience is over, beside idle engines.
 * Their entry has not heard yet that another one has a model loaded here from
 * the weight store. Told at once that the engine is busy for 9 s, it asks
 * another; callers of the model on its way wait with the first.
 */
BOOST_AUTO_TEST_CASE(ALoadRequestBehindALongLoadIsRefusedAtOnce) {
  Rig rig;
  rig.engine.load_time = milliseconds(600);
  entry::testing::Outcome<std::string> first;
  entry::testing::Outcome<std::string> same;
  entry::testing::StartTask(rig.io, rig.Ended(rig.LoadRequestFor("a", kEnough)),
                            first);
  rig.Pass(milliseconds(50));
  entry::testing::StartTask(rig.io, rig.Ended(rig.LoadRequestFor("a", kEnough)),
                            same);
  const auto began = rig.clock.Now();
  BOOST_TEST(rig.Ensure("b", kEnough) == "no_capacity");
  BOOST_TEST((rig.clock.Now() - began < milliseconds(200)));
  rig.Pass(milliseconds(1000));
  BOOST_TEST(*first.value == "");
  BOOST_TEST(*same.value == "");
  BOOST_TEST(rig.engine.orders_given == 1);
}

/**
 * Callers of a model wait for it to be loaded again in the middle of its use.
 * The process beside the engine goes by what the load request tells of use:
 * what is in progress, or was asked for a moment ago, stays.
 */
BOOST_AUTO_TEST_CASE(WhatALoadRequestTellsToBeInUseStays) {
  Rig rig;
  for (const char* it : {"a", "b", "c"}) rig.engine.Hold(it);
  LoadRequest load_request = rig.LoadRequestFor("d", kEnough);
  fleet::Usage busy;
  busy.running = 1;
  fleet::Usage fresh;
  fresh.last_begun = rig.clock.Now();
  fleet::Usage asked_for;
  asked_for.demand = 0.5;
  load_request.use[{core::ModelId("a"), core::AdapterId()}] = busy;
  load_request.use[{core::ModelId("b"), core::AdapterId()}] = fresh;
  load_request.use[{core::ModelId("c"), core::AdapterId()}] = asked_for;
  BOOST_TEST(RunTask(rig.io, rig.Ended(load_request)) == "");
  BOOST_TEST(rig.engine.Holds("a"));
  BOOST_TEST(rig.engine.Holds("b"));
  BOOST_TEST(!rig.engine.Holds("c"));
  load_request.model = core::ModelId("e");
  load_request.deadline = rig.clock.Now() + milliseconds(300);
  BOOST_TEST(RunTask(rig.io, rig.Ended(load_request)) == "no_capacity");
}

/**
 * Callers are refused for seconds and on-call engineers see no reason.
 * The engine is given an order whose answer is lost; the metrics of the process
 * beside it must tell that, and how long the load request took in the end.
 */
BOOST_AUTO_TEST_CASE(MetricsTellOfLostAnswersAndOfLoadRequests) {
  Rig rig;
  rig.engine.lose_next_answer = true;
  BOOST_TEST(rig.Ensure("a", milliseconds(2000)).empty());
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

/** Guards against loads that are refused after each freeze of the process
 * beside an engine: its lease ended, but nobody else has given an order. */
BOOST_AUTO_TEST_CASE(AnEngineThatNobodyElseOrderedIsOrderedAtOnceAgain) {
  LeaseOptions lease = Rig::Lease();
  lease.time_to_live = lease.margin + milliseconds(300);
  lease.turn_gap = std::chrono::hours(1);
  Rig rig(lease);
  rig.engine.TellBirth(At(10));
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@10000") == "");
  rig.Pass(milliseconds(400));
  BOOST_TEST(rig.Ensure("b", kEnough, "i-1@10000") == "not_holder");
  rig.store.LapseLeases();
  RunTask(rig.io, rig.leases.KeepOnce());
  BOOST_TEST(rig.Ensure("b", kEnough, "i-1@10000") == "");
}

/** Guards against orders of two processes by turns: while this one's lease was
 * another's, the engine has accepted an order that is not from here. */
BOOST_AUTO_TEST_CASE(AnEngineThatAnotherProcessOrderedIsNotOrderedAtOnce) {
  LeaseOptions lease = Rig::Lease();
  lease.time_to_live = lease.margin + milliseconds(300);
  lease.turn_gap = std::chrono::hours(1);
  Rig rig(lease);
  rig.engine.TellBirth(At(10));
  BOOST_TEST(rig.Ensure("a", kEnough, "i-1@10000") == "");
  rig.Pass(milliseconds(400));
  EngineOrder foreign;
  foreign.kind = OrderKind::kUnload;
  foreign.model = core::ModelId("a");
  foreign.instance = fleet::InstanceId("i-1@10000");
  foreign.expected_count = 1;
  const auto answer = RunTask(rig.io, rig.engine.Give(foreign));
  BOOST_TEST((answer == OrderAnswer::kAccepted));
  rig.store.LapseLeases();
  RunTask(rig.io, rig.leases.KeepOnce());
  BOOST_TEST(rig.Ensure("b", kEnough, "i-1@10000") == "no_capacity");
}

}  // namespace sapphire::orders
