/** @file eviction.cc Chooses the idle replicas to unload for a load. */
#include <algorithm>
#include <limits>
#include <span>

#include "policy/eviction_func.h"

namespace sapphire::policy {

namespace {

/** Up to this many idle replicas, all subsets are tried: at most 1,024. */
constexpr std::size_t kMaxExhaustiveReplicas = 10;

using Candidates = std::vector<const ReplicaView*>;

Candidates IdleReplicas(const EndpointView& endpoint,
                        const EvictionNeed& need) {
  Candidates idle;
  for (const ReplicaView& replica : endpoint.replicas) {
    const bool unloadable = replica.state == ReplicaState::kReady &&
                            replica.running == 0 && replica.model != need.keep;
    if (unloadable) idle.push_back(&replica);
  }
  return idle;
}

bool FreesServiceReplica(const ReplicaView& replica, const EvictionNeed& need) {
  return need.service.empty() || replica.service == need.service;
}

/** @return True if unloading the chosen replicas meets the need. */
bool MeetsNeed(std::span<const ReplicaView* const> chosen, std::int64_t missing,
               const EvictionNeed& need) {
  std::int64_t freed = 0;
  bool place = need.service.empty();
  for (const ReplicaView* replica : chosen) {
    freed += replica->bytes;
    place = place || FreesServiceReplica(*replica, need);
  }
  return freed >= missing && place;
}

Evictions EvictionsOf(std::span<const ReplicaView* const> chosen) {
  Evictions result;
  for (const ReplicaView* replica : chosen) {
    result.models.push_back(replica->model);
    result.cost += EvictionCost(*replica);
  }
  return result;
}

Candidates SubsetOf(const Candidates& idle, std::size_t mask) {
  Candidates subset;
  for (std::size_t i = 0; i < idle.size(); ++i) {
    if ((mask >> i & 1) != 0) subset.push_back(idle[i]);
  }
  return subset;
}

Candidates CheapestSubset(const Candidates& idle, std::int64_t missing,
                          const EvictionNeed& need) {
  Candidates best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (std::size_t mask = 1; mask < (std::size_t{1} << idle.size()); ++mask) {
    const Candidates subset = SubsetOf(idle, mask);
    const double cost = EvictionsOf(subset).cost;
    if (cost >= best_cost || !MeetsNeed(subset, missing, need)) continue;
    best = subset;
    best_cost = cost;
  }
  return best;
}

/** Adds replicas in order of cost per byte until the need is met, then removes
 * those that are no longer needed. */
Candidates GreedySubset(Candidates idle, std::int64_t missing,
                        const EvictionNeed& need) {
  const auto per_byte = [&](const ReplicaView* replica) {
    const double bytes =
        std::max<double>(1, static_cast<double>(replica->bytes));
    return EvictionCost(*replica) / bytes;
  };
  std::ranges::sort(idle, std::ranges::less{}, per_byte);
  Candidates chosen;
  for (const ReplicaView* replica : idle) {
    chosen.push_back(replica);
    if (MeetsNeed(chosen, missing, need)) break;
  }
  for (std::size_t i = chosen.size(); i-- > 0;) {
    Candidates fewer = chosen;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
    if (MeetsNeed(fewer, missing, need)) chosen = std::move(fewer);
  }
  return chosen;
}

}  // namespace

double EvictionCost(const ReplicaView& replica) {
  if (replica.reload_cost > 0) return replica.reload_cost;
  const std::chrono::duration<double> idle = replica.idle;
  return 1.0 / (1.0 + idle.count());
}

std::optional<Evictions> ChooseEvictions(const EndpointView& endpoint,
                                         const EvictionNeed& need) {
  const std::int64_t free = endpoint.memory_bytes - endpoint.reserved_bytes;
  const std::int64_t missing = need.free_bytes - free;
  if (missing <= 0 && need.service.empty()) return Evictions{};
  const Candidates idle = IdleReplicas(endpoint, need);
  if (!MeetsNeed(idle, missing, need)) return std::nullopt;
  return EvictionsOf(idle.size() <= kMaxExhaustiveReplicas
                         ? CheapestSubset(idle, missing, need)
                         : GreedySubset(idle, missing, need));
}

}  // namespace sapphire::policy
