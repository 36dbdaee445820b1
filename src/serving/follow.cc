/** @file follow.cc How entries follow the store. */
#include <algorithm>

#include "serving/follow_func.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** In a large fleet something changes all the time: a call for each change
 * would cost more than it tells. */
constexpr milliseconds kLeastGather{300};
constexpr milliseconds kMostGather{1500};
/** Of the bound, half is for what may go wrong (a silent store, its next try,
 * entries that lapsed), and some more. */
constexpr int kGatherShare = 2;
constexpr milliseconds kLessGather{1000};
/** For the listing that follows a failed call, and for timers that fire late.
 */
constexpr milliseconds kRest{100};
/** Where the bound leaves less for a watch, it can't be kept: a watch that
 * hardly waits would ask the store several times a second. */
constexpr milliseconds kLeastWatch{300};
/** Longer waits save next to nothing: 20 calls a watch and minute are left. */
constexpr milliseconds kMostWatch{3000};

/**
 * How long a watch waits. If the store forgets the watch, or its connection
 * dies without a reset, a change is seen after the gathering pause, this wait,
 * the call's timeout, the retry pause and a listing: together below the bound.
 */
milliseconds WatchWait(const Freshness& freshness, milliseconds batch_pause,
                       milliseconds retry_pause) {
  const milliseconds left = freshness.bound - batch_pause -
                            freshness.call_limit - retry_pause - kRest;
  return std::clamp(left, kLeastWatch, kMostWatch);
}

}  // namespace

routing::FollowOptions StoreFollowOptions(const Freshness& freshness) {
  routing::FollowOptions options;
  options.batch_pause = std::clamp(freshness.bound / kGatherShare - kLessGather,
                                   kLeastGather, kMostGather);
  options.watch_wait =
      WatchWait(freshness, options.batch_pause, options.retry_pause);
  // What is held is dropped at the next look, and a request chosen just before
  // is on its way for some milliseconds.
  options.lapse_grace =
      std::max(freshness.bound - kHousekeeping - kRest, milliseconds(0));
  options.late_after = freshness.bound;
  return options;
}

}  // namespace sapphire::serving
