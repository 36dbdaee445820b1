/** @file endpoint_rig_test.h Test code: one endpoint's parts on a fake
 * platform. */
#ifndef SAPPHIRE_ENDPOINT_ENDPOINT_RIG_TEST_H_
#define SAPPHIRE_ENDPOINT_ENDPOINT_RIG_TEST_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/fake_platform_test.h"
#include "endpoint/grant_func.h"
#include "endpoint/replica_reconciler_base.h"
#include "endpoint/replicas_base.h"
#include "endpoint/runner_base.h"

namespace sapphire::endpoint::test {

/** The clock, store and configuration that several endpoints share. */
struct World {
  core::SystemClock clock;
  core::Logger log{
      {"test", core::VmId("vm"), core::ZoneId("z")},
      std::getenv("TEST_LOG") ? core::LogLevel::kDebug : core::LogLevel::kError,
      clock};
  boost::asio::io_context context;
  FakeStore store;
  std::shared_ptr<ReplicaCounter> replica_counter =
      std::make_shared<ReplicaCounter>();
  contract::ConfigHolder config;

  /** Applies a configuration with one service and models m0..m4, each of 40
   * bytes and with adapters x and y of 15 bytes. */
  void Configure(std::int64_t version, int per_model, int per_service) {
    contract::Config next;
    next.version = version;
    contract::Service service;
    service.name = core::ServiceId("cabin");
    service.max_replicas = per_service;
    next.intent.services[service.name] = service;
    for (int i = 0; i < 5; ++i) {
      contract::Model model;
      model.name = core::ModelId("m" + std::to_string(i));
      model.service = service.name;
      model.weight_bytes = 30;
      model.kv_budget_bytes = 10;
      model.max_replicas = per_model;
      model.max_concurrent = 2;
      model.adapters = {{core::AdapterId("x"), "1", 15},
                        {core::AdapterId("y"), "1", 15}};
      next.intent.models[model.name] = model;
    }
    config.Adopt(next);
  }

  /** Runs the event loop until the given coroutine ends. */
  void Run(std::function<Task<>()> task) {
    core::Spawn(context.get_executor(), log, "test",
                [this, task = std::move(task)]() -> Task<> {
                  co_await task();
                  context.stop();
                });
    context.restart();
    context.run();
  }

  [[nodiscard]] LedgerValue Ledger() const {
    const std::string text = store.Value("ledger/cabin");
    return text.empty() ? LedgerValue{} : DecodeLedger(text);
  }
};

/** All parts of one endpoint process except its links. */
struct EndpointRig {
  EndpointRig(World& its_world, FakeEngine& its_engine, const std::string& vm)
      : world(its_world),
        engine(its_engine),
        status_poller(its_engine, Millis(5), its_world.log),
        order_sender({Millis(1000), Millis(20)}, its_engine, status_poller,
                     its_world.clock, its_world.log),
        ledger(core::VmId(vm), its_world.store, its_world.clock, its_world.log),
        lanes(LaneOptions(vm), its_world.store, its_world.clock, its_world.log),
        parts{its_world.context.get_executor(),
              its_world.config,
              table,
              status_poller,
              order_sender,
              ledger,
              lanes,
              its_world.clock,
              its_world.log,
              metrics},
        worker(parts, Millis(10)),
        reconciler(
            parts,
            {core::VmId(vm), Millis(60'000), Millis(5), Millis(50), Millis(20)},
            worker),
        replicas(parts, worker, Millis(60'000), Millis(1)),
        runner(its_engine, &status_poller, replicas, attempts, its_world.clock,
               its_world.log, metrics) {
    status_poller.Listen([this] { return order_sender.IdleSequence(); },
                         [this](const auto& status, std::uint64_t sequence) {
                           reconciler.Reconcile(status, sequence);
                         });
    status_poller.Start(world.context.get_executor());
    reconciler.Start();
  }

  /** Polls until `condition` is true or the limit of polls is reached.
   * @return The condition's last value. */
  Task<bool> Until(std::function<bool()> condition) {
    constexpr int kMaxPolls = 4000;
    for (int i = 0; i < kMaxPolls && !condition(); ++i) {
      co_await core::SleepFor(Millis(1));
    }
    co_return condition();
  }

  static LaneQueueOptions LaneOptions(const std::string& vm) {
    LaneQueueOptions options;
    options.vm = core::VmId(vm);
    options.poll = Millis(2);
    return options;
  }

  /** Stops polling and sweeping, as if the process was killed. */
  void Kill() {
    status_poller.Stop();
    reconciler.Stop();
  }

  /** @return The error, or none if the model is ready. */
  Task<std::optional<ErrorCode>> Ensure(std::string model,
                                        std::vector<std::string> evict = {},
                                        std::string adapter = "",
                                        Millis keep_alive = Millis(-1)) {
    gen::EnsureModel request;
    request.service_id = "cabin";
    request.model = std::move(model);
    request.adapter = std::move(adapter);
    request.remaining_ms = 10'000;
    request.keep_alive_ms = keep_alive.count();
    request.evict = std::move(evict);
    std::function<bool()> recovered = [this] { return table.recovered.load(); };
    co_await Until(recovered);
    try {
      co_await replicas.Ensure(request);
    } catch (const Error& e) {
      co_return e.code();
    }
    co_return std::nullopt;
  }

  World& world;
  FakeEngine& engine;
  Metrics metrics;
  ReplicaTable table;
  EngineStatusPoller status_poller;
  OrderSender order_sender;
  GrantLedger ledger;
  LaneQueue lanes;
  EndpointParts parts;
  ReplicaWorker worker;
  ReplicaReconciler reconciler;
  Replicas replicas;
  AttemptTable attempts{{}, world.clock};
  Runner runner;
};

/** The caller's end of a call, in memory. */
class FakeCall final : public link::Call {
 public:
  std::vector<gen::Message> sent;
  bool cancelled = false;

  Task<> Send(gen::Message message) override {
    co_await core::SleepFor(Millis(0));
    if (cancelled) throw Error(ErrorCode::kCancelled);
    sent.push_back(std::move(message));
  }
  Task<gen::Message> Receive(Millis timeout) override {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!cancelled) {
      if (std::chrono::steady_clock::now() >= end) {
        throw Error(ErrorCode::kTimedOut);
      }
      co_await core::SleepFor(Millis(1));
    }
    throw Error(ErrorCode::kCancelled);
  }
  void Cancel() override { cancelled = true; }
  [[nodiscard]] bool ended() const override { return cancelled; }
  [[nodiscard]] link::PeerInfo peer() const override { return {}; }

  /** @return The concatenated chunks, or nothing if the answer is incomplete.
   */
  [[nodiscard]] std::optional<std::string> CompleteBody() const {
    std::string body;
    std::int64_t chunks = 0;
    for (const gen::Message& it : sent) {
      if (it.__isset.chunk) {
        if (it.chunk.sequence != chunks++) return std::nullopt;
        body += it.chunk.data;
      }
    }
    const bool ended = !sent.empty() && sent.back().__isset.run_end;
    if (!ended || sent.back().run_end.chunks != chunks) return std::nullopt;
    return body;
  }
};

}  // namespace sapphire::endpoint::test

#endif  // SAPPHIRE_ENDPOINT_ENDPOINT_RIG_TEST_H_
