/** @file load_func.h Sends many requests and measures their answers. */
#ifndef SAPPHIRE_BENCH_LOAD_FUNC_H_
#define SAPPHIRE_BENCH_LOAD_FUNC_H_

#include <string>
#include <string_view>

#include "bench/load_type.h"

namespace sapphire::bench {

/** Runs a plan to its end on the calling thread. */
LoadResult RunLoad(const LoadPlan& plan);

/** @return The time that `share` of the sorted times don't exceed; 0 of none.
 */
std::chrono::microseconds Quantile(
    const std::vector<std::chrono::microseconds>& sorted, double share);

/** @return The result in a few lines, or as one JSON object. */
std::string ShowLoad(std::string_view name, const LoadResult& result,
                     bool as_json);

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_LOAD_FUNC_H_
