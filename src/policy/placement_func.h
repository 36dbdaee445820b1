/** @file placement_func.h Decides where a request runs, waits or loads its
 * model. */
#ifndef SAPPHIRE_POLICY_PLACEMENT_FUNC_H_
#define SAPPHIRE_POLICY_PLACEMENT_FUNC_H_

#include <span>
#include <string_view>
#include <vector>

#include "policy/placement_type.h"

namespace sapphire::policy {

/**
 * Decides where a request runs, from the current view of all endpoints. Refuses
 * at once a request that can't start and, given its `service_time`, end within
 * its remaining time. Never exceeds the replica limits of the model and the
 * service, nor an endpoint's memory after the evictions in the decision.
 * @param loads Expected load times of this model.
 */
PlacementDecision DecidePlacement(const PlacementRequest& request,
                                  std::span<const EndpointView> endpoints,
                                  const LoadTimes& loads);

/** @return The tier that this endpoint would load `model` from. */
Tier TierAt(const EndpointView& endpoint, const core::ModelId& model);

/** @return "memory", "disk" or "remote". */
std::string_view TierName(Tier tier);

/** @return The expected load time from `tier`. */
Millis LoadTimeFrom(const LoadTimes& loads, Tier tier);

/**
 * @return The expected time to load a model again after it has been unloaded:
 *   its checkpoint usually stays in the machine's memory. Used for
 *   KeepAliveTime and ReloadCost.
 */
Millis ExpectedReloadTime(const LoadTimes& loads);

/**
 * Orders the candidates by rendezvous hashing for `key`, most preferred first.
 * Removing a candidate moves only the keys that had it first.
 */
std::vector<core::VmId> RankByRendezvousHash(
    std::string_view key, std::span<const core::VmId> candidates);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_PLACEMENT_FUNC_H_
