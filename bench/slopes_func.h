/** @file slopes_func.h What one decision costs as the fleet grows. */
#ifndef SAPPHIRE_BENCH_SLOPES_FUNC_H_
#define SAPPHIRE_BENCH_SLOPES_FUNC_H_

#include <string>

namespace sapphire::bench {

/** @return Time per call of each decision at several sizes, as Markdown. */
std::string ReportSlopes();

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_SLOPES_FUNC_H_
