/** @file scheduler_decide.cc Scheduling decisions for the waiters of one model.
 */
#include <algorithm>
#include <limits>
#include <utility>

#include "entry/scheduler_state_base.h"
#include "policy/placement_func.h"

namespace sapphire::entry {

namespace {

using core::ErrorCode;
using policy::PlacementAction;

constexpr core::Millis kRetryAfter{1000};
/** After its start an entry waits this long for the endpoints' first reports
 * before it refuses requests for lack of endpoints. */
constexpr core::Millis kStartGrace{2000};
/** Least time given to a load that is started for callers' retries. */
constexpr core::Millis kMinRetryLoadTime{30000};
/** How long a failed load is reported as the reason of refusals. */
constexpr std::chrono::seconds kLoadErrorReportTime{10};

std::int64_t AdapterBytes(const contract::Model& model,
                          const std::string& name) {
  for (const contract::Adapter& adapter : model.adapters) {
    if (adapter.name.value() == name) return adapter.bytes;
  }
  return 0;
}

int ServiceLimit(const contract::Config& config, const contract::Model& model) {
  const auto it = config.intent.services.find(model.service);
  if (it == config.intent.services.end()) {
    return std::numeric_limits<int>::max();
  }
  return it->second.max_replicas;
}

/** @return The refusal for the caller: a recent load failure if there was one,
 * unless the deadline is too short; else the decision's own reason. */
core::Error MakeRefusal(const ModelQueue& queue,
                        const policy::PlacementDecision& decision,
                        core::SteadyTime now) {
  const core::Millis retry_after = std::max(decision.retry_after, kRetryAfter);
  const bool recent = queue.last_load_error.has_value() &&
                      now - queue.last_load_error_at < kLoadErrorReportTime;
  if (!recent || decision.refusal == ErrorCode::kDeadlineTooShort) {
    return core::Error(decision.refusal, "", retry_after);
  }
  const core::Error& cause = *queue.last_load_error;
  // Only the outcome of the load may be unknown; the request has not run.
  const bool load_unknown = cause.outcome() == core::Outcome::kUnknown;
  const ErrorCode code = load_unknown ? ErrorCode::kLoadFailed : cause.code();
  return core::Error(code, cause.what(), retry_after);
}

int CountOwners(const ModelQueue& queue) {
  std::set<core::OwnerId> owners;
  for (const auto& waiter : queue.waiters) {
    owners.insert(waiter->queued().owner);
  }
  return static_cast<int>(owners.size());
}

}  // namespace

bool Scheduler::State::IsStarting() const {
  return clock.Now() - started_at < kStartGrace &&
         !directory.initial_reports_done();
}

bool Scheduler::State::IsSuspect(const Waiter& waiter) const {
  return quarantine->StatusOf(waiter.request().fingerprint).IsSuspect();
}

void Scheduler::State::Evaluate(const core::ModelId& id) {
  if (stopped) return;
  const auto current = config.Current();
  std::vector<LoadOrder> orders;
  {
    Shard& shard = ShardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.queues.find(id);
    if (it == shard.queues.end() || it->second.waiters.empty()) return;
    ModelQueue& queue = it->second;
    RefuseExpired(queue);
    if (!current || IsStarting()) return;
    const auto model = current->intent.models.find(id);
    if (model == current->intent.models.end()) {
      while (!queue.waiters.empty()) {
        Refuse(queue, queue.waiters.back(),
               core::Error(ErrorCode::kUnknownModel, id.value()));
      }
      return;
    }
    Decide(*current, model->second, queue, orders);
  }
  for (const LoadOrder& order : orders) StartLoad(order);
}

void Scheduler::State::EvaluateAll() {
  std::vector<core::ModelId> waiting;
  for (Shard& shard : shards) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [id, queue] : shard.queues) {
      if (!queue.waiters.empty()) waiting.push_back(id);
    }
  }
  for (const core::ModelId& id : waiting) Evaluate(id);
}

