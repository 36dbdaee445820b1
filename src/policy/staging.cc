/** @file staging.cc Chooses checkpoints to copy to local storage in advance. */
#include <algorithm>
#include <set>
#include <tuple>

#include "policy/staging_func.h"

namespace sapphire::policy {

namespace {

bool Usable(const EndpointView& endpoint) {
  return endpoint.engine_up && !endpoint.leaving &&
         !endpoint.reserved_for_suspect;
}

/** @return Models that a usable endpoint holds or has a local copy of. */
std::set<core::ModelId> LocalModels(std::span<const EndpointView> endpoints) {
  std::set<core::ModelId> local;
  for (const EndpointView& endpoint : endpoints) {
    if (!Usable(endpoint)) continue;
    local.insert(endpoint.memory_tier.begin(), endpoint.memory_tier.end());
    local.insert(endpoint.disk_tier.begin(), endpoint.disk_tier.end());
    for (const ReplicaView& replica : endpoint.replicas) {
      local.insert(replica.model);
    }
  }
  return local;
}

bool IsLoading(const EndpointView& endpoint) {
  return std::ranges::any_of(endpoint.replicas, [](const ReplicaView& it) {
    return it.state == ReplicaState::kLoading;
  });
}

bool IsInUse(const EndpointView& endpoint) {
  return std::ranges::any_of(
      endpoint.replicas, [](const ReplicaView& it) { return it.running > 0; });
}

const EndpointView* EndpointFor(const StagingCandidate& candidate,
                                std::span<const EndpointView> endpoints) {
  const auto rank = [](const EndpointView& it) {
    return std::make_tuple(it.disk_tier.size(), !IsInUse(it), it.id);
  };
  const EndpointView* best = nullptr;
  for (const EndpointView& endpoint : endpoints) {
    const std::int64_t free = endpoint.memory_bytes - endpoint.reserved_bytes;
    const bool fits = free >= candidate.replica_bytes;
    if (!fits || !Usable(endpoint) || IsLoading(endpoint)) continue;
    if (best == nullptr || rank(endpoint) < rank(*best)) best = &endpoint;
  }
  return best;
}

}  // namespace

std::optional<StagingDecision> ChooseStaging(
    std::span<const StagingCandidate> candidates,
    std::span<const EndpointView> endpoints) {
  const auto local = LocalModels(endpoints);
  const StagingCandidate* first = nullptr;
  for (const StagingCandidate& candidate : candidates) {
    if (local.contains(candidate.model)) continue;
    if (first == nullptr || candidate.demand > first->demand) {
      first = &candidate;
    }
  }
  if (first == nullptr) return std::nullopt;
  const EndpointView* endpoint = EndpointFor(*first, endpoints);
  if (endpoint == nullptr) return std::nullopt;
  return StagingDecision{.model = first->model, .endpoint = endpoint->id};
}

}  // namespace sapphire::policy
