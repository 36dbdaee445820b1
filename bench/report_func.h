/** @file report_func.h Table that compares policies, and whether goals are met.
 */
#ifndef SAPPHIRE_BENCH_REPORT_FUNC_H_
#define SAPPHIRE_BENCH_REPORT_FUNC_H_

#include <cstdint>
#include <span>
#include <string>

#include "bench/workload_type.h"

namespace sapphire::bench {

/**
 * Runs every policy with each seed for one deployment.
 * @param title Names the set of seeds.
 * @return The Markdown table, followed by the results of both goals.
 */
std::string ReportDeployment(Deployment deployment, LoadLevel load_level,
                             const std::string& title,
                             std::span<const std::uint64_t> seeds);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_REPORT_FUNC_H_
