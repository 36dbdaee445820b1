/** @file scheduler_base.h Schedules the requests of the models that this entry
 * is the primary entry of: one queue and one load decision per model. */
#ifndef SAPPHIRE_ENTRY_SCHEDULER_BASE_H_
#define SAPPHIRE_ENTRY_SCHEDULER_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "contract/config_base.h"
#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/directory_base.h"
#include "external/key_value_base.h"
#include "gen/link_types.h"
#include "link/link_base.h"
#include "policy/placement_type.h"

namespace sapphire::entry {

struct SchedulerOptions {
  core::VmId self;
  core::ZoneId zone;
  /** Most requests that may wait for one model. */
  int max_queue = 512;
  /** Number of state shards, each under its own lock. */
  int shards = 16;
  /** Interval between checks of waiting requests for expired deadlines. */
  std::chrono::milliseconds sweep_interval{20};
  /** Interval between scans of this entry's service ledgers for stale grants.
   */
  std::chrono::milliseconds ledger_interval{15000};
  /** A grant's VM that is missing from the list for this long counts as
   * removed. */
  std::chrono::milliseconds removal_grace{30000};
  /** Called for each cold start with the tier loaded from and the request's
   * wait from arrival to placement. On any thread; must not block. */
  std::function<void(policy::Tier, std::chrono::milliseconds)> on_cold_start;
};

/** The endpoint granted to a request; holds a slot until Finish or destruction.
 */
class Placement {
 public:
  virtual ~Placement() = default;
  [[nodiscard]] virtual const gen::Placed& placed() const = 0;
  /** Frees the slot and reports the run's result to the scheduler. */
  virtual void Finish(gen::RunResult::type result) = 0;
};

/**
 * Places the requests of the models that this entry is the primary entry of:
 * queues them, decides with policy::DecidePlacement, orders loads with
 * EnsureModel, and counts the crashes of each request fingerprint.
 */
class Scheduler {
 public:
  /** @pre All references outlive the object. */
  Scheduler(const core::Executor& executor, SchedulerOptions options,
            contract::ConfigHolder& config, Directory& directory,
            link::LinkNode& links, external::KeyValueStore& store,
            const core::Clock& clock, const core::Logger& log);
  ~Scheduler();

  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /**
   * Waits until the request can run at an endpoint.
   * @param abandoned Returns true once the caller has disconnected; its request
   *   then leaves the queue. Any thread, must not block; may be empty.
   * @throws core::Error a refusal (nothing ran), as soon as it is known.
   */
  core::Task<std::unique_ptr<Placement>> Place(
      gen::Place request, std::function<bool()> abandoned = nullptr);

  /**
   * Picks an endpoint of a plain service: connected, not leaving, in this zone
   * if possible, with the fewest requests outstanding from this entry.
   * @throws core::Error kNoEndpoint immediately if there is none.
   */
  core::Task<std::unique_ptr<Placement>> PlaceService(
      core::ServiceId service, core::OwnerId owner,
      std::chrono::milliseconds remaining, std::set<core::EndpointId> avoid);

  /** Answers a Place call from another entry. */
  core::Task<> Serve(std::shared_ptr<link::Call> call, gen::Place request);

  /** Counters for metrics and the admin status. */
  struct Stats {
    std::int64_t placed = 0;
    std::int64_t refused = 0;
    std::int64_t loads_ordered = 0;
    std::int64_t cold_starts = 0;
    /** Requests refused because their fingerprint is quarantined. */
    std::int64_t quarantined = 0;
    int queued = 0;
    std::map<core::ErrorCode, std::int64_t> refused_by_code;
  };
  [[nodiscard]] Stats stats() const;

  /** Internal. */
  struct State;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_SCHEDULER_BASE_H_
