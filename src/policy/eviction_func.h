/** @file eviction_func.h Chooses the idle replicas to unload for a load. */
#ifndef SAPPHIRE_POLICY_EVICTION_FUNC_H_
#define SAPPHIRE_POLICY_EVICTION_FUNC_H_

#include <optional>
#include <vector>

#include "policy/placement_type.h"

namespace sapphire::policy {

/** What the evictions at one endpoint have to free. */
struct EvictionNeed {
  std::int64_t free_bytes = 0;
  /** If not empty, a replica of this service has to be evicted, because the
   * service is at its replica limit. */
  core::ServiceId service;
  /** Model that is not evicted: the base of the adapter to be loaded. */
  core::ModelId keep;
};

struct Evictions {
  std::vector<core::ModelId> models;
  /** Sum of EvictionCost. */
  double cost = 0;
};

/** @return The expected cost of unloading an idle replica: `reload_cost` if
 * set, otherwise a value that falls with its idle time. */
double EvictionCost(const ReplicaView& replica);

/**
 * Chooses the idle replicas with the lowest total cost. The choice is exact for
 * up to 10 idle replicas and greedy by cost per byte for more.
 * @return Nothing if unloading all idle replicas is not enough.
 */
std::optional<Evictions> ChooseEvictions(const EndpointView& endpoint,
                                         const EvictionNeed& need);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_EVICTION_FUNC_H_
