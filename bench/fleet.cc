/** @file fleet.cc Loads, unloads and idle time of one simulated engine. */
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "bench/fleet_func.h"

namespace sapphire::bench {

namespace {

/** How many checkpoints a machine caches in memory and on disk. */
constexpr std::size_t kMemoryCache = 3;
constexpr std::size_t kDiskCache = 8;

using ModelSet = std::set<core::ModelId>;

/** Moves `model` to the front of the LRU cache and evicts the last if it is
 * over the limit; `tier` becomes the set of cached models. */
void UpdateLru(std::deque<core::ModelId>& cache, ModelSet& tier,
               const core::ModelId& model, std::size_t limit) {
  std::erase(cache, model);
  cache.push_front(model);
  if (cache.size() > limit) cache.pop_back();
  tier = ModelSet(cache.begin(), cache.end());
}

double SecondsOf(Millis duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::vector<EngineState> MakeFleet(const Workload& workload) {
  std::vector<EngineState> fleet(static_cast<std::size_t>(workload.engines));
  for (int i = 0; i < workload.engines; ++i) {
    auto& view = fleet[static_cast<std::size_t>(i)].view;
    view.id = core::EndpointId(fmt::format("engine-{:02}", i));
    view.zone = core::ZoneId(fmt::format("zone-{}", i % workload.zones));
    view.memory_bytes = workload.engine_bytes;
    view.max_running = workload.engine_max_running;
  }
  for (const ModelSpec& model : workload.models) {
    for (const int engine : model.on_disk) {
      CacheOnDisk(fleet[static_cast<std::size_t>(engine)], model.id);
    }
  }
  return fleet;
}

int ReplicaIndex(const EngineState& engine, int model) {
  for (std::size_t i = 0; i < engine.times.size(); ++i) {
    if (engine.times[i].model == model) return static_cast<int>(i);
  }
  return -1;
}

void AddIdleTime(EngineState& engine, Millis now, Result& result) {
  const double passed = SecondsOf(now - engine.idle_counted_until);
  engine.idle_counted_until = now;
  bool in_use = false;
  for (std::size_t i = 0; i < engine.times.size(); ++i) {
    const policy::ReplicaView& replica = engine.view.replicas[i];
    // A staging load that no caller waits for counts as an idle replica.
    const bool loading = replica.state == policy::ReplicaState::kLoading &&
                         !engine.times[i].staging;
    in_use = in_use || loading || replica.running > 0;
    if (!loading && replica.running == 0) result.idle_replica_seconds += passed;
  }
  if (engine.view.replicas.empty() || in_use) return;
  result.idle_accelerator_seconds += passed;
}

void AddReplica(EngineState& engine, const Workload& workload, int model) {
  const ModelSpec& spec = workload.models[static_cast<std::size_t>(model)];
  policy::ReplicaView replica;
  replica.model = spec.id;
  replica.service = core::ServiceId(workload.name);
  replica.state = policy::ReplicaState::kLoading;
  replica.bytes = spec.bytes;
  engine.view.reserved_bytes += spec.bytes;
  engine.view.replicas.push_back(std::move(replica));
  engine.times.emplace_back().model = model;
}

void RemoveReplica(EngineState& engine, int model) {
  const int index = ReplicaIndex(engine, model);
  if (index < 0) return;
  auto& view = engine.view;
  const policy::ReplicaView& replica =
      view.replicas[static_cast<std::size_t>(index)];
  view.reserved_bytes -= replica.bytes;
  UpdateLru(engine.memory_cache, view.memory_tier, replica.model, kMemoryCache);
  view.replicas.erase(view.replicas.begin() + index);
  engine.times.erase(engine.times.begin() + index);
}

void CacheOnDisk(EngineState& engine, const core::ModelId& model) {
  UpdateLru(engine.disk_cache, engine.view.disk_tier, model, kDiskCache);
}

void RefreshView(EngineState& engine, Millis now) {
  for (std::size_t i = 0; i < engine.times.size(); ++i) {
    policy::ReplicaView& replica = engine.view.replicas[i];
    const ReplicaTimes& times = engine.times[i];
    const bool loading = replica.state == policy::ReplicaState::kLoading;
    replica.ready_in =
        loading ? std::max(Millis(0), times.ready_at - now) : Millis(0);
    const bool idle = !loading && replica.running == 0;
    replica.idle = idle ? now - times.idle_since : Millis(0);
  }
}

}  // namespace sapphire::bench
