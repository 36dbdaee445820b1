/** @file staging_func.h Chooses checkpoints to copy to local storage in
 * advance. */
#ifndef SAPPHIRE_POLICY_STAGING_FUNC_H_
#define SAPPHIRE_POLICY_STAGING_FUNC_H_

#include <optional>
#include <span>

#include "policy/placement_type.h"

namespace sapphire::policy {

/** A model that could be staged. */
struct StagingCandidate {
  core::ModelId model;
  /** Size of the weights and KV cache budget of one replica. */
  std::int64_t replica_bytes = 0;
  /** Expected number of callers of its cold starts; only the order matters. */
  double demand = 0;
};

struct StagingDecision {
  core::ModelId model;
  core::EndpointId endpoint;
};

/**
 * Chooses the next model to stage. The longest cold starts are those that read
 * from the weight store. While no caller needs the store, a model without a
 * copy in any endpoint's memory or disk tier is loaded once, without
 * keep-alive, so that its next load is local. Staging uses only free memory and
 * evicts nothing. The load has to be ordered as prewarming through the store's
 * lanes, and through the ledger like any other load.
 * @return The model with the highest demand and no local copy, and the endpoint
 *   to load it at: the one with the fewest checkpoints on disk, preferring
 *   endpoints in use to idle ones. Nothing if there is no such model or no
 *   endpoint has enough free memory.
 */
std::optional<StagingDecision> ChooseStaging(
    std::span<const StagingCandidate> candidates,
    std::span<const EndpointView> endpoints);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_STAGING_FUNC_H_
