/** @file staging_func.h Brings checkpoints near before anyone waits for them.
 */
#ifndef SAPPHIRE_POLICY_STAGING_FUNC_H_
#define SAPPHIRE_POLICY_STAGING_FUNC_H_

#include <optional>
#include <span>

#include "policy/placement_type.h"

namespace sapphire::policy {

/** A model that might be staged. */
struct StagingCandidate {
  core::ModelId model;
  /** Weights and KV budget of one replica. */
  std::int64_t replica_bytes = 0;
  /** Expected callers of its cold starts; only the order counts. */
  double demand = 0;
};

struct StagingDecision {
  core::ModelId model;
  core::EndpointId endpoint;
};

/**
 * The longest cold starts are those that read from the weight store. While the
 * store is not wanted by a caller, a model without any copy in an endpoint's
 * memory or disk tier is loaded once, with no keep-alive, so that its next
 * load is a local one. Takes free memory only and evicts nothing; to be ordered
 * through the store's lanes as prewarming and through the ledger like any load.
 * @return The model in most demand that lacks a local copy, and where to load
 *   it: the endpoint with fewest checkpoints on disk, one in use before an idle
 *   one. Nothing if there is none, or no endpoint has the room.
 */
std::optional<StagingDecision> ChooseStaging(
    std::span<const StagingCandidate> candidates,
    std::span<const EndpointView> endpoints);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_STAGING_FUNC_H_
