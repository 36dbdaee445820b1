/** @file keep_alive_func.h How long an idle replica stays loaded. */
#ifndef SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_
#define SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/clock_base.h"

namespace sapphire::policy {

/** Counts of a model's inter-arrival gaps, in buckets that double in width. */
struct ArrivalHistory {
  static constexpr std::size_t kBuckets = 24;
  std::optional<core::SteadyTime> last_arrival;
  /** Bucket i: gaps of up to 2^i seconds / 16; decayed as new ones come. */
  std::array<double, kBuckets> gaps{};
  double total = 0;
  /** Callers that came with the arrival that ended a gap, per bucket: those a
   * cold start would have kept waiting. Decayed like `gaps`. */
  std::array<double, kBuckets> callers{};
  /** Start and bucket of the latest group of callers. */
  std::optional<core::SteadyTime> group_start;
  std::size_t group_bucket = 0;
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

/**
 * @return The expected price of the cold starts that unloading the replica now
 *   would bring about within `horizon`.
 * @param idle Time since the model's last request.
 */
double ReloadCost(const ArrivalHistory& history, const CostWeights& weights,
                  std::chrono::milliseconds load_time,
                  std::chrono::milliseconds idle,
                  std::chrono::milliseconds horizon);

/** A loaded replica, as the endpoint that holds it sees it. */
struct HeldReplica {
  int running = 0;
  std::chrono::milliseconds idle{0};
  std::chrono::milliseconds keep_alive{0};
};

/**
 * @return Indexes of the replicas to unload at one accelerator now. A replica
 *   costs no idle accelerator time while another one there is in use or kept,
 *   so all are kept until the last keep-alive has run out, and leave together.
 */
std::vector<std::size_t> ReplicasToUnload(std::span<const HeldReplica> held);

/** @return The weights for one of `replicas` that share an accelerator. */
CostWeights SharedWeights(const CostWeights& weights, std::size_t replicas);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_
