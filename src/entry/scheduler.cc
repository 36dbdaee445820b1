/** @file scheduler.cc Admission, withdrawal and release of requests. */
#include <algorithm>
#include <optional>
#include <utility>

#include "core/random_func.h"
#include "core/task_func.h"
#include "entry/scheduler_base.h"
#include "entry/scheduler_state_base.h"

namespace sapphire::entry {

namespace {

using core::ErrorCode;

/** Default retry hint to callers. */
constexpr core::Millis kRetryAfter{1000};
/** How long Serve waits for PlaceDone before it checks the link again. */
constexpr core::Millis kPlaceDonePoll{60000};
/** How long the first requests after a start wait for the first read of the
 * quarantine. */
constexpr core::Millis kQuarantineGrace{500};
constexpr core::Millis kQuarantinePoll{10};
/** Number of sweeps from one full evaluation of all waiters to the next. */
constexpr int kSweepsPerDecision = 5;

}  // namespace

/** A slot at an endpoint of a model, freed exactly once. */
class HeldSlot final : public Placement {
 public:
  HeldSlot(std::shared_ptr<Scheduler::State> state, core::ModelId model,
           Grant grant)
      : state_(std::move(state)),
        model_(std::move(model)),
        grant_(std::move(grant)) {}
  ~HeldSlot() override { Free(gen::RunResult::ABANDONED); }

  HeldSlot(const HeldSlot&) = delete;
  HeldSlot& operator=(const HeldSlot&) = delete;

  [[nodiscard]] const gen::Placed& placed() const override {
    return grant_.placed;
  }
  void Finish(gen::RunResult::type result) override { Free(result); }

 private:
  void Free(gen::RunResult::type result) {
    if (std::exchange(done_, true)) return;
    state_->Release(model_, grant_.slot_id, result);
  }

  const std::shared_ptr<Scheduler::State> state_;
  const core::ModelId model_;
  const Grant grant_;
  bool done_ = false;
};

/** A request in progress at a plain service's endpoint. */
class HeldPlainSlot final : public Placement {
 public:
  HeldPlainSlot(std::shared_ptr<Scheduler::State> state, gen::Placed placed)
      : state_(std::move(state)), placed_(std::move(placed)) {
    state_->fleet.AddSlot(PlainSlot());
  }
  ~HeldPlainSlot() override { Finish(gen::RunResult::ABANDONED); }

  HeldPlainSlot(const HeldPlainSlot&) = delete;
  HeldPlainSlot& operator=(const HeldPlainSlot&) = delete;

  [[nodiscard]] const gen::Placed& placed() const override { return placed_; }
  void Finish(gen::RunResult::type /*result*/) override {
    if (std::exchange(done_, true)) return;
    state_->fleet.RemoveSlot(PlainSlot());
  }

 private:
  [[nodiscard]] Slot PlainSlot() const {
    return {.endpoint = core::EndpointId(placed_.endpoint), .model = {}};
  }

  const std::shared_ptr<Scheduler::State> state_;
  const gen::Placed placed_;
  bool done_ = false;
};

namespace {

/** Withdraws the request if its coroutine ends while it waits, as when the
 * caller has gone: its slot or queue position would stay occupied otherwise. */
class WithdrawGuard {
 public:
  explicit WithdrawGuard(std::function<void()> withdraw)
      : withdraw_(std::move(withdraw)) {}
  ~WithdrawGuard() {
    if (withdraw_) withdraw_();
  }
  WithdrawGuard(const WithdrawGuard&) = delete;
  WithdrawGuard& operator=(const WithdrawGuard&) = delete;

  void Dismiss() { withdraw_ = nullptr; }

