/** @file model_queue_base.h The requests of one model: waiting and running. */
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

/** A place given to a request. */
struct Grant {
  std::int64_t slot_id = 0;
  gen::Placed placed;
};

/** How waiting ended; empty while it has not. */
using WaitResult = std::variant<std::monostate, Grant, core::Error>;

/** One waiting request. All but Wait is called under its shard's lock. */
class Waiter {
 public:
  /** @param abandoned Says whether nobody waits any more; may be empty. */
  Waiter(gen::Place request, policy::QueuedRequest queued,
         std::function<bool()> abandoned)
      : request_(std::move(request)),
        queued_(std::move(queued)),
        abandoned_(std::move(abandoned)) {}

  /** Ends the waiting; later calls have no effect. */
  void Finish(WaitResult result);

  /** Suspends until Finish. @pre The calling coroutine runs on a strand. */
  core::Task<> Wait();

  [[nodiscard]] const WaitResult& result() const { return result_; }
  [[nodiscard]] const gen::Place& request() const { return request_; }
  [[nodiscard]] const policy::QueuedRequest& queued() const { return queued_; }
  [[nodiscard]] bool IsAbandoned() const { return abandoned_ && abandoned_(); }

  /** Set once this request has had to wait for a load from this tier. */
  std::optional<policy::Tier> cold_tier;

  /** Suspects: the endpoint kept clear for it while it waits. */
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

/** What one owner uses of a model. */
struct OwnerUsage {
  int running = 0;
  double share = 1.0;
  /** Slot time of requests that ended, halved every few seconds: at moments
   * when nothing runs, shares are kept by it. */
  double recent_ms = 0;
  core::SteadyTime recent_as_of;
};

/** Adds the slot time of a request that ended. */
void ChargeOwner(OwnerUsage& usage, core::Millis slot_time,
                 core::SteadyTime now);

/** One endpoint and what is loaded there: a model, or one adapter of it. */
using LoadKey = std::pair<core::EndpointId, core::AdapterId>;

/** Everything the home knows of one model; guarded by its shard's lock. */
struct ModelQueue {
  std::vector<std::shared_ptr<Waiter>> waiters;
  std::map<std::int64_t, RunningRequest> running;
  std::map<core::OwnerId, OwnerUsage> owners;
  std::set<LoadKey> loads;
  /** The tier that the newest load in progress reads from. */
  policy::Tier load_tier = policy::Tier::kRemote;
  /** Loads that failed a short while ago are not tried again there. */
  std::map<LoadKey, core::SteadyTime> avoid_until;
  std::optional<core::Error> last_load_error;
  core::SteadyTime last_load_error_at;
  int failed_loads_in_row = 0;
  policy::RetryBudget retries;
  policy::ArrivalHistory arrivals;
  LoadEstimates load_times;
  Estimate service_time;
  /** Fingerprints that have run to their end here. */
  std::set<std::int64_t> harmless;
};

/** Requests that the same answers serve: if one has to wait, all have to. */
using WaitClass = std::tuple<core::AdapterId, bool, std::vector<std::string>>;

/** @return The waiter to decide for next of those that `skip` doesn't hold
 * back; null if there is none. */
std::shared_ptr<Waiter> NextWaiter(
    const ModelQueue& queue, core::SteadyTime now,
    const std::function<bool(const Waiter&)>& skip);

/** Forgets owners that use nothing, so that the map can't grow for ever. */
void ForgetIdleOwners(ModelQueue& queue, core::SteadyTime now);

/** Takes a waiter out of the queue. @return False if it wasn't in it. */
bool RemoveWaiter(ModelQueue& queue, const Waiter* waiter);

/** @return How many wait that go before or with `priority`. */
int WaitingAhead(const ModelQueue& queue, int priority);

/** @return The latest time up to which any request of the queue waits. */
core::SteadyTime LatestDeadline(const ModelQueue& queue,
                                core::SteadyTime least);

/** @return Each owner's slot time in ms: what ran lately, and what runs. */
std::map<core::OwnerId, policy::OwnerUse> UseOf(const ModelQueue& queue,
                                                core::SteadyTime now);

/** @return How many requests of each owner wait. */
policy::QueueUse WaitingOf(const ModelQueue& queue, int max_queue);

/** @return Endpoints that a request for `adapter` is not to be placed at. */
std::set<core::EndpointId> AvoidSet(const ModelQueue& queue,
                                    const gen::Place& request,
                                    core::SteadyTime now);

/** Remembers that this fingerprint ran to its end. */
void NoteHarmless(ModelQueue& queue, std::int64_t fingerprint);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_MODEL_QUEUE_BASE_H_
