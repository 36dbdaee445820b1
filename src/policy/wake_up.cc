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
                           const LoadTimes& loads,
                           std::chrono::duration<double> blocked) {
  double demand_here = 0;
  for (const ResidentModel& it : candidate.residents) {
    if (it.has_adapters) demand_here += it.demand / (1.0 + it.other_replicas);
  }
  return demand_here * blocked.count() * kMissingAdapter *
         static_cast<double>(loads.disk.count());
}

/** @return What dropping a model costs its callers, in milliseconds of wait. */
double EvictionCost(const ResidentModel& resident, const LoadTimes& loads) {
  const double last = resident.other_replicas > 0 ? kSpareReplica : 1.0;
  return last * resident.demand * kHorizonSeconds *
         static_cast<double>(loads.disk.count());
}

/**
 * @return Until the last of the requests in progress has ended: of n that end
 *   at random, after the harmonic number of n times their mean.
 */
milliseconds DrainTime(int running, milliseconds mean_run) {
  double times = 0;
  for (int i = 1; i <= running; ++i) times += 1.0 / i;
  return milliseconds(static_cast<milliseconds::rep>(
      times * static_cast<double>(mean_run.count())));
}

/** A model that could make way. */
struct Victim {
  const ResidentModel* resident = nullptr;
  /** What its callers lose. */
  double cost = 0;
  /** Until it can be dropped. */
  milliseconds wait{0};
};

struct Room {
  std::vector<core::ModelId> evict;
  double cost = 0;
  milliseconds wait{0};
};

/**
 * @return What can be dropped, cheapest first. The failure met: every engine
 *   with a copy of a rare model on its disk had a request in progress for each
 *   model that it held; the load from the weight store that was begun instead
 *   took 13 s and more, and all callers of the model were refused meanwhile.
 */
std::vector<Victim> VictimsOf(const WakeUpCandidate& candidate,
                              const LoadTimes& loads, milliseconds mean_run) {
  std::vector<Victim> victims;
  for (const ResidentModel& it : candidate.residents) {
    const bool wanted = it.running == 0 && it.just_used;
    if (it.changing || wanted) continue;
    victims.push_back(
        {&it, EvictionCost(it, loads), DrainTime(it.running, mean_run)});
  }
  std::ranges::stable_sort(victims, {}, [](const Victim& it) {
    return it.cost + static_cast<double>(it.wait.count());
  });
  return victims;
}

/** @return What to drop so that `bytes` fit. */
std::optional<Room> MakeRoom(std::int64_t bytes, const LoadTimes& loads,
                             milliseconds mean_run,
                             const WakeUpCandidate& candidate) {
  std::int64_t free = candidate.memory_bytes;
  for (const ResidentModel& it : candidate.residents) free -= it.bytes;
  Room room;
  for (const Victim& it : VictimsOf(candidate, loads, mean_run)) {
    if (free >= bytes) break;
    free += it.resident->bytes;
    room.evict.push_back(it.resident->model);
    room.cost += it.cost;
    room.wait = std::max(room.wait, it.wait);
  }
  if (free < bytes) return std::nullopt;
  return room;
}

}  // namespace

std::optional<WakeUpPlan> ChooseWakeUp(
    std::int64_t bytes, const LoadTimes& loads, milliseconds mean_run,
    std::span<const WakeUpCandidate> candidates) {
  std::optional<WakeUpPlan> best;
  double best_cost = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const WakeUpCandidate& candidate = candidates[i];
    auto room = MakeRoom(bytes, loads, mean_run, candidate);
    if (!room) continue;
    const milliseconds ready_in = std::max(candidate.order_left, room->wait) +
                                  LoadTimeFrom(loads, candidate.tier);
    double cost = static_cast<double>(ready_in.count()) + room->cost;
    cost += static_cast<double>((candidate.running * kPerRunning).count());
    milliseconds blocked = room->wait;
    if (candidate.tier == Tier::kRemote) {
      // Counted for loads from disk too, it moved wake-ups away from engines
      // with room: quiet days served 0.03 to 0.05 less.
      blocked += loads.remote;
      cost +=
          kDeskShare * static_cast<double>((loads.remote - loads.disk).count());
    }
    cost += BlockedAdaptersCost(candidate, loads, blocked);
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