void Scheduler::State::RefuseExpired(ModelQueue& queue) {
  const core::SteadyTime now = clock.Now();
  const std::vector<std::shared_ptr<Waiter>> all = queue.waiters;
  for (const auto& waiter : all) {
    if (waiter->IsAbandoned()) {
      Refuse(queue, waiter, core::Error(ErrorCode::kCancelled));
    } else if (waiter->queued().deadline <= now) {
      Refuse(queue, waiter,
             core::Error(ErrorCode::kDeadlineTooShort,
                         "its time ran out in the queue", kRetryAfter));
    } else if (quarantine->StatusOf(waiter->request().fingerprint)
                   .IsQuarantined()) {
      Refuse(queue, waiter,
             core::Error(ErrorCode::kQuarantined,
                         "this request has crashed two engines"));
    }
  }
}

bool Scheduler::State::Dequeue(ModelQueue& queue, Waiter& waiter) {
  if (!RemoveWaiter(queue, &waiter)) return false;
  if (waiter.reserved) fleet.EndReserve(*waiter.reserved);
  waiter.reserved.reset();
  return true;
}

void Scheduler::State::ReserveFor(Waiter& waiter,
                                  const core::EndpointId& endpoint) {
  if (waiter.reserved == endpoint) return;
  if (waiter.reserved) fleet.EndReserve(*waiter.reserved);
  waiter.reserved = endpoint;
  fleet.Reserve(endpoint);
}

void Scheduler::State::Refuse(ModelQueue& queue,
                              const std::shared_ptr<Waiter>& waiter,
                              const core::Error& error) {
  if (!Dequeue(queue, *waiter)) return;
  --queued;
  CountRefusal(error);
  waiter->Finish(error);
}

void Scheduler::State::Decide(const contract::Config& current,
                              const contract::Model& model, ModelQueue& queue,
                              std::vector<LoadOrder>& orders) {
  const auto class_of = [this](const Waiter& waiter) {
    const gen::Place& request = waiter.request();
    return WaitClass(core::AdapterId(request.adapter), IsSuspect(waiter),
                     request.avoid);
  };
  std::set<WaitClass> held;
  std::set<const Waiter*> decided;
  const auto skip = [&](const Waiter& waiter) {
    if (decided.contains(&waiter)) return true;
    return !held.empty() && held.contains(class_of(waiter));
  };
  while (const auto waiter = NextWaiter(queue, clock.Now(), skip)) {
    const int ahead = static_cast<int>(decided.size());
    const DecisionOutcome step =
        DecideOne(current, model, queue, waiter, ahead, orders);
    if (step == DecisionOutcome::kFinished) continue;
    decided.insert(waiter.get());
    if (step == DecisionOutcome::kWaits) continue;
    // A suspect waits for an idle replica. Placing others meanwhile could
    // starve it.
    if (IsSuspect(*waiter)) return;
    held.insert(class_of(*waiter));
  }
  RefuseUnservable(current, model, queue);
}

void Scheduler::State::RefuseUnservable(const contract::Config& current,
                                        const contract::Model& model,
                                        ModelQueue& queue) {
  std::vector<std::shared_ptr<Waiter>> order = queue.waiters;
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    const auto key = [](const Waiter& waiter) {
      return std::pair(-waiter.queued().priority, waiter.queued().deadline);
    };
    return key(*a) < key(*b);
  });
  int ahead = 0;
  std::map<core::OwnerId, int> ahead_of_owner;
  const int owners = CountOwners(queue);
  for (const auto& waiter : order) {
    int& own = ahead_of_owner[waiter->queued().owner];
    const policy::PlacementDecision decision = ComputeDecision(
        current, model, queue, *waiter, std::min(ahead, own * owners));
    if (decision.action == PlacementAction::kRefuse) {
      Refuse(queue, waiter, MakeRefusal(queue, decision, clock.Now()));
      continue;
    }
    ++ahead;
    ++own;
  }
}

