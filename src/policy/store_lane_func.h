/** @file store_lane_func.h Decides which loads may read from the weight store
 * now. A lane is the right to run one of its concurrent loads. */
#ifndef SAPPHIRE_POLICY_STORE_LANE_FUNC_H_
#define SAPPHIRE_POLICY_STORE_LANE_FUNC_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "core/clock_base.h"
#include "policy/admission_func.h"

namespace sapphire::policy {

/** Limits of the weight store, for the whole fleet. */
struct StoreLimits {
  double loads_per_second = 3.0;
  /** Number of concurrent loads that the store serves at full speed. */
  int loads_at_once = 4;
};

/** Current use of the weight store by the fleet. */
struct StoreUse {
  /** Loads in progress; each holds a lane. */
  int loading = 0;
  /** Start times of the latest loads; those older than a second may be
   * omitted. */
  std::vector<core::SteadyTime> starts;
};

/**
 * Grants lanes. Every bidder computes the grants from the same bids with the
 * same result, so no leader is needed. If the views of two bidders differ,
 * loads become slow, but nothing breaks.
 * @return Indexes of the bids that may load now, earliest deadline first.
 *   Prewarming gets a lane only if no caller waits, and never the last lane,
 *   because a load can't be interrupted when a caller arrives.
 */
std::vector<std::size_t> GrantLanes(std::span<const LoadBid> bids,
                                    const StoreLimits& limits,
                                    const StoreUse& use, core::SteadyTime now);

/**
 * Returns the delay before the next load while the key-value service is down
 * and bids can't be seen: each endpoint then starts loads at a fixed share of
 * the rate.
 * @param endpoints Number of endpoints that may load, from the VM list.
 * @param last_start Start of this endpoint's last load from the store.
 * @return How long this endpoint has to wait before its next load.
 */
std::chrono::milliseconds FixedShareDelay(
    const StoreLimits& limits, std::size_t endpoints,
    std::optional<core::SteadyTime> last_start, core::SteadyTime now);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_STORE_LANE_FUNC_H_
