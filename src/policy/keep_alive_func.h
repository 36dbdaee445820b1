/** @file keep_alive_func.h Decides how long an idle replica stays loaded. */
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
  /** Weighted number of gaps per bucket; bucket i holds gaps of up to 2^i / 16
   * seconds. Weights decay with each new gap. */
  std::array<double, kBuckets> gaps{};
  double total = 0;
  /** Weighted number of callers in the groups that ended a gap, by bucket: a
   * cold start would have made them wait. Weights decay like those of
   * `gaps`. */
  std::array<double, kBuckets> callers{};
  /** Start of the latest group of callers, and bucket of the gap before it. */
  std::optional<core::SteadyTime> group_start;
  std::size_t group_bucket = 0;
};

/** Costs per second of a caller's cold-start wait and of an idle accelerator,
 * as in contract::Weights. */
struct CostWeights {
  double cold_start = 1.0;
  double idle = 1.0;
};

void RecordArrival(ArrivalHistory& history, core::SteadyTime now);

/**
 * Chooses the keep-alive time with the lowest expected cost of cold-start waits
 * and idle accelerator time, from the model's own gaps.
 * @param load_time How long a caller waits if the model has been unloaded.
 */
std::chrono::milliseconds KeepAliveTime(const ArrivalHistory& history,
                                        const CostWeights& weights,
                                        std::chrono::milliseconds load_time);

/**
 * @return The expected cost of the cold starts within `horizon` if the replica
 *   is unloaded now.
 * @param idle Time since the model's last request.
 */
double ReloadCost(const ArrivalHistory& history, const CostWeights& weights,
                  std::chrono::milliseconds load_time,
                  std::chrono::milliseconds idle,
                  std::chrono::milliseconds horizon);

/** A replica loaded at an endpoint, as seen by that endpoint. */
struct LoadedReplica {
  int running = 0;
  std::chrono::milliseconds idle{0};
  std::chrono::milliseconds keep_alive{0};
};

/**
 * @return Indexes of the replicas to unload at one accelerator now. A replica
 *   costs no idle accelerator time while another one on the same accelerator is
 *   in use or within its keep-alive time, so all are kept until the last
 *   keep-alive has expired and are then unloaded together.
 */
std::vector<std::size_t> ReplicasToUnload(std::span<const LoadedReplica> held);

/** @return The weights for one of `replicas` replicas on one accelerator, which
 * share the cost of its idle time. */
CostWeights CostWeightsPerReplica(const CostWeights& weights,
                                  std::size_t replicas);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_KEEP_ALIVE_FUNC_H_