policy::PlacementDecision Scheduler::State::ComputeDecision(
    const contract::Config& current, const contract::Model& model,
    const ModelQueue& queue, const Waiter& waiter, int ahead) {
  const core::SteadyTime now = clock.Now();
  policy::PlacementRequest request;
  request.model = model.name;
  request.adapter = core::AdapterId(waiter.request().adapter);
  request.replica_bytes = model.weight_bytes + model.kv_budget_bytes;
  request.adapter_bytes = AdapterBytes(model, waiter.request().adapter);
  request.max_replicas = model.max_replicas;
  request.max_concurrent = model.max_concurrent;
  request.alone = IsSuspect(waiter);
  request.service_max_replicas = ServiceLimit(current, model);
  request.remaining =
      std::chrono::duration_cast<core::Millis>(waiter.queued().deadline - now);
  request.service_time = EstimateAt(queue.service_time, now);
  request.zone = options.zone;
  request.prefix_hash = waiter.request().prefix_hash;
  request.avoid = AvoidSet(queue, waiter.request(), now);
  request.waiting_ahead = ahead;
  return fleet.Decide(std::move(request), model.service,
                      LoadTimesAt(queue.load_times, now));
}

Scheduler::State::DecisionOutcome Scheduler::State::DecideOne(
    const contract::Config& current, const contract::Model& model,
    ModelQueue& queue, const std::shared_ptr<Waiter>& waiter, int ahead,
    std::vector<LoadOrder>& orders) {
  const policy::PlacementDecision decision =
      ComputeDecision(current, model, queue, *waiter, ahead);
  switch (decision.action) {
    case PlacementAction::kRun:
      return TryGrant(current, model, queue, waiter, decision, orders);
    case PlacementAction::kLoad:
      return RequestLoad(model, queue, waiter, decision, orders);
    case PlacementAction::kWait:
      if (!decision.endpoint.empty()) ReserveFor(*waiter, decision.endpoint);
      return DecisionOutcome::kClassWaits;
    case PlacementAction::kRefuse:
      break;
  }
  if (decision.load_for_retry) {
    LoadForRetry(model, queue, waiter, decision, orders);
  }
  Refuse(queue, waiter, MakeRefusal(queue, decision, clock.Now()));
  return DecisionOutcome::kFinished;
}

core::Millis Scheduler::State::KeepAliveFor(
    const contract::Config& current, const ModelQueue& queue,
    const core::ModelId& model, const core::EndpointId& endpoint) const {
  const contract::Weights& prices = current.intent.weights;
  const policy::CostWeights weights = policy::CostWeightsPerReplica(
      {.cold_start = prices.cold_start, .idle = prices.idle},
      fleet.ReplicasAt(endpoint));
  const policy::LoadTimes times = LoadTimesAt(queue.load_times, clock.Now());
  const policy::Tier tier = fleet.TierOf(endpoint, model);
  return policy::KeepAliveTime(queue.arrivals, weights,
                               policy::LoadTimeFrom(times, tier));
}

Scheduler::State::DecisionOutcome Scheduler::State::TryGrant(
    const contract::Config& current, const contract::Model& model,
    ModelQueue& queue, const std::shared_ptr<Waiter>& waiter,
    const policy::PlacementDecision& decision, std::vector<LoadOrder>& orders) {
  const gen::Place& request = waiter->request();
  const core::AdapterId adapter(request.adapter);
  if (!fleet.HasAdapter(decision.endpoint, model.name, adapter)) {
    return RequestLoad(model, queue, waiter, decision, orders);
  }
  const auto address = fleet.AddressOf(decision.endpoint);
  if (!address) return DecisionOutcome::kClassWaits;
  const crash::QuarantineStatus verdict =
      quarantine->StatusOf(request.fingerprint);
  // Copies of one request that are sent at once could each crash an engine
  // before the first crash is known. Until one copy has completed, copies run
  // on no more engines than the quarantine lets one request crash.
  const bool harmless =
      !verdict.IsSuspect() && queue.harmless.contains(request.fingerprint);
  if (verdict.dispatch == policy::DispatchDecision::kWaitForCopies &&
      !harmless && !verdict.copies.contains(decision.endpoint)) {
    return DecisionOutcome::kWaits;
  }
  const core::SteadyTime now = clock.Now();
  const Slot slot{.endpoint = decision.endpoint,
                  .model = model.name,
                  .prefix_hash = request.prefix_hash,
                  .alone = verdict.IsSuspect()};
  Grant grant;
  grant.slot_id = next_slot_id++;
  grant.placed.endpoint = decision.endpoint.value();
  grant.placed.address = *address;
  grant.placed.keep_alive_ms =
      KeepAliveFor(current, queue, model.name, decision.endpoint).count();
  fleet.AddSlot(slot);
  queue.running[grant.slot_id] = {.slot = slot,
                                  .owner = waiter->queued().owner,
                                  .fingerprint = request.fingerprint,
                                  .placed_at = now};
  ++queue.owners[waiter->queued().owner].running;
  quarantine->RecordDispatch(request.fingerprint, grant.slot_id,
                             decision.endpoint);
  Dequeue(queue, *waiter);
  --queued;
  CountPlaced(*waiter, now);
  waiter->Finish(std::move(grant));
  return DecisionOutcome::kFinished;
}

