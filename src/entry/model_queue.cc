/** @file model_queue.cc Waiting and running requests of one model. */
#include <algorithm>
#include <cmath>
#include <limits>

#include "entry/model_queue_base.h"

namespace sapphire::entry {

namespace {

/** Most fingerprints remembered as harmless per model. */
constexpr std::size_t kMaxHarmless = 1024;
/** The scheduler ends every wait itself; this only bounds a single timer. */
constexpr std::chrono::minutes kWaitTimeout{10};
constexpr std::chrono::seconds kUsageHalfLife{10};
/** Owners remembered per model before idle ones are forgotten. */
constexpr std::size_t kMaxIdleOwners = 64;

double RecentUsageAt(const OwnerUsage& usage, core::SteadyTime now) {
  const std::chrono::duration<double> age = now - usage.recent_at;
  const std::chrono::duration<double> half_life = kUsageHalfLife;
  return usage.recent_ms * std::exp2(-(age / half_life));
}

}  // namespace

void ChargeOwner(OwnerUsage& usage, core::Millis slot_time,
                 core::SteadyTime now) {
  const auto charged = std::max<std::int64_t>(slot_time.count(), 1);
  usage.recent_ms = RecentUsageAt(usage, now) + static_cast<double>(charged);
  usage.recent_at = now;
}

void ForgetIdleOwners(ModelQueue& queue, core::SteadyTime now) {
  if (queue.owners.size() <= kMaxIdleOwners || !queue.waiters.empty()) return;
  std::erase_if(queue.owners, [now](const auto& item) {
    return item.second.running == 0 && RecentUsageAt(item.second, now) < 1;
  });
}

void Waiter::Finish(WaitResult result) {
  if (finished_) return;
  result_ = std::move(result);
  finished_ = true;
  signal_.Notify();
}

core::Task<> Waiter::Wait() {
  while (true) {
    const std::uint64_t seen = signal_.epoch();
    if (finished_) co_return;
    co_await signal_.Wait(seen, kWaitTimeout);
  }
}

std::shared_ptr<Waiter> NextWaiter(
    const ModelQueue& queue, core::SteadyTime now,
    const std::function<bool(const Waiter&)>& skip) {
  std::vector<policy::QueuedRequest> candidates;
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < queue.waiters.size(); ++i) {
    const Waiter& waiter = *queue.waiters[i];
    if (skip(waiter)) continue;
    candidates.push_back(waiter.queued());
    indexes.push_back(i);
  }
  if (candidates.empty()) return nullptr;
  return queue
      .waiters[indexes[policy::PickNext(candidates, UsageByOwner(queue, now))]];
}

bool RemoveWaiter(ModelQueue& queue, const Waiter* waiter) {
  const auto it = std::find_if(
      queue.waiters.begin(), queue.waiters.end(),
      [waiter](const auto& other) { return other.get() == waiter; });
  if (it == queue.waiters.end()) return false;
  queue.waiters.erase(it);
  return true;
}

int WaitingAhead(const ModelQueue& queue, int priority) {
  const auto ahead = [priority](const auto& waiter) {
    return waiter->queued().priority >= priority;
  };
  return static_cast<int>(
      std::count_if(queue.waiters.begin(), queue.waiters.end(), ahead));
}

core::SteadyTime LatestDeadline(const ModelQueue& queue,
                                core::SteadyTime least) {
  core::SteadyTime latest = least;
  for (const auto& waiter : queue.waiters) {
    latest = std::max(latest, waiter->queued().deadline);
  }
  return latest;
}

std::map<core::OwnerId, policy::OwnerUse> UsageByOwner(const ModelQueue& queue,
                                                       core::SteadyTime now) {
  const std::int64_t each =
      std::max<std::int64_t>(EstimateAt(queue.service_time, now).count(), 1);
  std::map<core::OwnerId, policy::OwnerUse> use;
  for (const auto& [owner, usage] : queue.owners) {
    const double slot_ms =
        RecentUsageAt(usage, now) + static_cast<double>(usage.running * each);
    const double most = std::numeric_limits<int>::max();
    use[owner] = {.running = static_cast<int>(std::min(slot_ms, most)),
                  .share = usage.share};
  }
  return use;
}

policy::QueueUse WaitingByOwner(const ModelQueue& queue, int max_queue) {
  policy::QueueUse use{.max_queue = max_queue, .waiting = {}};
  for (const auto& waiter : queue.waiters) {
    ++use.waiting[waiter->queued().owner];
  }
  return use;
}

std::set<core::EndpointId> AvoidSet(const ModelQueue& queue,
                                    const gen::Place& request,
                                    core::SteadyTime now) {
  std::set<core::EndpointId> avoid;
  for (const std::string& endpoint : request.avoid) avoid.emplace(endpoint);
  for (const auto& [key, until] : queue.avoid_until) {
    const auto& [endpoint, adapter] = key;
    if (until <= now) continue;
    if (adapter.empty() || adapter.value() == request.adapter) {
      avoid.insert(endpoint);
    }
  }
  return avoid;
}

void RecordHarmless(ModelQueue& queue, std::int64_t fingerprint) {
  if (fingerprint == 0) return;
  if (queue.harmless.size() >= kMaxHarmless) queue.harmless.clear();
  queue.harmless.insert(fingerprint);
}

}  // namespace sapphire::entry
