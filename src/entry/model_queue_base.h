/** @file model_queue_base.h Waiting and running requests of one model. */
#ifndef SAPPHIRE_ENTRY_MODEL_QUEUE_BASE_H_
#define SAPPHIRE_ENTRY_MODEL_QUEUE_BASE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "contract/intent_type.h"
#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "entry/estimate_func.h"
#include "entry/fleet_view_base.h"
#include "gen/link_types.h"
#include "policy/admission_func.h"
#include "policy/keep_alive_func.h"

namespace sapphire::entry {

/** A slot granted to a request. */
struct Grant {
  std::int64_t slot_id = 0;
  gen::Placed placed;
};

/** Result of waiting; empty until it has ended. */
using WaitResult = std::variant<std::monostate, Grant, core::Error>;

/** One waiting request. All functions but Wait are called under the lock of its
 * shard. */
class Waiter {
 public:
  /** @param abandoned Returns true once nobody waits any more; may be empty. */
  Waiter(gen::Place request, policy::QueuedRequest queued,
         std::function<bool()> abandoned)
      : request_(std::move(request)),
        queued_(std::move(queued)),
        abandoned_(std::move(abandoned)) {}

  /** Ends the wait; later calls have no effect. */
  void Finish(WaitResult result);

  /** Suspends until Finish. @pre The calling coroutine runs on a strand. */
  core::Task<> Wait();

  [[nodiscard]] const WaitResult& result() const { return result_; }
  [[nodiscard]] const gen::Place& request() const { return request_; }
  [[nodiscard]] const policy::QueuedRequest& queued() const { return queued_; }
  [[nodiscard]] bool IsAbandoned() const { return abandoned_ && abandoned_(); }

  /** The tier of the first load that this request had to wait for. */
  std::optional<policy::Tier> cold_tier;

  /** For suspects: the endpoint reserved for it while it waits. */
  std::optional<core::EndpointId> reserved;

 private:
  const gen::Place request_;
  const policy::QueuedRequest queued_;
  const std::function<bool()> abandoned_;
  core::Signal signal_;
  std::atomic<bool> finished_{false};
  WaitResult result_;
};

/** A placed request that is not done. */
struct RunningRequest {
  Slot slot;
  core::OwnerId owner;
  std::int64_t fingerprint = 0;
  core::SteadyTime placed_at;
};

/** Usage of a model by one owner. */
struct OwnerUsage {
  int running = 0;
  double share = 1.0;
  /** Slot time of requests that ended, halved every few seconds. It preserves
   * the shares at moments when nothing runs. */
  double recent_ms = 0;
  core::SteadyTime recent_at;
};

/** Adds the slot time of a request that ended. */
void ChargeOwner(OwnerUsage& usage, core::Millis slot_time,
                 core::SteadyTime now);

/** An endpoint and what is loaded there: the model, or one of its adapters. */
using LoadKey = std::pair<core::EndpointId, core::AdapterId>;

/** Scheduling state of one model; guarded by the lock of its shard. */
struct ModelQueue {
  std::vector<std::shared_ptr<Waiter>> waiters;
  std::map<std::int64_t, RunningRequest> running;
  std::map<core::OwnerId, OwnerUsage> owners;
  std::set<LoadKey> loads;
  /** The tier from which the newest load in progress reads. */
  policy::Tier load_tier = policy::Tier::kRemote;
  /** Until when a failed load is not retried at that endpoint. */
  std::map<LoadKey, core::SteadyTime> avoid_until;
  std::optional<core::Error> last_load_error;
  core::SteadyTime last_load_error_at;
  int failed_loads_in_row = 0;
  policy::RetryBudget retries;
  policy::ArrivalHistory arrivals;
  LoadEstimates load_times;
  Estimate service_time;
  /** Fingerprints of requests that have completed. */
  std::set<std::int64_t> harmless;
};

/** Requests with the same placement constraints (adapter, suspect, endpoints to
 * avoid): if one has to wait, all have to. */
using WaitClass = std::tuple<core::AdapterId, bool, std::vector<std::string>>;

/** @return The next waiter to decide on among those that `skip` does not
 * exclude; null if there is none. */
std::shared_ptr<Waiter> NextWaiter(
    const ModelQueue& queue, core::SteadyTime now,
    const std::function<bool(const Waiter&)>& skip);

/** Forgets owners without usage, so that the map does not grow without bound.
 */
void ForgetIdleOwners(ModelQueue& queue, core::SteadyTime now);

/** Removes a waiter from the queue. @return False if it was not queued. */
bool RemoveWaiter(ModelQueue& queue, const Waiter* waiter);

/** @return The number of waiters with `priority` or a higher one. */
int WaitingAhead(const ModelQueue& queue, int priority);

/** @return The latest deadline in the queue, but not before `least`. */
core::SteadyTime LatestDeadline(const ModelQueue& queue,
                                core::SteadyTime least);

/** @return Each owner's slot time in ms, of recent and of running requests. */
std::map<core::OwnerId, policy::OwnerUse> UsageByOwner(const ModelQueue& queue,
                                                       core::SteadyTime now);

/** @return The number of waiting requests per owner. */
policy::QueueUse WaitingByOwner(const ModelQueue& queue, int max_queue);

/** @return The endpoints at which `request` must not be placed. */
std::set<core::EndpointId> AvoidSet(const ModelQueue& queue,
                                    const gen::Place& request,
                                    core::SteadyTime now);

/** Records that a request with this fingerprint has completed. */
void RecordHarmless(ModelQueue& queue, std::int64_t fingerprint);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_MODEL_QUEUE_BASE_H_