void Scheduler::State::CountPlaced(const Waiter& waiter, core::SteadyTime now) {
  {
    const std::lock_guard lock(stats_mutex);
    ++stats.placed;
    if (waiter.cold_tier) ++stats.cold_starts;
  }
  if (waiter.cold_tier && options.on_cold_start) {
    options.on_cold_start(*waiter.cold_tier,
                          std::chrono::duration_cast<core::Millis>(
                              now - waiter.queued().arrived));
  }
}

Scheduler::State::DecisionOutcome Scheduler::State::RequestLoad(
    const contract::Model& model, ModelQueue& queue,
    const std::shared_ptr<Waiter>& waiter,
    const policy::PlacementDecision& decision, std::vector<LoadOrder>& orders) {
  const core::AdapterId adapter(waiter->request().adapter);
  if (queue.loads.contains(LoadKey(decision.endpoint, adapter))) {
    return DecisionOutcome::kClassWaits;
  }
  // Endpoints may fail one load after the other, and every attempt takes store
  // bandwidth from loads that could succeed. Attempts after a failure are
  // limited to a fraction of the requests that arrived.
  if (queue.failed_loads_in_row > 0 && !policy::TakeRetry(queue.retries)) {
    Refuse(queue, waiter,
           core::Error(ErrorCode::kLoadFailed, "the retry budget is used up",
                       kRetryAfter));
    return DecisionOutcome::kFinished;
  }
  BeginLoad(model, queue, adapter, decision, orders);
  for (const auto& other : queue.waiters) {
    if (!other->cold_tier) other->cold_tier = queue.load_tier;
  }
  return DecisionOutcome::kClassWaits;
}

void Scheduler::State::LoadForRetry(const contract::Model& model,
                                    ModelQueue& queue,
                                    const std::shared_ptr<Waiter>& waiter,
                                    const policy::PlacementDecision& decision,
                                    std::vector<LoadOrder>& orders) {
  // No request waits for this load, so at most one runs at a time.
  if (!queue.loads.empty()) return;
  if (queue.failed_loads_in_row > 0 && !policy::TakeRetry(queue.retries)) {
    return;
  }
  const core::AdapterId adapter(waiter->request().adapter);
  BeginLoad(model, queue, adapter, decision, orders);
  orders.back().min_time =
      std::max(kMinRetryLoadTime, 2 * orders.back().expected);
}

void Scheduler::State::BeginLoad(const contract::Model& model,
                                 ModelQueue& queue,
                                 const core::AdapterId& adapter,
                                 const policy::PlacementDecision& decision,
                                 std::vector<LoadOrder>& orders) {
  LoadOrder order;
  order.endpoint = decision.endpoint;
  order.model = model.name;
  order.adapter = adapter;
  order.evict = decision.evict;
  order.bytes = AdapterBytes(model, adapter.value());
  order.base_loaded = fleet.HasReplica(order.endpoint, order.model);
  if (!order.base_loaded) {
    order.bytes += model.weight_bytes + model.kv_budget_bytes;
  }
  order.tier = fleet.TierOf(order.endpoint, order.model);
  const policy::LoadTimes times = LoadTimesAt(queue.load_times, clock.Now());
  order.expected = order.base_loaded ? times.adapter
                                     : policy::LoadTimeFrom(times, order.tier);
  queue.loads.insert(LoadKey(order.endpoint, adapter));
  queue.load_tier = order.tier;
  fleet.BeginLoad(order);
  orders.push_back(std::move(order));
}

}  // namespace sapphire::entry
