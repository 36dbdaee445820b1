/** @file simulation_type.h Policy and results of a simulation. */
#ifndef SAPPHIRE_BENCH_SIMULATION_TYPE_H_
#define SAPPHIRE_BENCH_SIMULATION_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "policy/placement_type.h"

namespace sapphire::bench {

/** When an idle replica is unloaded. */
enum class UnloadPolicy {
  kPriced,  ///< Ours: priced keep-alive, shared by an accelerator's replicas.
  /** The same price, but each replica is unloaded after its own keep-alive. */
  kPricedApart,
  kPricedAlone,  ///< Priced as if each replica had its own accelerator.
  kNeverUnload,
  kUnloadAtOnce,
  kFixedTimeout,
  kLeastRecentlyUsed,  ///< Only if memory is needed, the longest idle first.
};

struct PolicyChoice {
  std::string name;
  UnloadPolicy unload_policy = UnloadPolicy::kPriced;
  /** Idle time before an unload; for kFixedTimeout. */
  policy::Millis timeout{0};
  /** Whether models without a local copy are loaded while the weight store is
   * idle. */
  bool staging = false;
};

/** Results of a simulation, summed over one or more days. */
struct Result {
  /** Waits of served callers that found no ready replica. */
  std::vector<policy::Millis> cold_waits;
  /** Waits of all callers; a refused one counts with its whole time limit. */
  std::vector<policy::Millis> all_waits;
  std::int64_t refused = 0;
  /** How many of `refused` had waited in the queue. */
  std::int64_t refused_waiting = 0;
  /** Requests that ended after the caller's time limit. */
  std::int64_t late = 0;
  std::int64_t loads = 0;
  double idle_accelerator_seconds = 0;
  double idle_replica_seconds = 0;
  /** Cold-start waits and the limits of refused requests, in seconds. */
  double caller_seconds = 0;
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_SIMULATION_TYPE_H_
