/** @file scheduler_state_base.h State of the scheduler: shards of model queues.
 */
#ifndef SAPPHIRE_ENTRY_SCHEDULER_STATE_BASE_H_
#define SAPPHIRE_ENTRY_SCHEDULER_STATE_BASE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "crash/quarantine_base.h"
#include "crash/quarantine_store_base.h"
#include "entry/fleet_view_base.h"
#include "entry/ledger_cleanup_base.h"
#include "entry/model_queue_base.h"
#include "entry/scheduler_base.h"

namespace sapphire::entry {

/** Shared state, kept alive by its own coroutines and by every placement. */
struct Scheduler::State : std::enable_shared_from_this<Scheduler::State> {
  /** Queues of the models that hash to this shard. The lock is never held over
   * a co_await. */
  struct Shard {
    std::mutex mutex;
    std::unordered_map<core::ModelId, ModelQueue> queues;
  };

  State(const core::Executor& executor_arg, SchedulerOptions options_arg,
        contract::ConfigHolder& config_arg, Directory& directory_arg,
        link::LinkNode& links_arg, external::KeyValueStore& store_arg,
        const core::Clock& clock_arg, const core::Logger& log_arg);

  /** Subscribes to the directory and the configuration; starts the sweep. */
  void Start();
  void Stop();

  // Admission, withdrawal and release of requests: scheduler.cc.

  /** Queues a request and decides on it. @throws core::Error if refused. */
  std::shared_ptr<Waiter> Admit(gen::Place request,
                                std::function<bool()> abandoned);
  /** Removes a request that nobody waits for, granted or not. */
  void Withdraw(const std::shared_ptr<Waiter>& waiter);
  void Release(const core::ModelId& model, std::int64_t slot_id,
               gen::RunResult::type result);
  void CheckQueueLimits(const ModelQueue& queue, const core::OwnerId& owner);
  void CheckQuarantine(std::int64_t fingerprint);
  void RecordRunResult(ModelQueue& queue, std::int64_t slot_id,
                       const RunningRequest& run, gen::RunResult::type result);
  void CountRefusal(const core::Error& error);
  core::Task<> Sweep();

  // Decisions: scheduler_decide.cc.

  /** Decides again on the waiters of one model. */
  void Evaluate(const core::ModelId& id);
  void EvaluateAll();
  void Decide(const contract::Config& config, const contract::Model& model,
              ModelQueue& queue, std::vector<LoadOrder>& orders);
  /** Outcome of one decision, and what it means for the waiters behind. */
  enum class DecisionOutcome {
    kFinished,    ///< The waiter was granted a slot or refused.
    kClassWaits,  ///< It waits, and so do all waiters of its class.
    kWaits        ///< It waits for a reason that concerns only itself.
  };
  DecisionOutcome DecideOne(const contract::Config& config,
                            const contract::Model& model, ModelQueue& queue,
                            const std::shared_ptr<Waiter>& waiter, int ahead,
                            std::vector<LoadOrder>& orders);
  /**
   * Refuses waiters that can't be served in time at their position in the
   * queue. Failure: only the first waiter was decided on, so that the others
   * waited until their deadline although their refusal was certain long before.
   * The position is estimated low: an owner behind others may be served by its
   * share earlier than its position in the whole queue says.
   */
  void RefuseUnservable(const contract::Config& current,
                        const contract::Model& model, ModelQueue& queue);
  policy::PlacementDecision ComputeDecision(const contract::Config& config,
                                            const contract::Model& model,
                                            const ModelQueue& queue,
                                            const Waiter& waiter, int ahead);
  DecisionOutcome TryGrant(const contract::Config& config,
                           const contract::Model& model, ModelQueue& queue,
                           const std::shared_ptr<Waiter>& waiter,
                           const policy::PlacementDecision& decision,
                           std::vector<LoadOrder>& orders);
  DecisionOutcome RequestLoad(const contract::Model& model, ModelQueue& queue,
                              const std::shared_ptr<Waiter>& waiter,
                              const policy::PlacementDecision& decision,
                              std::vector<LoadOrder>& orders);
  /** Starts a load for the caller's retry when the remaining time is too short
   * for this request. */
  void LoadForRetry(const contract::Model& model, ModelQueue& queue,
                    const std::shared_ptr<Waiter>& waiter,
                    const policy::PlacementDecision& decision,
                    std::vector<LoadOrder>& orders);
  void BeginLoad(const contract::Model& model, ModelQueue& queue,
                 const core::AdapterId& adapter,
                 const policy::PlacementDecision& decision,
                 std::vector<LoadOrder>& orders);
  void CountPlaced(const Waiter& waiter, core::SteadyTime now);
  void Refuse(ModelQueue& queue, const std::shared_ptr<Waiter>& waiter,
              const core::Error& error);
  /** Removes a waiter and its endpoint reservation. @return False if it was not
   * queued. */
  bool Dequeue(ModelQueue& queue, Waiter& waiter);
  /** Reserves `endpoint` for the waiter until it leaves the queue. */
  void ReserveFor(Waiter& waiter, const core::EndpointId& endpoint);
  /** Refuses waiters that were abandoned, timed out or got quarantined. */
  void RefuseExpired(ModelQueue& queue);
  core::Millis KeepAliveFor(const contract::Config& config,
                            const ModelQueue& queue, const core::ModelId& model,
                            const core::EndpointId& endpoint) const;
  [[nodiscard]] bool IsStarting() const;
  [[nodiscard]] bool IsSuspect(const Waiter& waiter) const;

  // Loads: scheduler_load.cc.

  void StartLoad(const LoadOrder& order);
  core::Task<> OrderLoad(LoadOrder order);
  /** @throws core::Error unless the endpoint confirms that it is loaded. */
  core::Task<> SendLoad(LoadOrder order, core::SteadyTime started);
  void EndLoad(const LoadOrder& order, core::SteadyTime started,
               const core::Error* failure);

  void RecordLoadFailure(ModelQueue& queue, const LoadOrder& order,
                         const core::Error& failure);

  Shard& ShardOf(const core::ModelId& id);

  const core::Executor executor;
  const SchedulerOptions options;
  contract::ConfigHolder& config;
  Directory& directory;
  link::LinkNode& links;
  external::KeyValueStore& store;
  const core::Clock& clock;
  const core::Logger& log;

  const core::SteadyTime started_at;
  std::atomic<bool> stopped{false};
  FleetView fleet;
  const std::shared_ptr<crash::Quarantine> quarantine;
  const std::shared_ptr<crash::QuarantineStore> quarantine_store;
  const std::shared_ptr<LedgerCleanup> ledger_cleanup;
  std::vector<Shard> shards;
  std::atomic<std::int64_t> next_slot_id{1};
  std::atomic<int> queued{0};

  mutable std::mutex stats_mutex;
  Stats stats;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_SCHEDULER_STATE_BASE_H_
