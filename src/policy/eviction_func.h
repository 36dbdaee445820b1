/** @file eviction_func.h Which idle replicas make room for a load. */
#ifndef SAPPHIRE_POLICY_EVICTION_FUNC_H_
#define SAPPHIRE_POLICY_EVICTION_FUNC_H_

#include <optional>
#include <vector>

#include "policy/placement_type.h"

namespace sapphire::policy {

/** What has to be freed at one endpoint. */
struct EvictionNeed {
  std::int64_t free_bytes = 0;
  /** Not empty: the evictions have to free a place of this service. */
  core::ServiceId service;
  /** Never evicted: the base of an adapter that is to be loaded. */
  core::ModelId keep;
};

struct Evictions {
  std::vector<core::ModelId> models;
  /** Sum of EvictionCost. */
  double cost = 0;
};

/** @return What unloading this idle replica is expected to cost. */
double EvictionCost(const ReplicaView& replica);

/**
 * Chooses the idle replicas whose loss costs least. Exact up to 10 idle
 * replicas, by value for bytes above.
 * @return Nothing if unloading all idle replicas is not enough.
 */
std::optional<Evictions> ChooseEvictions(const EndpointView& endpoint,
                                         const EvictionNeed& need);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_EVICTION_FUNC_H_
