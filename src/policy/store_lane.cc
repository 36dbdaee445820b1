/** @file store_lane.cc Decides which loads may read from the weight store
 * now. */
#include <algorithm>

#include "policy/store_lane_func.h"

namespace sapphire::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/** @return How many loads may start now within the rate limit. */
int RemainingStarts(const StoreLimits& limits, const StoreUse& use,
                    core::SteadyTime now) {
  // Below one load a second, one load is allowed per window of more than a
  // second.
  const double rate = limits.loads_per_second;
  if (rate <= 0) return 0;
  const int allowed = std::max(1, static_cast<int>(rate));
  const Seconds window(allowed / rate);
  const auto recent = std::ranges::count_if(
      use.starts, [&](core::SteadyTime start) { return now - start < window; });
  return allowed - static_cast<int>(recent);
}

}  // namespace

std::vector<std::size_t> GrantLanes(std::span<const LoadBid> bids,
                                    const StoreLimits& limits,
                                    const StoreUse& use, core::SteadyTime now) {
  const int lanes = limits.loads_at_once - use.loading;
  int left = std::min(lanes, RemainingStarts(limits, use, now));
  int prewarm_left = std::min(left, lanes - 1);
  std::vector<std::size_t> granted;
  for (const std::size_t index : OrderBids(bids)) {
    const bool caller_waits = bids[index].caller_waits;
    if (caller_waits ? left <= 0 : prewarm_left <= 0) break;
    granted.push_back(index);
    --left;
    --prewarm_left;
  }
  return granted;
}

std::chrono::milliseconds FixedShareDelay(
    const StoreLimits& limits, std::size_t endpoints,
    std::optional<core::SteadyTime> last_start, core::SteadyTime now) {
  if (!last_start.has_value() || limits.loads_per_second <= 0) {
    return std::chrono::milliseconds(0);
  }
  const Seconds interval(static_cast<double>(endpoints) /
                         limits.loads_per_second);
  const Seconds left = interval - (now - *last_start);
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(left);
  return std::max(wait, std::chrono::milliseconds(0));
}

}  // namespace sapphire::policy
