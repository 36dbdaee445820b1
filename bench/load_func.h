/** @file load_func.h Load generator that measures latencies and failures. */
#ifndef SAPPHIRE_BENCH_LOAD_FUNC_H_
#define SAPPHIRE_BENCH_LOAD_FUNC_H_

#include <string>
#include <string_view>

#include "bench/load_type.h"

namespace sapphire::bench {

/** Runs a plan to completion on the calling thread. */
LoadResult RunLoad(const LoadPlan& plan);

/** @return The nearest-rank quantile `share` (0 to 1) of sorted times; 0 if
 * empty. */
std::chrono::microseconds Quantile(
    const std::vector<std::chrono::microseconds>& sorted, double share);

/** @return The result as a few lines of text or as one JSON object. */
std::string FormatLoad(std::string_view name, const LoadResult& result,
                       bool as_json);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_LOAD_FUNC_H_
