/** @file simulation_load.cc Simulated replicas: loads, lanes, staging and
 * unloads. */
#include <algorithm>

#include "bench/fleet_func.h"
#include "bench/simulation_base.h"
#include "policy/placement_func.h"
#include "policy/staging_func.h"

namespace sapphire::bench {

namespace {

using policy::ReplicaState;

}  // namespace

void Simulation::OnLoaded(const Event& event) {
  EngineState& engine = fleet_[static_cast<std::size_t>(event.engine)];
  AddIdleTime(engine, now_, result_);
  const auto index =
      static_cast<std::size_t>(ReplicaIndex(engine, event.model));
  engine.view.replicas[index].state = ReplicaState::kReady;
  if (engine.times[index].holds_lane) {
    --store_use_.loading;
    CacheOnDisk(engine, Spec(event.model).id);
    GrantLanes();
  }
  ServeQueue(event.model);
  StartIdleTime(event.engine, event.model);
}

/** Starts a replica's idle time if it runs no request, and schedules the check
 * whether to unload it. */
void Simulation::StartIdleTime(int engine_index, int model) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  const int index = ReplicaIndex(engine, model);
  if (index < 0) return;
  const auto at = static_cast<std::size_t>(index);
  if (engine.view.replicas[at].running > 0) return;
  engine.times[at].idle_since = now_;
  engine.times[at].keep_alive = KeepAlive(engine, model);
  const bool stays = choice_.unload_policy == UnloadPolicy::kNeverUnload ||
                     choice_.unload_policy == UnloadPolicy::kLeastRecentlyUsed;
  if (stays) return;
  Schedule(engine.times[at].keep_alive, EventKind::kIdleCheck, engine_index,
           model);
}

Millis Simulation::KeepAlive(const EngineState& engine, int model) const {
  if (!IsPriced()) return choice_.timeout;
  const int index = ReplicaIndex(engine, model);
  const bool staged = engine.times[static_cast<std::size_t>(index)].staging;
  if (staged) return Millis(0);
  const bool shares = choice_.unload_policy != UnloadPolicy::kPricedAlone;
  const std::size_t sharers = shares ? engine.times.size() : 1;
  return policy::KeepAliveTime(
      histories_[static_cast<std::size_t>(model)],
      policy::CostWeightsPerReplica(workload_.weights, sharers),
      policy::ExpectedReloadTime(Spec(model).loads));
}

void Simulation::OnIdleCheck(int engine_index) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  AddIdleTime(engine, now_, result_);
  RefreshView(engine, now_);
  std::vector<policy::LoadedReplica> held;
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
  if (choice_.unload_policy == UnloadPolicy::kPriced) {
    unload.clear();
    for (const std::size_t i : policy::ReplicasToUnload(held)) {
      unload.push_back(engine.times[i].model);
    }
  }
  for (const int model : unload) RemoveReplica(engine, model);
}

void Simulation::StartLoad(int model, const policy::PlacementDecision& decision,
                           Millis deadline) {
  const int engine_index = EngineIndex(decision.endpoint);
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  AddIdleTime(engine, now_, result_);
  for (const core::ModelId& evicted : decision.evict) {
    RemoveReplica(engine, ModelIndex(evicted));
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
  const int engine_index = EngineIndex(decision->endpoint);
  const int model = ModelIndex(decision->model);
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  AddIdleTime(engine, now_, result_);
  AddReplica(engine, workload_, model);
  engine.times.back().staging = true;
  ++result_.loads;
  BidForLane(engine_index, model, now_ + kStagingInterval, false);
}

void Simulation::BeginTransfer(int engine_index, int model, Millis transfer) {
  EngineState& engine = fleet_[static_cast<std::size_t>(engine_index)];
  const Millis start = std::max(now_, engine.orders_done);
  const auto index = static_cast<std::size_t>(ReplicaIndex(engine, model));
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

}  // namespace sapphire::bench
