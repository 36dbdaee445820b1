/** @file store_lane_func.h Who may load from the weight store now. */
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

/** The weight store's allowance, fleet-wide. */
struct StoreLimits {
  double loads_per_second = 3.0;
  /** Loads that the store serves at full speed at once. */
  int loads_at_once = 4;
};

/** What the fleet takes of the allowance. */
struct StoreUse {
  /** Loads in progress: lanes held. */
  int loading = 0;
  /** When the latest loads started; older than a second may be left out. */
  std::vector<core::SteadyTime> starts;
};

/**
 * Every bidder works this out from the same bids and comes to the same answer,
 * so no leader is needed; two views that differ make a load slow, not unsafe.
 * @return Indexes of the bids that may load now, earliest deadline first.
 *   Prewarming gets a lane only while no caller waits, and never the last one:
 *   a load can't be taken back when a caller comes.
 */
std::vector<std::size_t> GrantLanes(std::span<const LoadBid> bids,
                                    const StoreLimits& limits,
                                    const StoreUse& use, core::SteadyTime now);

/**
 * The rule while the key-value service is down and no bid can be seen: each
 * endpoint starts loads at its fixed share of the rate.
 * @param endpoints Endpoints that may load, from the VM list.
 * @param last_start The last load from the store at this endpoint.
 * @return How long this endpoint has to wait before its next load.
 */
std::chrono::milliseconds WaitForFixedShare(
    const StoreLimits& limits, std::size_t endpoints,
    std::optional<core::SteadyTime> last_start, core::SteadyTime now);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_STORE_LANE_FUNC_H_
