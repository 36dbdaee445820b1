/** @file keep_alive_func.h How long an idle replica stays loaded. */
#ifndef SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_
#define SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock_base.h"

namespace sapphire::policy {

/** Counts of a model's inter-arrival gaps, in buckets that double in width. */
struct ArrivalHistory {
  static constexpr std::size_t kBuckets = 24;
  std::optional<core::SteadyTime> last_arrival;
  /** Bucket i: gaps of up to 2^i seconds / 16; decayed as new ones come. */
  std::array<double, kBuckets> gaps{};
  double total = 0;
};

/** Prices of the two measures, as in contract::Weights. */
struct CostWeights {
  double cold_start = 1.0;
  double idle = 1.0;
};

/** Notes an arrival. */
void RecordArrival(ArrivalHistory& history, core::SteadyTime now);

/**
 * Chooses the time to keep an idle replica: the least expected cost of
 * waiting callers against idle accelerator time, by this model's own gaps.
 * @param load_time What a caller waits if the model has been unloaded.
 */
std::chrono::milliseconds KeepAliveTime(const ArrivalHistory& history,
                                        const CostWeights& weights,
                                        std::chrono::milliseconds load_time);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_
