/** @file simulation_type.h A policy to try, and what it came to. */
#ifndef SAPPHIRE_BENCH_SIMULATION_TYPE_H_
#define SAPPHIRE_BENCH_SIMULATION_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "policy/placement_type.h"

namespace sapphire::bench {

/** When an idle replica is unloaded. */
enum class RestPolicy {
  kPriced,  ///< Ours: priced keep-alive, shared by an accelerator's replicas.
  /** The same price, but each replica leaves when its own time is up. */
  kPricedApart,
  kPricedAlone,  ///< Priced as if each replica had an accelerator of its own.
  kNeverUnload,
  kUnloadAtOnce,
  kFixedTimeout,
  kLeastRecentlyUsed,  ///< Only to make room, the longest idle first.
};

struct PolicyChoice {
  std::string name;
  RestPolicy rest = RestPolicy::kPriced;
  /** Of kFixedTimeout. */
  policy::Millis timeout{0};
  /** Loads models without a local copy while the weight store is idle. */
  bool stages = false;
};

/** Sums over one or more days. */
struct Result {
  /** Callers that found no ready replica and were served. */
  std::vector<policy::Millis> cold_waits;
  /** All callers; a refused one counts with its whole time limit. */
  std::vector<policy::Millis> all_waits;
  std::int64_t refused = 0;
  /** Of them, those refused after a wait in the queue. */
  std::int64_t refused_waiting = 0;
  /** Ended after the caller's time limit. */
  std::int64_t late = 0;
  std::int64_t loads = 0;
  double idle_accelerator_seconds = 0;
  double idle_replica_seconds = 0;
  /** Cold-start waits and the limits of refused requests, in seconds. */
  double caller_seconds = 0;
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_SIMULATION_TYPE_H_
