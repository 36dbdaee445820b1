/** @file fleet_func.h Loads, unloads and idle time of one simulated engine. */
#ifndef SAPPHIRE_BENCH_FLEET_FUNC_H_
#define SAPPHIRE_BENCH_FLEET_FUNC_H_

#include <vector>

#include "bench/fleet_type.h"
#include "bench/simulation_type.h"

namespace sapphire::bench {

/** @return The engines in their state at the start of the day. */
std::vector<EngineState> MakeFleet(const Workload& workload);

/** @return The index of the model's replica; -1 if the engine has none. */
int ReplicaIndex(const EngineState& engine, int model);

/** Adds idle time up to `now` to the result; must be called before every change
 * to the engine. */
void AddIdleTime(EngineState& engine, Millis now, Result& result);

/** Reserves memory for a replica that starts to load. */
void AddReplica(EngineState& engine, const Workload& workload, int model);

/** Unloads a replica; its checkpoint stays cached in the machine's memory. */
void RemoveReplica(EngineState& engine, int model);

/** Adds a checkpoint to the machine's disk cache. */
void CacheOnDisk(EngineState& engine, const core::ModelId& model);

/** Updates the relative times in the view to `now`. */
void RefreshView(EngineState& engine, Millis now);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_FLEET_FUNC_H_