 private:
  std::function<void()> withdraw_;
};

}  // namespace

Scheduler::State::State(const core::Executor& executor_arg,
                        SchedulerOptions options_arg,
                        contract::ConfigHolder& config_arg,
                        Directory& directory_arg, link::LinkNode& links_arg,
                        external::KeyValueStore& store_arg,
                        const core::Clock& clock_arg,
                        const core::Logger& log_arg)
    : executor(executor_arg),
      options(std::move(options_arg)),
      config(config_arg),
      directory(directory_arg),
      links(links_arg),
      store(store_arg),
      clock(clock_arg),
      log(log_arg),
      started_at(clock_arg.Now()),
      fleet(clock_arg),
      quarantine(std::make_shared<crash::Quarantine>(clock_arg)),
      quarantine_store(std::make_shared<crash::QuarantineStore>(
          executor, quarantine, crash::QuarantineTiming(), store, clock, log)),
      ledger_cleanup(std::make_shared<LedgerCleanup>(
          executor,
          LedgerCleanupOptions{.self = options.self,
                               .interval = options.ledger_interval,
                               .removal_grace = options.removal_grace},
          config, directory, store, clock, log)),
      shards(static_cast<std::size_t>(std::max(options.shards, 1))) {}

Scheduler::State::Shard& Scheduler::State::ShardOf(const core::ModelId& id) {
  return shards[core::HashOf(id.value()) % shards.size()];
}

void Scheduler::State::Start() {
  const std::weak_ptr<State> weak = weak_from_this();
  directory.OnEndpointChange([weak](const KnownEndpoint& endpoint) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    for (const core::ModelId& id : self->fleet.Update(endpoint)) {
      self->Evaluate(id);
    }
  });
  directory.OnVmRemoved([weak](const core::VmId& vm) {
    const auto self = weak.lock();
    if (self) self->fleet.Remove(core::EndpointId(vm.value()));
  });
  const auto adopt = [weak](const contract::Config& adopted) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    std::map<core::ModelId, core::ServiceId> service_of;
    for (const auto& [id, model] : adopted.intent.models) {
      service_of[id] = model.service;
    }
    self->fleet.SetServices(std::move(service_of));
    self->EvaluateAll();
  };
  config.OnChange(adopt);
  if (const auto current = config.Current()) adopt(*current);
  for (const KnownEndpoint& endpoint : directory.Endpoints()) {
    fleet.Update(endpoint);
  }
  quarantine_store->Start();
  ledger_cleanup->Start();
  core::Spawn(executor, log, "home_sweep",
              [self = shared_from_this()] { return self->Sweep(); });
}

void Scheduler::State::Stop() {
  stopped = true;
  quarantine_store->Stop();
  ledger_cleanup->Stop();
  for (Shard& shard : shards) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [id, queue] : shard.queues) {
      while (!queue.waiters.empty()) {
        Refuse(
            queue, queue.waiters.back(),
            core::Error(ErrorCode::kLeaving, "the entry stops", kRetryAfter));
      }
    }
  }
}

core::Task<> Scheduler::State::Sweep() {
  for (int round = 0; !stopped; ++round) {
    co_await core::SleepFor(options.sweep_interval);
    if (queued == 0) continue;
    if (round % kSweepsPerDecision == 0) {
      EvaluateAll();
      continue;
    }
    for (Shard& shard : shards) {
      const std::lock_guard lock(shard.mutex);
      for (auto& [id, queue] : shard.queues) RefuseExpired(queue);
    }
  }
}

void Scheduler::State::CountRefusal(const core::Error& error) {
  const std::lock_guard lock(stats_mutex);
  ++stats.refused;
  ++stats.refused_by_code[error.code()];
  if (error.code() == ErrorCode::kQuarantined) ++stats.quarantined;
}

void Scheduler::State::CheckQuarantine(std::int64_t fingerprint) {
  if (!quarantine->StatusOf(fingerprint).IsQuarantined()) return;
  throw core::Error(ErrorCode::kQuarantined,
                    "this request has crashed two engines");
}

void Scheduler::State::CheckQueueLimits(const ModelQueue& queue,
                                        const core::OwnerId& owner) {
  const auto refusal =
      policy::CheckQueueAdmission(WaitingByOwner(queue, options.max_queue),
                                  owner, UsageByOwner(queue, clock.Now()));
  if (refusal) throw core::Error(*refusal, "", kRetryAfter);
}

namespace {

const contract::Model& FindModel(const contract::Config& config,
                                 const gen::Place& request) {
  const auto it = config.intent.models.find(core::ModelId(request.model));
  if (it == config.intent.models.end()) {
    throw core::Error(ErrorCode::kUnknownModel, request.model);
  }
  const auto& adapters = it->second.adapters;
  const bool known = std::any_of(
      adapters.begin(), adapters.end(), [&request](const auto& adapter) {
        return adapter.name.value() == request.adapter;
      });
  if (!request.adapter.empty() && !known) {
    throw core::Error(ErrorCode::kUnknownAdapter, request.adapter);
  }
  return it->second;
}

policy::QueuedRequest ToQueued(const gen::Place& request,
                               core::SteadyTime now) {
  return {.id = core::RequestId(request.request_id),
          .owner = core::OwnerId(request.owner),
          .priority = request.priority,
          .deadline = now + core::Millis(request.remaining_ms),
          .arrived = now};
}

double ShareOf(const contract::Config& config, const core::OwnerId& owner) {
  const auto it = config.intent.owners.find(owner);
  return it == config.intent.owners.end() ? 1.0 : it->second.share;
}

}  // namespace

