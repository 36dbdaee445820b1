/** @file follow.cc How entries follow the store. */
#include <algorithm>

#include "serving/follow_func.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** Engines change often while models are loaded: a call for each change would
 * cost more than it tells, as endpoints tell of it themselves. */
constexpr milliseconds kEngineGather{500};
/** For the listing that follows a failed call, and for timers that fire late.
 */
constexpr milliseconds kRest{100};
/** Where the bound leaves less for a watch, it can't be kept: a watch that
 * hardly waits would ask the store several times a second. */
constexpr milliseconds kLeastWatch{300};
/** Longer waits save next to nothing: 20 calls a watch and minute are left. */
constexpr milliseconds kMostWatch{3000};

/**
 * How long a watch waits. The failure met: the store falls silent while a watch
 * waits and forgets it, or its connection dies without a reset. The change is
 * then seen after a pause for gathering, this wait, the limit of the call, the
 * pause before the next try, and its listing. With a bound of 3 s the engines'
 * watch waits 1 s: 40 calls a minute more than with 3 s.
 */
milliseconds WatchWait(const Freshness& freshness, milliseconds gather,
                       milliseconds retry_pause) {
  const milliseconds left =
      freshness.bound - gather - freshness.call_limit - retry_pause - kRest;
  return std::clamp(left, kLeastWatch, kMostWatch);
}

}  // namespace

routing::FollowOptions ConfigurationFollowOptions(const std::string& key,
                                                  const Freshness& freshness) {
  routing::FollowOptions options;
  options.prefix = key;
  options.watch_wait =
      WatchWait(freshness, options.gather, options.retry_pause);
  return options;
}

routing::FollowOptions EngineFollowOptions(const std::string& prefix,
                                           const Freshness& freshness) {
  routing::FollowOptions options;
  options.prefix = prefix;
  options.gather = kEngineGather;
  options.watch_wait =
      WatchWait(freshness, options.gather, options.retry_pause);
  // What is held is dropped at the next look, and a request chosen just before
  // is on its way for some milliseconds.
  options.lapse_wait =
      std::max(freshness.bound - kHousekeeping - kRest, milliseconds(0));
  return options;
}

crash::QuarantineTiming QuarantineFollowTiming(const Freshness& freshness) {
  crash::QuarantineTiming timing;
  timing.retry_pause = routing::FollowOptions().retry_pause;
  timing.watch_wait = WatchWait(freshness, milliseconds(0), timing.retry_pause);
  return timing;
}

}  // namespace sapphire::serving
