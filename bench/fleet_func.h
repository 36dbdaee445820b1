/** @file fleet_func.h Loads, unloads and idle time at one engine. */
#ifndef SAPPHIRE_BENCH_FLEET_FUNC_H_
#define SAPPHIRE_BENCH_FLEET_FUNC_H_

#include <vector>

#include "bench/fleet_type.h"
#include "bench/simulation_type.h"

namespace sapphire::bench {

/** @return The engines as the day begins. */
std::vector<EngineState> MakeFleet(const Workload& workload);

/** @return The index of the model's replica; -1 if it holds none. */
int ReplicaAt(const EngineState& engine, int model);

/** Adds idle time up to `now`; comes before every change at the engine. */
void Settle(EngineState& engine, Millis now, Result& result);

/** Reserves memory for a replica that starts to load. */
void AddReplica(EngineState& engine, const Workload& workload, int model);

/** Unloads a replica; its checkpoint stays in the machine's memory. */
void RemoveReplica(EngineState& engine, int model);

/** Notes that a checkpoint has come to the machine's disk. */
void CacheOnDisk(EngineState& engine, const core::ModelId& model);

/** Brings the relative times of the view up to `now`. */
void RefreshView(EngineState& engine, Millis now);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_FLEET_FUNC_H_
