/** @file placement_func.h Where a request runs, waits or loads its model. */
#ifndef SAPPHIRE_POLICY_PLACEMENT_FUNC_H_
#define SAPPHIRE_POLICY_PLACEMENT_FUNC_H_

#include <span>
#include <string_view>
#include <vector>

#include "policy/placement_type.h"

namespace sapphire::policy {

/**
 * Decides for one request against what is known of all endpoints.
 * Refuses at once what can't start and, by `service_time`, end in its remaining
 * time. Never more than the model's and the service's limits of replicas, never
 * more than an endpoint's memory after the evictions it names.
 * @param loads Expected load times of this model.
 */
PlacementDecision DecidePlacement(const PlacementRequest& request,
                                  std::span<const EndpointView> endpoints,
                                  const LoadTimes& loads);

/** @return The tier this endpoint would load `model` from. */
Tier TierAt(const EndpointView& endpoint, const core::ModelId& model);

/** @return "memory", "disk" or "remote". */
std::string_view TierName(Tier tier);

/** @return The expected load time from `tier`. */
Millis LoadTimeFrom(const LoadTimes& loads, Tier tier);

/**
 * @return What loading a model again is expected to take after it has been
 *   unloaded: its checkpoint mostly stays in the machine's memory. For
 *   KeepAliveTime and ReloadCost.
 */
Millis ExpectedReloadTime(const LoadTimes& loads);

/**
 * Rendezvous hashing: the candidates in order of preference for `key`.
 * Removing a candidate moves only the keys that it was first for.
 */
std::vector<core::VmId> RankHomes(std::string_view key,
                                  std::span<const core::VmId> candidates);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_PLACEMENT_FUNC_H_
