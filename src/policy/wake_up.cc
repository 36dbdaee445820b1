/** @file wake_up.cc Chooses the engine to load a model that no engine holds. */
#include <algorithm>

#include "policy/placement_func.h"
#include "policy/wake_up_func.h"

namespace sapphire::policy {

namespace {

using std::chrono::milliseconds;

/** How long an evicted model would have stayed in use. With memory for 36
 * replicas of 65 models and one wake-up a second, each replica is replaced
 * about this often. */
constexpr double kResidencySeconds = 15;
/** Cost factor for evicting a model that other engines hold too: it costs less
 * than evicting the last replica. */
constexpr double kSpareReplicaFactor = 0.1;
/** Penalty for each running request, as a tie-breaker: a busy engine is slower
 * for all callers. */
constexpr milliseconds kPerRunningPenalty{2};
constexpr milliseconds kZoneCost{20};
/** Fraction of the additional time of a load from the weight store that counts
 * as cost. An engine executes one order at a time, and such a load blocks it
 * four times as long as one from disk; in half of that time, another model
 * would be woken there. */
constexpr double kBlockedOrderShare = 0.5;

/** Fraction of requests whose adapter is not loaded on their engine: half of
 * the short drafts name one of 40 to 240 adapters, and an engine holds 8. */
constexpr double kMissingAdapterShare = 0.1;

/**
 * @return The cost of a load for callers of adapters on that engine, in
 *   milliseconds of waiting time. An engine that loads a rare model from the
 *   weight store for 20 s refuses all requests for adapters that are not
 *   loaded: 135 requests in one case where the engine also held a busy model.
 */
double BlockedAdaptersCost(const WakeUpCandidate& candidate,
                           const LoadTimes& loads) {
  double demand_here = 0;
  for (const ResidentModel& it : candidate.residents) {
    if (it.has_adapters) demand_here += it.demand / (1.0 + it.other_replicas);
  }
  const std::chrono::duration<double> blocked =
      LoadTimeFrom(loads, candidate.tier);
  return demand_here * blocked.count() * kMissingAdapterShare *
         static_cast<double>(loads.disk.count());
}

/** @return The cost of evicting a model for its callers, in milliseconds of
 * waiting time. */
double EvictionCost(const ResidentModel& resident, const LoadTimes& loads) {
  const double last = resident.other_replicas > 0 ? kSpareReplicaFactor : 1.0;
  return last * resident.demand * kResidencySeconds *
         static_cast<double>(loads.disk.count());
}

struct EvictionPlan {
  std::vector<core::ModelId> evict;
  double cost = 0;
};

/** @return The cheapest models to evict so that `bytes` fit, or nothing. */
std::optional<EvictionPlan> PlanEvictions(std::int64_t bytes,
                                          const LoadTimes& loads,
                                          const WakeUpCandidate& candidate) {
  std::int64_t free = candidate.memory_bytes;
  std::vector<const ResidentModel*> idle;
  for (const ResidentModel& resident : candidate.residents) {
    free -= resident.bytes;
    const bool is_kept = resident.running > 0 || resident.recently_used;
    if (!is_kept) idle.push_back(&resident);
  }
  std::ranges::stable_sort(idle, {}, [&loads](const ResidentModel* it) {
    return EvictionCost(*it, loads);
  });
  EvictionPlan evictions;
  for (const ResidentModel* it : idle) {
    if (free >= bytes) break;
    free += it->bytes;
    evictions.evict.push_back(it->model);
    evictions.cost += EvictionCost(*it, loads);
  }
  if (free < bytes) return std::nullopt;
  return evictions;
}

}  // namespace

std::optional<WakeUpPlan> ChooseWakeUp(
    std::int64_t bytes, const LoadTimes& loads,
    std::span<const WakeUpCandidate> candidates) {
  std::optional<WakeUpPlan> best;
  double best_cost = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WakeUpCandidate& candidate = candidates[i];
    auto evictions = PlanEvictions(bytes, loads, candidate);
    if (!evictions) continue;
    const milliseconds ready_in =
        candidate.order_left + LoadTimeFrom(loads, candidate.tier);
    double cost = static_cast<double>(ready_in.count()) + evictions->cost;
    cost +=
        static_cast<double>((candidate.running * kPerRunningPenalty).count());
    if (candidate.tier == Tier::kRemote) {
      // With this cost also added for loads from disk, models were woken on
      // other engines than those with free memory, and on quiet days the
      // fraction of requests served fell by 0.03 to 0.05.
      cost += BlockedAdaptersCost(candidate, loads);
      cost += kBlockedOrderShare *
              static_cast<double>((loads.remote - loads.disk).count());
    }
    if (!candidate.same_zone) cost += static_cast<double>(kZoneCost.count());
    if (best && cost >= best_cost) continue;
    const milliseconds eviction_cost(
        static_cast<milliseconds::rep>(evictions->cost));
    best = WakeUpPlan{i, std::move(evictions->evict), ready_in, eviction_cost};
    best_cost = cost;
  }
  return best;
}

}  // namespace sapphire::policy
