/** @file placement.cc Where a request runs, waits or loads its model. */
#include <algorithm>
#include <limits>
#include <tuple>

#include "core/random_func.h"
#include "policy/placement_func.h"

namespace sapphire::policy {

namespace {

/** Longest wait that is worked out. */
constexpr Millis kHorizon = std::chrono::hours(1);
/** Hint to callers when only an unload elsewhere can help. */
constexpr Millis kNoCapacityRetry{2000};

bool Usable(const EndpointView& endpoint, const PlacementRequest& request) {
  return endpoint.engine_up && !endpoint.leaving &&
         !request.avoid.contains(endpoint.id);
}

bool Serves(const ReplicaView& replica, const PlacementRequest& request) {
  return replica.model == request.model &&
         (replica.state == ReplicaState::kReady ||
          replica.state == ReplicaState::kLoading);
}

bool HasAdapter(const ReplicaView& replica, const PlacementRequest& request) {
  return request.adapter.empty() || replica.adapters.contains(request.adapter);
}

std::int64_t FreeBytes(const EndpointView& endpoint) {
  return endpoint.memory_bytes - endpoint.reserved_bytes;
}

bool CanRunNow(const EndpointView& endpoint, const ReplicaView& replica,
               const PlacementRequest& request) {
  if (replica.model != request.model) return false;
  if (replica.state != ReplicaState::kReady) return false;
  if (replica.running >= request.max_concurrent) return false;
  return HasAdapter(replica, request) ||
         FreeBytes(endpoint) >= request.adapter_bytes;
}

/** The best replica to run on now, if there is one. */
struct RunChoice {
  const EndpointView* endpoint = nullptr;
  /** No adapter, no cached prefix, other zone, requests running. */
  std::tuple<bool, bool, bool, int> rank;
};

RunChoice ChooseRun(const PlacementRequest& request,
                    std::span<const EndpointView> endpoints) {
  RunChoice best;
  for (const EndpointView& endpoint : endpoints) {
    if (!Usable(endpoint, request)) continue;
    for (const ReplicaView& replica : endpoint.replicas) {
      if (!CanRunNow(endpoint, replica, request)) continue;
      const auto rank =
          std::make_tuple(!HasAdapter(replica, request),
                          !replica.prefixes.contains(request.prefix_hash),
                          endpoint.zone != request.zone, replica.running);
      if (best.endpoint != nullptr && rank >= best.rank) continue;
      best = {&endpoint, rank};
    }
  }
  return best;
}

/** How many queued requests one replica has started `wait` from now. */
std::int64_t StartsBy(const ReplicaView& replica,
                      const PlacementRequest& request, Millis wait) {
  const std::int64_t service =
      std::max<std::int64_t>(1, request.service_time.count());
  const std::int64_t slots = request.max_concurrent;
  if (replica.state == ReplicaState::kReady) {
    return slots * wait.count() / service;
  }
  const Millis after = wait - replica.ready_in;
  return after < Millis(0) ? 0 : slots * (1 + after.count() / service);
}

/** @return The wait until the last of the queue starts; kHorizon if never. */
Millis QueueWait(const PlacementRequest& request,
                 std::span<const ReplicaView* const> replicas) {
  Millis low{0};
  Millis high = kHorizon;
  while (low < high) {
    const Millis middle = (low + high) / 2;
    std::int64_t starts = 0;
    for (const ReplicaView* replica : replicas) {
      starts += StartsBy(*replica, request, middle);
    }
    if (starts > request.waiting_ahead) {
      high = middle;
    } else {
      low = middle + Millis(1);
    }
  }
  return low;
}

/** Idle models to unload so that `needed` bytes are free; longest idle first.
 */
std::optional<std::vector<core::ModelId>> ChooseEvictions(
    const EndpointView& endpoint, std::int64_t needed) {
  std::vector<const ReplicaView*> idle;
  for (const ReplicaView& replica : endpoint.replicas) {
    if (replica.state == ReplicaState::kReady && replica.running == 0) {
      idle.push_back(&replica);
    }
  }
  std::ranges::sort(idle, std::ranges::greater{}, &ReplicaView::idle);
  std::int64_t free = FreeBytes(endpoint);
  std::vector<core::ModelId> evict;
  for (const ReplicaView* replica : idle) {
    if (free >= needed) break;
    free += replica->bytes;
    evict.push_back(replica->model);
  }
  if (free < needed) return std::nullopt;
  return evict;
}

struct LoadChoice {
  const EndpointView* endpoint = nullptr;
  std::vector<core::ModelId> evict;
  Millis wait = kHorizon;
};

LoadChoice ChooseLoad(const PlacementRequest& request,
                      std::span<const EndpointView> endpoints,
                      const LoadTimes& loads) {
  LoadChoice best;
  const std::int64_t needed = request.replica_bytes + request.adapter_bytes;
  for (const EndpointView& endpoint : endpoints) {
    if (!Usable(endpoint, request)) continue;
    const bool holds = std::ranges::any_of(
        endpoint.replicas,
        [&](const ReplicaView& it) { return it.model == request.model; });
    if (holds) continue;
    auto evict = ChooseEvictions(endpoint, needed);
    if (!evict.has_value()) continue;
    const Millis wait = LoadTimeFrom(loads, TierAt(endpoint, request.model));
    const auto rank = std::make_tuple(wait, evict->size());
    if (best.endpoint != nullptr &&
        rank >= std::make_tuple(best.wait, best.evict.size())) {
      continue;
    }
    best = {&endpoint, std::move(*evict), wait};
  }
  return best;
}

PlacementDecision Refuse(core::ErrorCode code, Millis retry_after) {
  PlacementDecision decision;
  decision.action = PlacementAction::kRefuse;
  decision.refusal = code;
  decision.retry_after = retry_after;
  return decision;
}

}  // namespace

PlacementDecision DecidePlacement(const PlacementRequest& request,
                                  std::span<const EndpointView> endpoints,
                                  const LoadTimes& loads) {
  const RunChoice run = ChooseRun(request, endpoints);
  if (run.endpoint != nullptr) {
    return {.action = PlacementAction::kRun, .endpoint = run.endpoint->id};
  }
  int held = 0;
  bool any_usable = false;
  std::vector<const ReplicaView*> serving;
  for (const EndpointView& endpoint : endpoints) {
    any_usable = any_usable || Usable(endpoint, request);
    for (const ReplicaView& replica : endpoint.replicas) {
      if (replica.model == request.model) ++held;
      if (Usable(endpoint, request) && Serves(replica, request)) {
        serving.push_back(&replica);
      }
    }
  }
  if (!any_usable)
    return Refuse(core::ErrorCode::kNoEndpoint, kNoCapacityRetry);
  const bool may_load = held < request.max_replicas &&
                        request.service_replicas < request.service_max_replicas;
  const Millis wait = QueueWait(request, serving);
  const LoadChoice load =
      may_load ? ChooseLoad(request, endpoints, loads) : LoadChoice{};
  const Millis best = std::min(wait, load.wait);
  if (best >= kHorizon) {
    return Refuse(may_load ? core::ErrorCode::kNoCapacity
                           : core::ErrorCode::kReplicaLimit,
                  kNoCapacityRetry);
  }
  if (best > request.remaining) {
    return Refuse(core::ErrorCode::kDeadlineTooShort, best);
  }
  if (load.wait < wait) {
    return {.action = PlacementAction::kLoad,
            .endpoint = load.endpoint->id,
            .evict = load.evict,
            .expected_wait = load.wait};
  }
  return {.action = PlacementAction::kWait, .expected_wait = wait};
}

Tier TierAt(const EndpointView& endpoint, const core::ModelId& model) {
  if (endpoint.memory_tier.contains(model)) return Tier::kMemory;
  if (endpoint.disk_tier.contains(model)) return Tier::kDisk;
  return Tier::kRemote;
}

Millis LoadTimeFrom(const LoadTimes& loads, Tier tier) {
  switch (tier) {
    case Tier::kMemory:
      return loads.memory;
    case Tier::kDisk:
      return loads.disk;
    case Tier::kRemote:
      break;
  }
  return loads.remote;
}

std::vector<core::VmId> RankHomes(std::string_view key,
                                  std::span<const core::VmId> candidates) {
  std::vector<std::pair<std::uint64_t, core::VmId>> scored;
  scored.reserve(candidates.size());
  const std::uint64_t seed = core::HashOf(key);
  for (const core::VmId& vm : candidates) {
    scored.emplace_back(core::HashOf(vm.value(), seed), vm);
  }
  std::ranges::sort(scored, std::ranges::greater{});
  std::vector<core::VmId> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, vm] : scored) ranked.push_back(std::move(vm));
  return ranked;
}

}  // namespace sapphire::policy
