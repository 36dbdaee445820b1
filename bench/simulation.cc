/** @file simulation.cc Simulated requests: arrival, queue, run and end. */
#include <fmt/format.h>

#include <algorithm>

#include "bench/fleet_func.h"
#include "bench/simulation_base.h"
#include "bench/simulation_func.h"
#include "policy/placement_func.h"

namespace sapphire::bench {

namespace {

using policy::PlacementAction;
using policy::ReplicaState;

/** Horizon over which the cost of an eviction is estimated. */
constexpr Millis kReloadHorizon = std::chrono::minutes(10);
/** Relative slowdown of a request per concurrent request on its engine. */
constexpr double kSlowdownPerRequest = 1.0 / 32;

double SecondsOf(Millis duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Simulation::Simulation(const Workload& workload, const PolicyChoice& choice)
    : workload_(workload),
      choice_(choice),
      fleet_(MakeFleet(workload)),
      histories_(workload.models.size()),
      queues_(workload.models.size()),
      service_times_(workload.models.size()),
      cold_(workload.arrivals.size()) {}

Result Simulation::Run() {
  for (std::size_t i = 0; i < workload_.arrivals.size(); ++i) {
    const auto request = static_cast<int>(i);
    Schedule(Caller(request).at, EventKind::kArrival, 0, 0, request);
  }
  if (choice_.staging) Schedule(kStagingInterval, EventKind::kStaging, 0, 0);
  while (!events_.empty() && events_.top().at <= workload_.length) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  for (EngineState& engine : fleet_) {
    AddIdleTime(engine, workload_.length, result_);
  }
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
    case EventKind::kQueueTimeout:
      return OnQueueTimeout(event.request);
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
  Schedule(std::max(last, Millis(0)), EventKind::kQueueTimeout, 0, caller.model,
           request);
}

void Simulation::OnQueueTimeout(int request) {
  auto& queue = queues_[static_cast<std::size_t>(Caller(request).model)];
  if (std::erase(queue, request) == 0) return;
  ++result_.refused_waiting;
  Refuse(request);
}

void Simulation::OnEnd(const Event& event) {
  EngineState& engine = fleet_[static_cast<std::size_t>(event.engine)];
  AddIdleTime(engine, now_, result_);
  const int index = ReplicaIndex(engine, event.model);
  --engine.view.replicas[static_cast<std::size_t>(index)].running;
  --owners_[Spec(event.model).owner].running;
  const Arrival& caller = Caller(event.request);
  if (now_ > caller.at + caller.limit) ++result_.late;
  // The engine's concurrency limit may also have delayed requests of the other
  // models that it holds.
  std::vector<int> models;
  for (const ReplicaTimes& times : engine.times) models.push_back(times.model);
  for (const int model : models) ServeQueue(model);
  StartIdleTime(event.engine, event.model);
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
    if (choice_.unload_policy != UnloadPolicy::kNeverUnload) continue;
    // With size 0 an eviction would free nothing and is never chosen.
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
  // Without a service name, no replica is evicted for the service's limit.
  if (choice_.unload_policy != UnloadPolicy::kNeverUnload) {
    ask.service = core::ServiceId(workload_.name);
  }
  ask.service_max_replicas = workload_.service_max_replicas;
  for (const EngineState& engine : fleet_) {
    ask.service_replicas += static_cast<int>(engine.times.size());
  }
  ask.remaining = caller.at + caller.limit - now_;
  // Uses the model's specified time until the first request has ended.
  const auto& times = service_times_[static_cast<std::size_t>(caller.model)];
  const Millis learnt = policy::ConservativeServiceTime(times);
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
  const int engine_index = EngineIndex(endpoint);
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  AddIdleTime(engine, now_, result_);
  const auto index =
      static_cast<std::size_t>(ReplicaIndex(engine, caller.model));
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

void Simulation::Refuse(int request) {
  const Millis limit = Caller(request).limit;
  ++result_.refused;
  result_.all_waits.push_back(limit);
  result_.caller_seconds += SecondsOf(limit);
}

bool Simulation::HasReady(int model) const {
  return std::ranges::any_of(fleet_, [&](const EngineState& engine) {
    const int index = ReplicaIndex(engine, model);
    return index >= 0 &&
           engine.view.replicas[static_cast<std::size_t>(index)].state ==
               ReplicaState::kReady;
  });
}

int Simulation::EngineIndex(const core::EndpointId& endpoint) const {
  const auto it = std::ranges::find_if(fleet_, [&](const EngineState& engine) {
    return engine.view.id == endpoint;
  });
  return static_cast<int>(it - fleet_.begin());
}

int Simulation::ModelIndex(const core::ModelId& model) const {
  const auto it = std::ranges::find(workload_.models, model, &ModelSpec::id);
  return static_cast<int>(it - workload_.models.begin());
}

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