std::shared_ptr<Waiter> Scheduler::State::Admit(
    gen::Place request, std::function<bool()> abandoned) {
  const auto current = config.Current();
  if (!current) throw core::Error(ErrorCode::kNotConfigured, "", kRetryAfter);
  const contract::Model& model = FindModel(*current, request);
  CheckQuarantine(request.fingerprint);
  const core::SteadyTime now = clock.Now();
  if (request.remaining_ms <= 0) {
    throw core::Error(ErrorCode::kDeadlineTooShort, "", kRetryAfter);
  }
  policy::QueuedRequest entry = ToQueued(request, now);
  auto waiter = std::make_shared<Waiter>(std::move(request), std::move(entry),
                                         std::move(abandoned));
  Shard& shard = ShardOf(model.name);
  {
    const std::lock_guard lock(shard.mutex);
    const auto [it, created] = shard.queues.try_emplace(model.name);
    ModelQueue& queue = it->second;
    if (created) queue.load_times = InitialLoadEstimates(model.weight_bytes);
    policy::RecordArrival(queue.arrivals, now);
    policy::RecordFirstTry(queue.retries);
    const core::OwnerId& owner = waiter->queued().owner;
    queue.owners[owner].share = ShareOf(*current, owner);
    CheckQueueLimits(queue, owner);
    // A request that waits alone is decided on below. One behind others is
    // refused right now if its turn would come after its deadline.
    if (!queue.waiters.empty() && !IsStarting()) {
      const int ahead = WaitingAhead(queue, waiter->queued().priority);
      const auto decision =
          ComputeDecision(*current, model, queue, *waiter, ahead);
      if (decision.action == policy::PlacementAction::kRefuse) {
        throw core::Error(decision.refusal, "",
                          std::max(decision.retry_after, kRetryAfter));
      }
    }
    if (!queue.loads.empty()) waiter->cold_tier = queue.load_tier;
    queue.waiters.push_back(waiter);
    ++queued;
  }
  Evaluate(model.name);
  return waiter;
}

void Scheduler::State::Withdraw(const std::shared_ptr<Waiter>& waiter) {
  const core::ModelId id(waiter->request().model);
  std::optional<std::int64_t> granted;
  {
    Shard& shard = ShardOf(id);
    const std::lock_guard lock(shard.mutex);
    if (Dequeue(shard.queues[id], *waiter)) --queued;
    if (const auto* grant = std::get_if<Grant>(&waiter->result())) {
      granted = grant->slot_id;
    }
  }
  if (granted) Release(id, *granted, gen::RunResult::ABANDONED);
}

void Scheduler::State::RecordRunResult(ModelQueue& queue, std::int64_t slot_id,
                                       const RunningRequest& run,
                                       gen::RunResult::type result) {
  const core::SteadyTime now = clock.Now();
  const bool completed = result == gen::RunResult::COMPLETED;
  if (completed) {
    RecordSample(queue.service_time,
                 std::chrono::duration_cast<core::Millis>(now - run.placed_at),
                 now);
    RecordHarmless(queue, run.fingerprint);
  }
  if (result != gen::RunResult::ENGINE_CRASHED) {
    if (quarantine->RecordEnd(run.fingerprint, slot_id, completed)) {
      quarantine_store->MarkDirty(run.fingerprint);
    }
    return;
  }
  queue.harmless.erase(run.fingerprint);
  if (quarantine->RecordCrash(run.fingerprint, slot_id, run.slot.model)) {
    quarantine_store->MarkDirty(run.fingerprint);
  }
  log.Event(core::LogLevel::kWarning, core::LogCategory::kFault,
            "engine_crashed_under_request",
            {{"model", run.slot.model},
             {"endpoint", run.slot.endpoint},
             {"fingerprint", run.fingerprint},
             {"crashes", quarantine->StatusOf(run.fingerprint).crashes}});
}

void Scheduler::State::Release(const core::ModelId& model, std::int64_t slot_id,
                               gen::RunResult::type result) {
  {
    Shard& shard = ShardOf(model);
    const std::lock_guard lock(shard.mutex);
    ModelQueue& queue = shard.queues[model];
    const auto it = queue.running.find(slot_id);
    if (it == queue.running.end()) return;
    const RunningRequest run = it->second;
    queue.running.erase(it);
    const core::SteadyTime now = clock.Now();
    OwnerUsage& usage = queue.owners[run.owner];
    --usage.running;
    ChargeOwner(usage,
                std::chrono::duration_cast<core::Millis>(now - run.placed_at),
                now);
    ForgetIdleOwners(queue, now);
    fleet.RemoveSlot(run.slot);
    RecordRunResult(queue, slot_id, run, result);
  }
  Evaluate(model);
}

