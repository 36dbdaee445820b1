/** @file workload_func.h Makes a deployment's day from a seed. */
#ifndef SAPPHIRE_BENCH_WORKLOAD_FUNC_H_
#define SAPPHIRE_BENCH_WORKLOAD_FUNC_H_

#include <cstdint>

#include "bench/workload_type.h"

namespace sapphire::bench {

/** @return The same day for the same seed, whatever the policy. */
Workload MakeWorkload(Deployment deployment, Pressure pressure,
                      std::uint64_t seed);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_WORKLOAD_FUNC_H_
