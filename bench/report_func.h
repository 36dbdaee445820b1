/** @file report_func.h The table of policies, and whether the goal is met. */
#ifndef SAPPHIRE_BENCH_REPORT_FUNC_H_
#define SAPPHIRE_BENCH_REPORT_FUNC_H_

#include <cstdint>
#include <span>
#include <string>

#include "bench/workload_type.h"

namespace sapphire::bench {

/**
 * Runs every policy over the seeds and writes the table of one deployment.
 * @param title Says which seeds these are.
 * @return The table, as Markdown, and one line for each part of the goal.
 */
std::string ReportDeployment(Deployment deployment, Pressure pressure,
                             const std::string& title,
                             std::span<const std::uint64_t> seeds);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_REPORT_FUNC_H_
