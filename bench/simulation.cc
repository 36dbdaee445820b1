/** @file simulation.cc Drives the decisions through one virtual day. */
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

#include "bench/fleet_func.h"
#include "bench/simulation_func.h"
#include "policy/admission_func.h"
#include "policy/placement_func.h"
#include "policy/service_time_func.h"
#include "policy/staging_func.h"

namespace sapphire::bench {

namespace {

using policy::PlacementAction;
using policy::ReplicaState;

/** How far ahead the cost of an eviction is looked at. */
constexpr Millis kReloadHorizon = std::chrono::minutes(10);
/** A request slows down by this part for each one beside it. */
constexpr double kSlowdownPerRequest = 1.0 / 32;

/** How often a model to stage is looked for. */
constexpr Millis kStagingInterval = std::chrono::seconds(20);

enum class EventKind {
  kArrival,
  kEnd,
  kLoaded,
  kIdleCheck,
  kLanes,
  kStaging,
  kGiveUp
};

struct Event {
  Millis at{0};
  /** Keeps events of one moment in the order they were made. */
  std::int64_t order = 0;
  EventKind kind = EventKind::kArrival;
  int engine = 0;
  int model = 0;
  int request = 0;
};

struct Later {
  bool operator()(const Event& a, const Event& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

/** A load that waits for a lane of the weight store. */
struct PendingLoad {
  policy::LoadBid bid;
  int engine = 0;
  int model = 0;
};

core::SteadyTime TimeOf(Millis at) { return core::SteadyTime(at); }

double SecondsOf(Millis duration) {
  return std::chrono::duration<double>(duration).count();
}

class Simulation {
 public:
  Simulation(const Workload& workload, const PolicyChoice& choice)
      : workload_(workload),
        choice_(choice),
        fleet_(MakeFleet(workload)),
        histories_(workload.models.size()),
        queues_(workload.models.size()),
        service_times_(workload.models.size()),
        cold_(workload.arrivals.size()) {}

  Result Run();

 private:
  void Schedule(Millis delay, EventKind kind, int engine, int model,
                int request = 0);
  void Handle(const Event& event);

  void OnArrival(int request);
  void OnEnd(const Event& event);
  void OnLoaded(const Event& event);
  void OnIdleCheck(int engine_index);
  void OnStaging();
  void OnGiveUp(int request);

  /** Queues a request until it starts or its time gets too short. */
  void Enqueue(int request);

  /** @return The decision for a request, given how many wait before it. */
  policy::PlacementDecision Decide(int request, int ahead);
  /** Takes requests off the model's queue while they can start. */
  void ServeQueue(int model);
  void Start(int request, const core::EndpointId& endpoint);
  void StartLoad(int model, const policy::PlacementDecision& decision,
                 Millis deadline);
  /** Loads from the weight store as soon as a lane is granted. */
  void BidForLane(int engine_index, int model, Millis deadline,
                  bool caller_waits);
  void BeginTransfer(int engine_index, int model, Millis transfer);
  void GrantLanes();
  void Refuse(int request);
  void Rest(int engine_index, int model);
  void RefreshFleet();

  [[nodiscard]] Millis KeepAlive(const EngineState& engine, int model) const;
  [[nodiscard]] bool IsPriced() const {
    return choice_.rest == RestPolicy::kPriced ||
           choice_.rest == RestPolicy::kPricedAlone;
  }
  [[nodiscard]] bool HasReady(int model) const;
  [[nodiscard]] int EngineNamed(const core::EndpointId& endpoint) const;
  [[nodiscard]] int ModelNamed(const core::ModelId& model) const;
  [[nodiscard]] const ModelSpec& Spec(int model) const {
    return workload_.models[static_cast<std::size_t>(model)];
  }
  [[nodiscard]] const Arrival& Caller(int request) const {
    return workload_.arrivals[static_cast<std::size_t>(request)];
  }

  const Workload& workload_;
  const PolicyChoice& choice_;
  std::vector<EngineState> fleet_;
  std::vector<policy::EndpointView> views_;
  std::vector<policy::ArrivalHistory> histories_;
  std::vector<std::vector<int>> queues_;
  std::vector<policy::ServiceTimes> service_times_;
  /** Requests that found no ready replica. */
  std::vector<bool> cold_;
  std::map<core::OwnerId, policy::OwnerUse> owners_;
  std::vector<PendingLoad> pending_;
  policy::StoreUse store_use_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::int64_t next_order_ = 0;
  Millis now_{0};
  Result result_;
};

Result Simulation::Run() {
  for (std::size_t i = 0; i < workload_.arrivals.size(); ++i) {
    const auto request = static_cast<int>(i);
    Schedule(Caller(request).at, EventKind::kArrival, 0, 0, request);
  }
  if (choice_.stages) Schedule(kStagingInterval, EventKind::kStaging, 0, 0);
  while (!events_.empty() && events_.top().at <= workload_.length) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  for (EngineState& engine : fleet_) Settle(engine, workload_.length, result_);
  return std::move(result_);
}

void Simulation::Schedule(Millis delay, EventKind kind, int engine, int model,
                          int request) {
  events_.push({.at = now_ + delay,
                .order = next_order_++,
                .kind = kind,
                .engine = engine,
                .model = model,
                .request = request});
}

void Simulation::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      return OnArrival(event.request);
    case EventKind::kEnd:
      return OnEnd(event);
    case EventKind::kLoaded:
      return OnLoaded(event);
    case EventKind::kIdleCheck:
      return OnIdleCheck(event.engine);
    case EventKind::kLanes:
      return GrantLanes();
    case EventKind::kStaging:
      return OnStaging();
    case EventKind::kGiveUp:
      return OnGiveUp(event.request);
  }
}

void Simulation::OnArrival(int request) {
  const int model = Caller(request).model;
  auto& queue = queues_[static_cast<std::size_t>(model)];
  policy::RecordArrival(histories_[static_cast<std::size_t>(model)],
                        TimeOf(now_));
  cold_[static_cast<std::size_t>(request)] = !HasReady(model);
  const auto decision = Decide(request, static_cast<int>(queue.size()));
  const Millis deadline = Caller(request).at + Caller(request).limit;
  switch (decision.action) {
    case PlacementAction::kRun:
      return Start(request, decision.endpoint);
    case PlacementAction::kWait:
      return Enqueue(request);
    case PlacementAction::kLoad:
      Enqueue(request);
      return StartLoad(model, decision, deadline);
    case PlacementAction::kRefuse:
      Refuse(request);
      if (decision.load_for_retry) StartLoad(model, decision, deadline);
      return;
  }
}

void Simulation::Enqueue(int request) {
  const Arrival& caller = Caller(request);
  queues_[static_cast<std::size_t>(caller.model)].push_back(request);
  const Millis last = caller.limit - Spec(caller.model).service_time;
  Schedule(std::max(last, Millis(0)), EventKind::kGiveUp, 0, caller.model,
           request);
}

void Simulation::OnGiveUp(int request) {
  auto& queue = queues_[static_cast<std::size_t>(Caller(request).model)];
  if (std::erase(queue, request) == 0) return;
  ++result_.refused_waiting;
  Refuse(request);
}

void Simulation::OnEnd(const Event& event) {
  EngineState& engine = fleet_[static_cast<std::size_t>(event.engine)];
  Settle(engine, now_, result_);
  const int index = ReplicaAt(engine, event.model);
  --engine.view.replicas[static_cast<std::size_t>(index)].running;
  --owners_[Spec(event.model).owner].running;
  const Arrival& caller = Caller(event.request);
  if (now_ > caller.at + caller.limit) ++result_.late;
  // The engine's own limit may have held back other models' requests too.
  std::vector<int> models;
  for (const ReplicaTimes& times : engine.times) models.push_back(times.model);
  for (const int model : models) ServeQueue(model);
  Rest(event.engine, event.model);
}

void Simulation::OnLoaded(const Event& event) {
  EngineState& engine = fleet_[static_cast<std::size_t>(event.engine)];
  Settle(engine, now_, result_);
  const auto index = static_cast<std::size_t>(ReplicaAt(engine, event.model));
  engine.view.replicas[index].state = ReplicaState::kReady;
  if (engine.times[index].holds_lane) {
    --store_use_.loading;
    CacheOnDisk(engine, Spec(event.model).id);
    GrantLanes();
  }
  ServeQueue(event.model);
  Rest(event.engine, event.model);
}

/** Starts a replica's idle time if it runs nothing. */
void Simulation::Rest(int engine_index, int model) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  const int index = ReplicaAt(engine, model);
  if (index < 0) return;
  const auto at = static_cast<std::size_t>(index);
  if (engine.view.replicas[at].running > 0) return;
  engine.times[at].idle_since = now_;
  engine.times[at].keep_alive = KeepAlive(engine, model);
  const bool stays = choice_.rest == RestPolicy::kNeverUnload ||
                     choice_.rest == RestPolicy::kLeastRecentlyUsed;
  if (stays) return;
  Schedule(engine.times[at].keep_alive, EventKind::kIdleCheck, engine_index,
           model);
}

Millis Simulation::KeepAlive(const EngineState& engine, int model) const {
  if (!IsPriced()) return choice_.timeout;
  const int index = ReplicaAt(engine, model);
  const bool staged = engine.times[static_cast<std::size_t>(index)].staging;
  if (staged) return Millis(0);
  const bool shares = choice_.rest == RestPolicy::kPriced;
  const std::size_t sharers = shares ? engine.times.size() : 1;
  return policy::KeepAliveTime(
      histories_[static_cast<std::size_t>(model)],
      policy::SharedWeights(workload_.weights, sharers),
      policy::ExpectedReloadTime(Spec(model).loads));
}

void Simulation::OnIdleCheck(int engine_index) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  Settle(engine, now_, result_);
  RefreshView(engine, now_);
  std::vector<policy::HeldReplica> held;
  std::vector<int> unload;
  for (std::size_t i = 0; i < engine.times.size(); ++i) {
    const policy::ReplicaView& replica = engine.view.replicas[i];
    const bool ready = replica.state == ReplicaState::kReady;
    const int running = ready ? replica.running : 1;
    held.push_back({.running = running,
                    .idle = replica.idle,
                    .keep_alive = engine.times[i].keep_alive});
    const bool expired =
        running == 0 && replica.idle >= engine.times[i].keep_alive;
    if (expired) unload.push_back(engine.times[i].model);
  }
  if (choice_.rest == RestPolicy::kPriced) {
    unload.clear();
    for (const std::size_t i : policy::ReplicasToUnload(held)) {
      unload.push_back(engine.times[i].model);
    }
  }
  for (const int model : unload) RemoveReplica(engine, model);
}

