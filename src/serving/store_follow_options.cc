/** @file store_follow_options.cc Timing of how entries follow the store. */
#include <algorithm>

#include "serving/store_follow_options_func.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** Bounds of the pause in which changes are gathered: in a large fleet
 * something changes all the time, and a call for each change would cost too
 * much. */
constexpr milliseconds kMinGather{300};
constexpr milliseconds kMaxGather{1500};
/** Half of the bound and kGatherReserve more are reserved for failures: a
 * silent store, its retry and lapsed entries. */
constexpr int kGatherDivisor = 2;
constexpr milliseconds kGatherReserve{1000};
/** Reserve for the listing after a failed call, and for late timers. */
constexpr milliseconds kReserve{100};
/** Minimum wait of a watch. If the bound leaves less, it can't be kept: a
 * shorter wait would call the store several times a second. */
constexpr milliseconds kMinWatchWait{300};
/** Maximum wait of a watch. Longer waits save little: 20 calls per watch and
 * minute remain. */
constexpr milliseconds kMaxWatchWait{3000};

/**
 * @return How long a watch waits. If the store loses the watch, or its
 *   connection dies without a reset, a change is seen after the gathering
 *   pause, this wait, the call's timeout, the retry pause and a listing:
 *   together less than the bound.
 */
milliseconds WatchWait(const Freshness& freshness, milliseconds batch_pause,
                       milliseconds retry_pause) {
  const milliseconds left = freshness.bound - batch_pause -
                            freshness.call_limit - retry_pause - kReserve;
  return std::clamp(left, kMinWatchWait, kMaxWatchWait);
}

}  // namespace

routing::FollowOptions StoreFollowOptions(const Freshness& freshness) {
  routing::FollowOptions options;
  options.batch_pause =
      std::clamp(freshness.bound / kGatherDivisor - kGatherReserve, kMinGather,
                 kMaxGather);
  options.watch_wait =
      WatchWait(freshness, options.batch_pause, options.retry_pause);
  // Held engines are dropped by the next housekeeping, and a request that was
  // routed just before is in transit for a few milliseconds.
  options.lapse_grace = std::max(
      freshness.bound - kHousekeepingInterval - kReserve, milliseconds(0));
  options.late_after = freshness.bound;
  return options;
}

}  // namespace sapphire::serving
