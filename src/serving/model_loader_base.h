/** @file model_loader_base.h Requests loads of models that callers wait for. */
#ifndef SAPPHIRE_SERVING_MODEL_LOADER_BASE_H_
#define SAPPHIRE_SERVING_MODEL_LOADER_BASE_H_

#include <chrono>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "fleet/controller_client_base.h"
#include "fleet/model_usage_base.h"
#include "fleet/peer_table_base.h"
#include "policy/wake_up_func.h"
#include "routing/route_type.h"
#include "serving/front_metrics_base.h"
#include "serving/replica_finder_base.h"

namespace sapphire::serving {

using OptionalVersion = std::optional<fleet::SoftwareVersion>;

/** A model, or an adapter of a model, that is to be loaded. */
struct LoadTarget {
  core::ServiceId service;
  core::ModelId model;
  core::AdapterId adapter;

  friend bool operator<(const LoadTarget& a, const LoadTarget& b) {
    return std::tie(a.service, a.model, a.adapter) <
           std::tie(b.service, b.model, b.adapter);
  }
};

/**
 * Requests model loads from endpoints. All entries see the same engines and
 * choose by the same rules, so two entries that need a model at the same time
 * mostly ask the same endpoint, which loads it once. No coordinator is needed,
 * and an entry that stops delays no load. A pending load is broadcast to the
 * other entries, which ask the same endpoint and so learn of the load's end at
 * once.
 */
class ModelLoader {
 public:
  /** @pre All references outlive the loader. */
  ModelLoader(const ReplicaFinder& finder, fleet::ControllerClient& calls,
              fleet::PeerTable& peer_table, fleet::EngineRegistry& registry,
              fleet::EngineLoads& loads, FrontMetrics& metrics,
              const core::Executor& executor, const core::Clock& clock,
              const core::Logger& log);

  /** Records a caller's request for the model, whether it is loaded or not. */
  void RecordRequest(const core::ModelId& model) {
    request_usage_.RecordBegun({model, core::AdapterId()});
  }

  /**
   * Requests a load of a model unless one is pending. If the pending one is
   * slow, a second one is requested from an engine that would be ready much
   * sooner.
   * @param version If set, only engines of this software version count.
   * @param rested_in Time until an engine that holds the model has rested, if
   *   one does. No load that takes longer is requested.
   * @return Time until the model is expected to serve, or until the next
   *   attempt if no load can be requested now; nullopt if no engine that could
   *   load it, or could before `rested_in`, is reachable.
   */
  std::optional<milliseconds> RequestLoad(
      const routing::Service& service, const core::ModelId& model,
      const core::RequestId& request, const OptionalVersion& version = {},
      std::optional<milliseconds> rested_in = {});

  /** Requests a load of an adapter on an engine that holds its model. */
  void RequestAdapterLoad(const core::ServiceId& service,
                          const fleet::InstanceId& instance,
                          const core::ModelId& model,
                          const core::AdapterId& adapter,
                          const core::RequestId& request);

  /**
   * Requests a load of one more replica if the need justifies its cost.
   * @param at_once Number of the model's pending loads from which on no
   *   further one is requested; only loads that are due soon count.
   * @param version As for RequestLoad.
   */
  void AddReplica(const routing::Service& service, const core::ModelId& model,
                  policy::ReplicaNeed need, int at_once = 1,
                  const OptionalVersion& version = {});

  /** @return False if the engine's controller is unreachable. */
  [[nodiscard]] bool IsControllerReachable(
      const fleet::InstanceId& instance) const {
    return calls_.UnreachableFor(instance) == milliseconds(0);
  }

  /** @return Time until the next attempt to reach an unreachable controller of
   * the service's engines; nullopt if all are reachable. */
  [[nodiscard]] std::optional<milliseconds> TimeToFirstReachable(
      const core::ServiceId& service) const;

  /** @return True if the engine recently failed to load the target, or its
   * controller is unreachable. */
  [[nodiscard]] bool HasFailedRecently(const LoadTarget& target,
                                       const fleet::InstanceId& instance) const;

  /** Notified when a load has succeeded or failed, and when the engines have
   * changed. */
  [[nodiscard]] core::Signal& changed() { return changed_; }

  /** @return The pending model loads that this entry has requested. */
  [[nodiscard]] std::vector<fleet::ComingLoad> PendingLoads() const;

  /** @return Duration of the latest load from the weight store that this entry
   * requested; 0 if none ended recently. */
  [[nodiscard]] milliseconds OwnStoreLoadTime() const;

 private:
  struct PendingLoad {
    core::SteadyTime ready;
    policy::Tier tier = policy::Tier::kRemote;
    /** True if another entry has requested the load before. */
    bool joined = false;
  };
  /** A load on one engine. */
  struct LoadKey {
    LoadTarget target;
    fleet::InstanceId instance;

    friend bool operator<(const LoadKey& a, const LoadKey& b) {
      return std::tie(a.target, a.instance) < std::tie(b.target, b.instance);
    }
  };
  /** The latest load from the weight store. */
  struct StoreLoad {
    milliseconds took{0};
    core::SteadyTime at;
  };

  [[nodiscard]] std::vector<LoadCandidate> FindLoadCandidates(
      const routing::Service& service, const core::ModelId& model,
      const OptionalVersion& version) const;
  [[nodiscard]] milliseconds StoreLoadTime() const;
  void JoinLoad(const LoadTarget& target, const OptionalVersion& version);
  [[nodiscard]] bool MustDeferStoreLoad(const routing::Service& service,
                                        const core::ModelId& model) const;
  [[nodiscard]] bool IsBusyModel(const core::ModelId& model) const;
  /** @return The target's pending loads, as reported by peers or requested by
   * this entry. */
  [[nodiscard]] std::vector<PendingModelLoad> PendingLoadsOf(
      const LoadTarget& target, const OptionalVersion& version = {}) const;
  std::optional<milliseconds> TimeUntilLoaded(
      const LoadTarget& target, const OptionalVersion& version = {}) const;
  std::optional<policy::WakeUpPlan> Plan(
      const routing::Service& service, const core::ModelId& model,
      std::vector<LoadCandidate>& loaders) const;
  void DropOverdue(const LoadTarget& target);
  void Start(const LoadKey& asked, PendingLoad pending,
             std::vector<core::ModelId> evict);
  core::Task<> Load(LoadKey asked, PendingLoad pending,
                    std::vector<core::ModelId> evict);

  [[nodiscard]] gen::EnsureModel LoadRequestOf(
      const LoadKey& asked, const std::vector<core::ModelId>& evict,
      milliseconds limit) const;
  void NoteLoaded(const LoadKey& asked, const PendingLoad& pending,
                  const std::vector<core::ModelId>& evict, milliseconds took);

  const ReplicaFinder& finder_;
  fleet::ControllerClient& calls_;
  fleet::PeerTable& peer_table_;
  fleet::EngineRegistry& registry_;
  fleet::EngineLoads& loads_;
  FrontMetrics& metrics_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::SteadyTime began_;
  const core::Logger& log_;
  core::Signal changed_;
  std::optional<StoreLoad> store_load_;
  /** Models that callers request from this entry. */
  fleet::ModelUsage request_usage_;
  std::map<LoadKey, PendingLoad> pending_;
  std::map<LoadKey, core::SteadyTime> failures_;
  std::map<LoadTarget, core::SteadyTime> last_attempt_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_MODEL_LOADER_BASE_H_