void Simulation::RefreshFleet() {
  views_.clear();
  for (EngineState& engine : fleet_) {
    RefreshView(engine, now_);
    for (std::size_t i = 0; i < engine.times.size(); ++i) {
      policy::ReplicaView& replica = engine.view.replicas[i];
      if (!IsPriced()) continue;
      const int model = engine.times[i].model;
      replica.reload_cost = policy::ReloadCost(
          histories_[static_cast<std::size_t>(model)], workload_.weights,
          Spec(model).loads.memory, replica.idle, kReloadHorizon);
    }
    views_.push_back(engine.view);
    if (choice_.rest != RestPolicy::kNeverUnload) continue;
    // Evictions that would free nothing are never chosen.
    for (auto& replica : views_.back().replicas) replica.bytes = 0;
  }
}

policy::PlacementDecision Simulation::Decide(int request, int ahead) {
  RefreshFleet();
  const Arrival& caller = Caller(request);
  const ModelSpec& spec = Spec(caller.model);
  policy::PlacementRequest ask;
  ask.model = spec.id;
  if (caller.adapter >= 0) {
    ask.adapter = spec.adapters[static_cast<std::size_t>(caller.adapter)];
  }
  ask.replica_bytes = spec.bytes;
  ask.max_replicas = spec.max_replicas;
  // Without a service named, no eviction is made for its limit.
  if (choice_.rest != RestPolicy::kNeverUnload) {
    ask.service = core::ServiceId(workload_.name);
  }
  ask.service_max_replicas = workload_.service_max_replicas;
  for (const EngineState& engine : fleet_) {
    ask.service_replicas += static_cast<int>(engine.times.size());
  }
  ask.remaining = caller.at + caller.limit - now_;
  // The deployment's own figure until the first request has ended.
  const auto& times = service_times_[static_cast<std::size_t>(caller.model)];
  const Millis learnt = policy::CautiousServiceTime(times);
  ask.service_time = learnt.count() > 0 ? learnt : spec.service_time;
  ask.zone = core::ZoneId(fmt::format("zone-{}", caller.zone));
  ask.waiting_ahead = ahead;
  policy::LoadTimes loads = spec.loads;
  loads.remote += Millis(
      static_cast<std::int64_t>(1000.0 * static_cast<double>(pending_.size()) /
                                workload_.store.loads_per_second));
  return policy::DecidePlacement(ask, views_, loads);
}

