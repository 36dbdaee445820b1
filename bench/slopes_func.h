/** @file slopes_func.h Measures the time of policy decisions by fleet size. */
#ifndef SAPPHIRE_BENCH_SLOPES_FUNC_H_
#define SAPPHIRE_BENCH_SLOPES_FUNC_H_

#include <string>

namespace sapphire::bench {

/** @return The time per call of each decision by size, as a Markdown table. */
std::string ReportSlopes();

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_SLOPES_FUNC_H_
