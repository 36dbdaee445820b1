/** @file replica_worker_base.h Loads and unloads models and adapters. */
#ifndef SAPPHIRE_ENDPOINT_REPLICA_WORKER_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICA_WORKER_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "contract/config_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "endpoint/engine_status_poller_base.h"
#include "endpoint/grant_ledger_base.h"
#include "endpoint/lane_queue_base.h"
#include "endpoint/metrics_base.h"
#include "endpoint/order_sender_base.h"
#include "endpoint/replica_table_base.h"

namespace sapphire::endpoint {

/** Deadline of a model or adapter load, and what it may evict. */
struct LoadRequest {
  core::SteadyTime deadline;
  /** Idle models that may be unloaded to make room. */
  std::vector<core::ModelId> evict;
};

/** Dependencies shared by the endpoint's parts. All references outlive the
 * parts. */
struct EndpointParts {
  core::Executor executor;
  contract::ConfigHolder& config;
  ReplicaTable& table;
  EngineStatusPoller& status_poller;
  OrderSender& order_sender;
  GrantLedger& ledger;
  LaneQueue& lanes;
  const core::Clock& clock;
  const core::Logger& log;
  Metrics& metrics;
};

/**
 * Loads and unloads replicas. The sequence of steps upholds the replica limit
 * and the memory limit: a load takes the grant, reserves memory, then sends the
 * order; an unload is confirmed, then frees the memory, then the grant.
 */
class ReplicaWorker {
 public:
  /** @param max_grant_age Age from which a grant is looked up again before the
   * load is ordered. */
  explicit ReplicaWorker(EndpointParts parts,
                         std::chrono::milliseconds max_grant_age = kMaxGrantAge)
      : parts_(parts), max_grant_age_(max_grant_age) {}

  /** Well below the time after which a VM that is missing from the platform's
   * list counts as lost and its grants are ended. */
  static constexpr std::chrono::milliseconds kMaxGrantAge{5000};

  /** Loads in the background. @pre The caller set `task_active`. */
  void StartLoad(const ReplicaPtr& replica, LoadRequest request);

  /** Unloads in the background once nothing runs. @pre The caller set
   * `task_active` and applied kDrainStarted. */
  void StartUnload(const ReplicaPtr& replica);

  /** Takes a grant in the background for a replica that was found loaded; if it
   * is over the limit, the replica is marked for unloading.
   * @pre The caller set `task_active`. */
  void StartGrantCheck(const ReplicaPtr& replica);

  /**
   * Loads an adapter if needed and increments its use count, which keeps it
   * from being evicted; the caller decrements the count.
   * @throws core::Error kOverMemory, kTimedOut, kLoadFailed, all "not run".
   * @pre The caller holds a run slot of the replica, which keeps the model
   * loaded.
   */
  core::Task<> EnsureAdapter(ReplicaPtr replica, core::AdapterId adapter,
                             LoadRequest request);

  /** Frees the memory and the grant of a replica that the engine no longer
   * holds. @pre Its lock is held; phase kReady, kDraining or kUnloading. */
  void MarkUnloaded(Replica& replica);

 private:
  /** @param name Outlives the task. */
  void StartTask(std::string_view name, std::function<core::Task<>()> task);
  core::Task<> Load(ReplicaPtr replica, LoadRequest request);
  core::Task<> LoadSteps(ReplicaPtr replica, LoadRequest request);
  core::Task<> LoadThroughLane(ReplicaPtr replica, contract::Model spec,
                               LoadRequest request);
  core::Task<> OrderLoad(ReplicaPtr replica, contract::Model spec,
                         LoadRequest request);
  core::Task<> RefreshStaleGrant(ReplicaPtr replica, core::SteadyTime deadline);
  core::Task<> TakeGrant(ReplicaPtr replica, core::SteadyTime deadline);
  core::Task<> Unload(ReplicaPtr replica);
  core::Task<bool> WaitUntilIdle(ReplicaPtr replica);
  core::Task<bool> OrderUnload(ReplicaPtr replica);
  core::Task<> CheckGrant(ReplicaPtr replica);
  bool UseAdapter(Replica& replica, const contract::Adapter& spec,
                  const LoadRequest& request, int failures_before);
  core::Task<> LoadAdapter(ReplicaPtr replica, contract::Adapter spec,
                           std::vector<core::ModelId> evict);
  core::Task<> MakeRoom(MemoryHolder holder, std::int64_t bytes,
                        std::vector<core::ModelId> evict);
  bool IdleAdaptersMakeRoomFor(std::int64_t bytes) const;
  core::Task<bool> EvictAdapter();
  core::Task<bool> EvictModel(std::vector<core::ModelId> evict,
                              core::ModelId keep,
                              std::set<core::ModelId>& tried);
  void CheckRoom(const contract::Model& spec,
                 const std::vector<core::ModelId>& evict) const;
  void ReleaseGrant(Replica& replica);
  contract::Model SpecOf(const core::ModelId& model) const;
  std::string_view TierOf(const core::ModelId& model) const;

  EndpointParts parts_;
  const std::chrono::milliseconds max_grant_age_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_WORKER_BASE_H_