namespace {

/**
 * Failure: an entry starts and gets a request that crashed two engines under
 * the previous primary entry. The first requests wait for the first read of the
 * quarantine, for a bounded time.
 */
core::Task<> AwaitQuarantine(const Scheduler::State& state) {
  const core::SteadyTime until = state.started_at + kQuarantineGrace;
  while (!state.quarantine_store->first_read_done()) {
    if (state.clock.Now() >= until) co_return;
    co_await core::SleepFor(kQuarantinePoll);
  }
}

core::Task<std::unique_ptr<Placement>> PlaceRequest(
    std::shared_ptr<Scheduler::State> state, gen::Place request,
    std::function<bool()> abandoned) {
  const core::ModelId model(request.model);
  co_await AwaitQuarantine(*state);
  std::shared_ptr<Waiter> waiter;
  try {
    waiter = state->Admit(std::move(request), std::move(abandoned));
  } catch (const core::Error& e) {
    state->CountRefusal(e);
    throw;
  }
  WithdrawGuard guard([state, waiter] { state->Withdraw(waiter); });
  co_await waiter->Wait();
  guard.Dismiss();
  if (const auto* error = std::get_if<core::Error>(&waiter->result())) {
    throw core::Error(*error);
  }
  co_return std::make_unique<HeldSlot>(state, model,
                                       std::get<Grant>(waiter->result()));
}

/** Waits for PlaceDone from the placing entry, or for the loss of its link. */
core::Task<gen::RunResult::type> AwaitPlaceDone(
    std::shared_ptr<link::Call> call) {
  while (true) {
    try {
      // Receives before checking whether the call has ended: PlaceDone may have
      // arrived just before the end, and a crash it reports must be counted.
      const gen::Message message = co_await call->Receive(kPlaceDonePoll);
      if (message.__isset.place_done) co_return message.place_done.result;
    } catch (const core::Error& e) {
      // Failure: the placing entry dies or is partitioned, which shows as a
      // lost link. The slot is freed, since the endpoint counts its own running
      // requests.
      if (e.code() != ErrorCode::kTimedOut) break;
    }
  }
  co_return gen::RunResult::ABANDONED;
}

core::Task<std::unique_ptr<Placement>> PlacePlainService(
    std::shared_ptr<Scheduler::State> state, core::ServiceId service,
    core::Millis remaining, std::set<core::EndpointId> avoid) {
  if (remaining <= core::Millis(0)) {
    throw core::Error(ErrorCode::kDeadlineTooShort, "", kRetryAfter);
  }
  const auto endpoint =
      state->fleet.PickPlain(service, state->options.zone, avoid);
  const auto address =
      endpoint ? state->fleet.AddressOf(*endpoint) : std::nullopt;
  if (!address) {
    throw core::Error(ErrorCode::kNoEndpoint, service.value(), kRetryAfter);
  }
  gen::Placed placed;
  placed.endpoint = endpoint->value();
  placed.address = *address;
  co_return std::make_unique<HeldPlainSlot>(state, std::move(placed));
}

}  // namespace

Scheduler::Scheduler(const core::Executor& executor, SchedulerOptions options,
                     contract::ConfigHolder& config, Directory& directory,
                     link::LinkNode& links, external::KeyValueStore& store,
                     const core::Clock& clock, const core::Logger& log)
    : state_(std::make_shared<State>(executor, std::move(options), config,
                                     directory, links, store, clock, log)) {
  state_->Start();
}

Scheduler::~Scheduler() { state_->Stop(); }

core::Task<std::unique_ptr<Placement>> Scheduler::Place(
    gen::Place request, std::function<bool()> abandoned) {
  return PlaceRequest(state_, std::move(request), std::move(abandoned));
}

core::Task<std::unique_ptr<Placement>> Scheduler::PlaceService(
    core::ServiceId service, core::OwnerId /*owner*/,
    std::chrono::milliseconds remaining, std::set<core::EndpointId> avoid) {
  return PlacePlainService(state_, std::move(service), remaining,
                           std::move(avoid));
}

core::Task<> Scheduler::Serve(std::shared_ptr<link::Call> call,
                              gen::Place request) {
  // A named object, not a temporary of the co_await below: GCC 12 destroys such
  // a closure twice, and the call with it.
  std::function<bool()> abandoned = [call] { return call->ended(); };
  const std::unique_ptr<Placement> placement =
      co_await PlaceRequest(state_, std::move(request), std::move(abandoned));
  gen::Message message;
  message.__set_placed(placement->placed());
  co_await call->Send(std::move(message));
  const gen::RunResult::type result = co_await AwaitPlaceDone(call);
  placement->Finish(result);
}

Scheduler::Stats Scheduler::stats() const {
  const std::lock_guard lock(state_->stats_mutex);
  Stats stats = state_->stats;
  stats.queued = state_->queued;
  return stats;
}

}  // namespace sapphire::entry
