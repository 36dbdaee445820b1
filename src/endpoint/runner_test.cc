/** @file runner_test.cc Tests that requests run once, completely, or are
 * refused. */
#define BOOST_TEST_MODULE runner
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "endpoint/endpoint_rig_test.h"

namespace sapphire::endpoint::test {

namespace {

gen::Run MakeRun(const std::string& attempt) {
  gen::Run run;
  run.request_id = "r-" + attempt;
  run.attempt_id = attempt;
  run.service_id = "cabin";
  run.model = "m0";
  run.method = "POST";
  run.path = "/v1/completions";
  run.remaining_ms = 10'000;
  return run;
}

struct RunnerRig {
  RunnerRig() {
    world.Configure(1, 1, 9);
    rig = std::make_unique<EndpointRig>(world, engine, "vm1");
    world.Run([this]() -> Task<> { co_await rig->Ensure("m0"); });
  }

  /** @return The error a run ended with. */
  std::optional<Error> Serve(gen::Run run) {
    std::optional<Error> error;
    call = std::make_shared<FakeCall>();
    world.Run([&]() -> Task<> {
      try {
        co_await rig->runner.Serve(call, run);
      } catch (const Error& e) {
        error = e;
      }
    });
    return error;
  }

  World world;
  FakeEngine engine{world.replica_counter};
  std::unique_ptr<EndpointRig> rig;
  std::shared_ptr<FakeCall> call;
};

}  // namespace

BOOST_AUTO_TEST_CASE(AttemptRunsOnceWithACompleteAnswer) {
  RunnerRig scene;
  BOOST_TEST(!scene.Serve(MakeRun("1")));
  BOOST_TEST((scene.call->CompleteBody() == "part one part two"));
  const auto again = scene.Serve(MakeRun("1"));
  BOOST_REQUIRE(again);
  BOOST_TEST((again->code() == ErrorCode::kAlreadyRan));
  BOOST_TEST(scene.engine.ran.size() == 1U);
}

// Failure: the entry gave up an attempt and answered its caller "not run"; then
// the message arrived over a slow link and the request ran.
BOOST_AUTO_TEST_CASE(VoidedAttemptNeverReachesTheEngine) {
  RunnerRig scene;
  BOOST_TEST(!scene.rig->attempts.Void(core::AttemptId("1")));
  const auto error = scene.Serve(MakeRun("1"));
  BOOST_REQUIRE(error);
  BOOST_TEST((error->code() == ErrorCode::kAttemptVoided));
  BOOST_TEST((error->outcome() == core::Outcome::kNotRun));
  BOOST_TEST(scene.engine.ran.empty());
}

// If the engine crashes in the middle of an answer, the caller must get an
// error, never a truncated answer that looks complete, and never "not run".
BOOST_AUTO_TEST_CASE(EngineCrashDuringAnAnswerIsAnError) {
  RunnerRig scene;
  scene.engine.crash_next_run = true;
  const auto error = scene.Serve(MakeRun("1"));
  BOOST_REQUIRE(error);
  BOOST_TEST((error->code() == ErrorCode::kEngineCrashed));
  BOOST_TEST((error->outcome() == core::Outcome::kUnknown));
  BOOST_TEST(!scene.call->CompleteBody());
}

/** Guards against a truncated answer that looks complete: its engine crashed,
 * and the close of the connection was taken for the end. */
BOOST_AUTO_TEST_CASE(AnswerWithoutStatedEndIsAnError) {
  RunnerRig scene;
  scene.engine.body_end = http::BodyEnd::kConnectionClosed;
  const auto error = scene.Serve(MakeRun("1"));
  BOOST_REQUIRE(error);
  BOOST_TEST((error->outcome() == core::Outcome::kUnknown));
  BOOST_TEST(!scene.call->CompleteBody());
}

// If the connection to the engine is refused, the request has certainly not
// run, and no copy of the attempt may run later.
BOOST_AUTO_TEST_CASE(UnreachableEngineMeansNotRun) {
  RunnerRig scene;
  scene.engine.down = true;
  const auto error = scene.Serve(MakeRun("1"));
  BOOST_REQUIRE(error);
  BOOST_TEST((error->outcome() == core::Outcome::kNotRun));
  scene.engine.down = false;
  BOOST_TEST((scene.Serve(MakeRun("1"))->code() == ErrorCode::kAttemptVoided));
  BOOST_TEST(scene.engine.ran.empty());
}

BOOST_AUTO_TEST_CASE(RefusesWithoutReplicaOrFreeSlotAndWhenLeaving) {
  RunnerRig scene;
  gen::Run other = MakeRun("1");
  other.model = "m1";
  BOOST_TEST((scene.Serve(other)->code() == ErrorCode::kNoCapacity));
  std::vector<RunSlot> slots;
  scene.world.Run([&]() -> Task<> {
    for (int i = 0; i < 2; ++i) {
      slots.push_back(co_await scene.rig->replicas.Admit(
          MakeRun("x"), scene.world.clock.Now() + Millis(1000)));
    }
  });
  BOOST_TEST((scene.Serve(MakeRun("2"))->code() == ErrorCode::kQueueFull));
  slots.clear();
  scene.rig->replicas.Leave();
  const auto error = scene.Serve(MakeRun("3"));
  BOOST_TEST((error->code() == ErrorCode::kLeaving));
  BOOST_TEST((error->outcome() == core::Outcome::kNotRun));
  BOOST_TEST(scene.engine.ran.empty());
}

// A caller cancels while the adapter of its request is being loaded. The
// request ends, but the order that it started must complete.
BOOST_AUTO_TEST_CASE(CancelDuringAdapterLoadDoesNotCancelTheOrder) {
  RunnerRig scene;
  scene.engine.order_time = Millis(60);
  scene.call = std::make_shared<FakeCall>();
  gen::Run run = MakeRun("1");
  run.adapter = "x";
  std::optional<Error> error;
  scene.world.Run([&]() -> Task<> {
    core::Spawn(scene.world.context.get_executor(), scene.world.log, "cancel",
                [&]() -> Task<> {
                  co_await core::SleepFor(Millis(20));
                  scene.call->Cancel();
                });
    try {
      co_await scene.rig->runner.Serve(scene.call, run);
    } catch (const Error& e) {
      error = e;
    }
    const auto replica = scene.rig->table.Find(core::ModelId("m0"));
    BOOST_TEST(co_await scene.rig->Until([&] {
      const std::lock_guard lock(replica->mutex);
      return replica->adapters[core::AdapterId("x")].loaded &&
             replica->running == 0;
    }));
  });
  BOOST_REQUIRE(error);
  BOOST_TEST((error->code() == ErrorCode::kCancelled));
  BOOST_TEST(scene.engine.ran.empty());
  BOOST_TEST(scene.rig->table.Memory().reserved_bytes == 55);
}

}  // namespace sapphire::endpoint::test
