/** @file home_state_base.h What the home holds: shards of model queues. */
#ifndef SAPPHIRE_ENTRY_HOME_STATE_BASE_H_
#define SAPPHIRE_ENTRY_HOME_STATE_BASE_H_

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
#include "entry/home_base.h"
#include "entry/ledger_cleanup_base.h"
#include "entry/model_queue_base.h"

namespace sapphire::entry {

/** Kept alive by its own coroutines and by every placement. */
struct Home::State : std::enable_shared_from_this<Home::State> {
  /** Queues of the models that hash to it; never held over a co_await. */
  struct Shard {
    std::mutex mutex;
    std::unordered_map<core::ModelId, ModelQueue> queues;
  };

  State(const core::Executor& executor_arg, HomeOptions options_arg,
        contract::ConfigHolder& config_arg, Directory& directory_arg,
        link::LinkNode& links_arg, external::KeyValueStore& store_arg,
        const core::Clock& clock_arg, const core::Logger& log_arg);

  /** Listens to the directory and the configuration; starts the sweep. */
  void Start();
  void Stop();

  // Requests coming and going: home.cc.

  /** Queues a request and decides for it. @throws core::Error if refused. */
  std::shared_ptr<Waiter> Admit(gen::Place request,
                                std::function<bool()> abandoned);
  /** Takes back a request nobody waits for, granted or not. */
  void Withdraw(const std::shared_ptr<Waiter>& waiter);
  void Release(const core::ModelId& model, std::int64_t slot_id,
               gen::RunResult::type result);
  void CheckRoom(const ModelQueue& queue, const core::OwnerId& owner);
  void CheckQuarantine(std::int64_t fingerprint);
  void LearnFromRun(ModelQueue& queue, std::int64_t slot_id,
                    const RunningRequest& run, gen::RunResult::type result);
  void CountRefusal(const core::Error& error);
  core::Task<> Sweep();

  // Decisions: home_decide.cc.

  /** Decides anew for the waiters of one model. */
  void Evaluate(const core::ModelId& id);
  void EvaluateAll();
  void Decide(const contract::Config& config, const contract::Model& model,
              ModelQueue& queue, std::vector<LoadOrder>& orders);
  /** What one decision means for the waiters behind. */
  enum class Step {
    kEnded,     ///< It no longer waits.
    kHeld,      ///< It waits, and so do all of its class.
    kHeldAlone  ///< It waits for a reason of its own.
  };
  Step DecideOne(const contract::Config& config, const contract::Model& model,
                 ModelQueue& queue, const std::shared_ptr<Waiter>& waiter,
                 int ahead, std::vector<LoadOrder>& orders);
  /**
   * Refuses those who wait but can't be served in their time where they stand.
   * Failure: only the first of a queue was decided on, so the others were held
   * until their deadline though their fate was known long before. Places are
   * counted for the caller's good: an owner behind others may be served by
   * share before its place in the whole queue.
   */
  void RefuseHopeless(const contract::Config& current,
                      const contract::Model& model, ModelQueue& queue);
  policy::PlacementDecision Consult(const contract::Config& config,
                                    const contract::Model& model,
                                    const ModelQueue& queue,
                                    const Waiter& waiter, int ahead);
  Step Run(const contract::Config& config, const contract::Model& model,
           ModelQueue& queue, const std::shared_ptr<Waiter>& waiter,
           const policy::PlacementDecision& decision,
           std::vector<LoadOrder>& orders);
  Step Load(const contract::Model& model, ModelQueue& queue,
            const std::shared_ptr<Waiter>& waiter,
            const policy::PlacementDecision& decision,
            std::vector<LoadOrder>& orders);
  /** Loads for callers that come again, when this one has too little time. */
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
  /** Takes a waiter out of the queue, with what is reserved for it. */
  bool Dequeue(ModelQueue& queue, Waiter& waiter);
  /** Keeps `endpoint` clear until the waiter leaves the queue. */
  void ReserveFor(Waiter& waiter, const core::EndpointId& endpoint);
  /** Ends what is abandoned, out of time or quarantined meanwhile. */
  void EndOverdue(ModelQueue& queue);
  core::Millis KeepAlive(const contract::Config& config,
                         const ModelQueue& queue, const core::ModelId& model,
                         const core::EndpointId& endpoint) const;
  [[nodiscard]] bool IsStarting() const;
  [[nodiscard]] bool IsSuspect(const Waiter& waiter) const;

  // Loads: home_load.cc.

  void StartLoad(const LoadOrder& order);
  core::Task<> OrderLoad(LoadOrder order);
  /** @throws core::Error if the endpoint does not say that it is loaded. */
  core::Task<> SendLoad(LoadOrder order, core::SteadyTime started);
  void EndLoad(const LoadOrder& order, core::SteadyTime started,
               const core::Error* failure);

  void NoteLoadFailure(ModelQueue& queue, const LoadOrder& order,
                       const core::Error& failure);

  Shard& ShardOf(const core::ModelId& id);

  const core::Executor executor;
  const HomeOptions options;
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

#endif  // SAPPHIRE_ENTRY_HOME_STATE_BASE_H_
