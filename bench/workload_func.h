/** @file workload_func.h Generates one day of a deployment's load from a seed.
 */
#ifndef SAPPHIRE_BENCH_WORKLOAD_FUNC_H_
#define SAPPHIRE_BENCH_WORKLOAD_FUNC_H_

#include <cstdint>

#include "bench/workload_type.h"

namespace sapphire::bench {

/** @return One day's workload; the same for the same arguments. */
Workload MakeWorkload(Deployment deployment, LoadLevel load_level,
                      std::uint64_t seed);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_WORKLOAD_FUNC_H_