void Simulation::ServeQueue(int model) {
  auto& queue = queues_[static_cast<std::size_t>(model)];
  while (!queue.empty()) {
    std::vector<policy::QueuedRequest> waiting;
    for (const int request : queue) {
      const Arrival& caller = Caller(request);
      waiting.push_back({.id = {},
                         .owner = Spec(model).owner,
                         .priority = 0,
                         .deadline = TimeOf(caller.at + caller.limit),
                         .arrived = TimeOf(caller.at)});
    }
    const auto next = policy::PickNext(waiting, owners_);
    const int request = queue[next];
    const auto decision = Decide(request, 0);
    const bool starts = decision.action == PlacementAction::kRun;
    const bool refused = decision.action == PlacementAction::kRefuse;
    if (!starts && !refused) return;
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(next));
    if (starts) Start(request, decision.endpoint);
    if (!refused) continue;
    ++result_.refused_waiting;
    Refuse(request);
  }
}

void Simulation::Start(int request, const core::EndpointId& endpoint) {
  const Arrival& caller = Caller(request);
  const ModelSpec& spec = Spec(caller.model);
  const int engine_index = EngineNamed(endpoint);
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  Settle(engine, now_, result_);
  const auto index = static_cast<std::size_t>(ReplicaAt(engine, caller.model));
  int beside = 0;
  for (const auto& replica : engine.view.replicas) beside += replica.running;
  policy::ReplicaView& replica = engine.view.replicas[index];
  ++replica.running;
  engine.times[index].staging = false;
  ++owners_[spec.owner].running;
  Millis service(
      static_cast<std::int64_t>(static_cast<double>(spec.service_time.count()) *
                                (1 + kSlowdownPerRequest * beside)));
  if (caller.adapter >= 0) {
    const auto& adapter =
        spec.adapters[static_cast<std::size_t>(caller.adapter)];
    if (replica.adapters.insert(adapter).second) service += spec.loads.adapter;
  }
  policy::RecordServiceTime(
      service_times_[static_cast<std::size_t>(caller.model)], service);
  Schedule(service, EventKind::kEnd, engine_index, caller.model, request);
  const Millis wait = now_ - caller.at;
  const bool cold = cold_[static_cast<std::size_t>(request)];
  result_.all_waits.push_back(cold ? wait : Millis(0));
  if (!cold) return;
  result_.cold_waits.push_back(wait);
  result_.caller_seconds += SecondsOf(wait);
}

