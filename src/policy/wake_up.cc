/** @file wake_up.cc Which engine wakes a model that none holds. */
#include <algorithm>

#include "policy/placement_func.h"
#include "policy/wake_up_func.h"

namespace sapphire::policy {

namespace {

using std::chrono::milliseconds;

/** How long a dropped model would have stayed useful. Origin: with 36 places
 * for 65 models and a wake-up a second, a place changes hands about this often.
 */
constexpr double kHorizonSeconds = 15;
/** A replica among several is missed less than the last one. */
constexpr double kSpareReplica = 0.1;
/** A busy engine is slower for everybody: a tie breaker. */
constexpr milliseconds kPerRunning{2};
constexpr milliseconds kOtherZone{20};
/** A load from the weight store holds an engine's one order at a time for four
 * times as long as one from disk; half of that time somebody else would wake a
 * model there. */
constexpr double kDeskShare = 0.5;

/** Requests that need an adapter which their engine does not hold yet. Origin:
 * half of the short drafts name one of 40 to 240 adapters, and an engine has
 * places for 8. */
constexpr double kMissingAdapter = 0.1;

/**
 * @return What a load costs the callers of adapters there, in milliseconds of
 *   wait. The failure met: a rare model is fetched from the weight store for
 *   20 s by an engine that holds a busy one; meanwhile each adapter that is
 *   missing there is refused, 135 requests in one case.
 */
double BlockedAdaptersCost(const WakeUpCandidate& candidate,
                           const LoadTimes& loads) {
  double demand_here = 0;
  for (const ResidentModel& it : candidate.residents) {
    if (it.has_adapters) demand_here += it.demand / (1.0 + it.other_replicas);
  }
  const std::chrono::duration<double> blocked =
      LoadTimeFrom(loads, candidate.tier);
  return demand_here * blocked.count() * kMissingAdapter *
         static_cast<double>(loads.disk.count());
}

/** @return What dropping a model costs its callers, in milliseconds of wait. */
double EvictionCost(const ResidentModel& resident, const LoadTimes& loads) {
  const double last = resident.other_replicas > 0 ? kSpareReplica : 1.0;
  return last * resident.demand * kHorizonSeconds *
         static_cast<double>(loads.disk.count());
}

struct Room {
  std::vector<core::ModelId> evict;
  double cost = 0;
};

/** @return What to drop so that `bytes` fit, cheapest first. */
std::optional<Room> MakeRoom(std::int64_t bytes, const LoadTimes& loads,
                             const WakeUpCandidate& candidate) {
  std::int64_t free = candidate.memory_bytes;
  std::vector<const ResidentModel*> idle;
  for (const ResidentModel& resident : candidate.residents) {
    free -= resident.bytes;
    const bool is_kept = resident.running > 0 || resident.just_used;
    if (!is_kept) idle.push_back(&resident);
  }
  std::ranges::stable_sort(idle, {}, [&loads](const ResidentModel* it) {
    return EvictionCost(*it, loads);
  });
  Room room;
  for (const ResidentModel* it : idle) {
    if (free >= bytes) break;
    free += it->bytes;
    room.evict.push_back(it->model);
    room.cost += EvictionCost(*it, loads);
  }
  if (free < bytes) return std::nullopt;
  return room;
}

}  // namespace

std::optional<WakeUpPlan> ChooseWakeUp(
    std::int64_t bytes, const LoadTimes& loads,
    std::span<const WakeUpCandidate> candidates) {
  std::optional<WakeUpPlan> best;
  double best_cost = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WakeUpCandidate& candidate = candidates[i];
    auto room = MakeRoom(bytes, loads, candidate);
    if (!room) continue;
    const milliseconds ready_in =
        candidate.order_left + LoadTimeFrom(loads, candidate.tier);
    double cost = static_cast<double>(ready_in.count()) + room->cost;
    cost += static_cast<double>((candidate.running * kPerRunning).count());
    if (candidate.tier == Tier::kRemote) {
      // Counted for loads from disk too, it moved wake-ups away from engines
      // with room: quiet days served 0.03 to 0.05 less.
      cost += BlockedAdaptersCost(candidate, loads);
      cost +=
          kDeskShare * static_cast<double>((loads.remote - loads.disk).count());
    }
    if (!candidate.same_zone) cost += static_cast<double>(kOtherZone.count());
    if (best && cost >= best_cost) continue;
    const milliseconds eviction_cost(
        static_cast<milliseconds::rep>(room->cost));
    best = WakeUpPlan{i, std::move(room->evict), ready_in, eviction_cost};
    best_cost = cost;
  }
  return best;
}

}  // namespace sapphire::policy
