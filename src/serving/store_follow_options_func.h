/** @file store_follow_options_func.h Timing of how entries follow the store. */
#ifndef SAPPHIRE_SERVING_STORE_FOLLOW_OPTIONS_FUNC_H_
#define SAPPHIRE_SERVING_STORE_FOLLOW_OPTIONS_FUNC_H_

#include <chrono>

#include "routing/store_follower_base.h"

namespace sapphire::serving {

/**
 * How old an entry's view of the store may be. All waits of a follower are
 * derived from this bound, so that their sum stays below it.
 */
struct Freshness {
  /** Time after a disturbance within which the view is up to date again. */
  std::chrono::milliseconds bound{3000};
  /** Longest silence of one call to the store, in addition to the wait of a
   * watch. */
  std::chrono::milliseconds call_limit{1000};
};

/** Interval at which an entry drops expired state. */
inline constexpr std::chrono::milliseconds kHousekeepingInterval{250};

/** @return Options with which an entry follows the configuration, the engines,
 * the other entries and requests that crash engines. */
[[nodiscard]] routing::FollowOptions StoreFollowOptions(
    const Freshness& freshness);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_STORE_FOLLOW_OPTIONS_FUNC_H_