void Simulation::StartLoad(int model, const policy::PlacementDecision& decision,
                           Millis deadline) {
  const int engine_index = EngineNamed(decision.endpoint);
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  Settle(engine, now_, result_);
  for (const core::ModelId& evicted : decision.evict) {
    RemoveReplica(engine, ModelNamed(evicted));
  }
  const ModelSpec& spec = Spec(model);
  const policy::Tier tier = policy::TierAt(engine.view, spec.id);
  AddReplica(engine, workload_, model);
  ++result_.loads;
  if (tier != policy::Tier::kRemote) {
    return BeginTransfer(engine_index, model,
                         policy::LoadTimeFrom(spec.loads, tier));
  }
  BidForLane(engine_index, model, deadline, true);
}

void Simulation::BidForLane(int engine_index, int model, Millis deadline,
                            bool caller_waits) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  const ModelSpec& spec = Spec(model);
  engine.times.back().holds_lane = true;
  engine.times.back().ready_at = now_ + spec.loads.remote;
  pending_.push_back({.bid = {.vm = core::VmId(engine.view.id.value()),
                              .model = spec.id,
                              .deadline = TimeOf(deadline),
                              .caller_waits = caller_waits},
                      .engine = engine_index,
                      .model = model});
  GrantLanes();
}

void Simulation::OnStaging() {
  Schedule(kStagingInterval, EventKind::kStaging, 0, 0);
  std::size_t held = 0;
  for (const EngineState& engine : fleet_) held += engine.times.size();
  const auto limit = static_cast<std::size_t>(workload_.service_max_replicas);
  if (!pending_.empty() || held >= limit) return;
  std::vector<policy::StagingCandidate> candidates;
  for (std::size_t i = 0; i < workload_.models.size(); ++i) {
    candidates.push_back({.model = workload_.models[i].id,
                          .replica_bytes = workload_.models[i].bytes,
                          .demand = histories_[i].total});
  }
  RefreshFleet();
  const auto decision = policy::ChooseStaging(candidates, views_);
  if (!decision.has_value()) return;
  const int engine_index = EngineNamed(decision->endpoint);
  const int model = ModelNamed(decision->model);
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  Settle(engine, now_, result_);
  AddReplica(engine, workload_, model);
  engine.times.back().staging = true;
  ++result_.loads;
  BidForLane(engine_index, model, now_ + kStagingInterval, false);
}

