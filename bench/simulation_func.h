/** @file simulation_func.h Runs the policy functions in a simulated day. */
#ifndef SAPPHIRE_BENCH_SIMULATION_FUNC_H_
#define SAPPHIRE_BENCH_SIMULATION_FUNC_H_

#include "bench/simulation_type.h"
#include "bench/workload_type.h"

namespace sapphire::bench {

/** Simulates the workload with this policy. Reads no clock. */
Result Simulate(const Workload& workload, const PolicyChoice& choice);

/** Adds `day` to `sum`. */
void AddResult(Result& sum, const Result& day);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_SIMULATION_FUNC_H_
