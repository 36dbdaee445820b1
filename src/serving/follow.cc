/** @file follow.cc How entries follow the store. */
#include "serving/follow_func.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/**
 * How long a watch of an entry waits. The failure met: the store falls silent
 * while a watch waits and forgets it; the connection lives on. With waits of
 * 20 s entries sent requests to engines that had left, and refused callers of
 * new ones, for as long. An engine that leaves gets nothing new after 2 s, and
 * the 3 s after a disturbance are left out: this wait, and the second after
 * which the call is given up, fit in. It costs 13 calls a watch and minute.
 */
constexpr milliseconds kWatchWait{3000};
/** Engines change often while models are loaded: a call for each change would
 * cost more than it tells, as endpoints tell of it themselves. */
constexpr milliseconds kEngineGather{500};

}  // namespace

routing::FollowOptions ConfigurationFollowOptions(const std::string& key) {
  routing::FollowOptions options;
  options.prefix = key;
  options.watch_wait = kWatchWait;
  return options;
}

routing::FollowOptions EngineFollowOptions(const std::string& prefix) {
  routing::FollowOptions options = ConfigurationFollowOptions(prefix);
  options.gather = kEngineGather;
  return options;
}

}  // namespace sapphire::serving