void Simulation::BeginTransfer(int engine_index, int model, Millis transfer) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  const Millis start = std::max(now_, engine.orders_done);
  const auto index = static_cast<std::size_t>(ReplicaAt(engine, model));
  engine.orders_done = start + transfer;
  engine.times[index].ready_at = engine.orders_done;
  Schedule(engine.orders_done - now_, EventKind::kLoaded, engine_index, model);
}

void Simulation::GrantLanes() {
  std::vector<policy::LoadBid> bids;
  for (const PendingLoad& load : pending_) bids.push_back(load.bid);
  auto granted =
      policy::GrantLanes(bids, workload_.store, store_use_, TimeOf(now_));
  std::ranges::sort(granted, std::ranges::greater{});
  for (const std::size_t index : granted) {
    const PendingLoad load = pending_[index];
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    ++store_use_.loading;
    store_use_.starts.push_back(TimeOf(now_));
    BeginTransfer(load.engine, load.model, Spec(load.model).loads.remote);
  }
  std::erase_if(store_use_.starts, [&](core::SteadyTime start) {
    return TimeOf(now_) - start > std::chrono::seconds(2);
  });
  const bool lane_free = store_use_.loading < workload_.store.loads_at_once;
  if (pending_.empty() || !lane_free) return;
  Schedule(Millis(100), EventKind::kLanes, 0, 0);
}

void Simulation::Refuse(int request) {
  const Millis limit = Caller(request).limit;
  ++result_.refused;
  result_.all_waits.push_back(limit);
  result_.caller_seconds += SecondsOf(limit);
}

bool Simulation::HasReady(int model) const {
  return std::ranges::any_of(fleet_, [&](const EngineState& engine) {
    const int index = ReplicaAt(engine, model);
    return index >= 0 &&
           engine.view.replicas[static_cast<std::size_t>(index)].state ==
               ReplicaState::kReady;
  });
}

int Simulation::EngineNamed(const core::EndpointId& endpoint) const {
  const auto it = std::ranges::find_if(fleet_, [&](const EngineState& engine) {
    return engine.view.id == endpoint;
  });
  return static_cast<int>(it - fleet_.begin());
}

int Simulation::ModelNamed(const core::ModelId& model) const {
  const auto it = std::ranges::find(workload_.models, model, &ModelSpec::id);
  return static_cast<int>(it - workload_.models.begin());
}

}  // namespace

Result Simulate(const Workload& workload, const PolicyChoice& choice) {
  return Simulation(workload, choice).Run();
}

void AddResult(Result& sum, const Result& day) {
  sum.cold_waits.insert(sum.cold_waits.end(), day.cold_waits.begin(),
                        day.cold_waits.end());
  sum.all_waits.insert(sum.all_waits.end(), day.all_waits.begin(),
                       day.all_waits.end());
  sum.refused += day.refused;
  sum.refused_waiting += day.refused_waiting;
  sum.late += day.late;
  sum.loads += day.loads;
  sum.idle_accelerator_seconds += day.idle_accelerator_seconds;
  sum.idle_replica_seconds += day.idle_replica_seconds;
  sum.caller_seconds += day.caller_seconds;
}

}  // namespace sapphire::bench
