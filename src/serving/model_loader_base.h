/** @file model_loader_base.h Has models loaded that requests wait for. */
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
 * Asks endpoints to load. All entries see the same engines and choose by the
 * same rules, so that two of them that want one model at one time mostly ask
 * the same endpoint, which loads it once; nobody has to be asked first, and no
 * entry's end delays a wake-up. What is on its way is told to the other
 * entries, who ask the same endpoint and so hear of its end at once.
 */
class ModelLoader {
 public:
  /** @pre All references outlive the loader. */
  ModelLoader(const ReplicaFinder& finder, fleet::ControllerClient& calls,
              fleet::PeerTable& peer_table, fleet::EngineRegistry& registry,
              fleet::EngineLoads& loads, FrontMetrics& metrics,
              const core::Executor& executor, const core::Clock& clock,
              const core::Logger& log);

  /** A caller has asked for the model, whether it is loaded or not. */
  void NoteAsked(const core::ModelId& model) {
    asked_.RecordBegun({model, core::AdapterId()});
  }

  /**
   * Has a model loaded, unless it is on its way.
   * @return When it is expected to serve, or when to look again if no engine
   *   has room now; nothing if none is in reach.
   */
  std::optional<milliseconds> Wake(const routing::Service& service,
                                   const core::ModelId& model,
                                   const core::RequestId& request);

  /** Has an adapter loaded at an engine that holds its model. */
  void WakeAdapter(const core::ServiceId& service,
                   const fleet::InstanceId& instance,
                   const core::ModelId& model, const core::AdapterId& adapter,
                   const core::RequestId& request);

  /**
   * Has one more replica loaded, as far as the need for it is worth it.
   * @param at_once So many may be on their way together.
   */
  void AddReplica(const routing::Service& service, const core::ModelId& model,
                  policy::ReplicaNeed need, int at_once = 1);

  /** @return False if whoever orders the engine can't be reached now. */
  [[nodiscard]] bool CanOrder(const fleet::InstanceId& instance) const {
    return calls_.UnreachableFor(instance) == milliseconds(0);
  }

  /** @return Until a process that orders engines of the service and can't be
   * reached now is asked again; nothing if all can be. */
  [[nodiscard]] std::optional<milliseconds> FirstReachable(
      const core::ServiceId& service) const;

  /** @return True if the engine could not load it a moment ago, or can't be
   * ordered now. */
  [[nodiscard]] bool FailedLately(const LoadTarget& target,
                                  const fleet::InstanceId& instance) const;

  /** Moves when a wake-up has ended, well or not, and when the engines have
   * changed. */
  [[nodiscard]] core::Signal& changed() { return changed_; }

  /** @return The loads that this entry has asked for. */
  [[nodiscard]] std::vector<fleet::ComingLoad> Asked() const;

  /** @return What the latest load from the weight store took that this entry
   * asked for; 0 if none ended lately. */
  [[nodiscard]] milliseconds OwnStoreLoad() const;

 private:
  struct Pending {
    core::SteadyTime ready;
    policy::Tier tier = policy::Tier::kRemote;
    /** Another entry has asked for it before. */
    bool joined = false;
  };
  /** A wake-up at one engine. */
  struct Try {
    LoadTarget target;
    fleet::InstanceId instance;

    friend bool operator<(const Try& a, const Try& b) {
      return std::tie(a.target, a.instance) < std::tie(b.target, b.instance);
    }
  };
  /** The latest load from the weight store. */
  struct StoreLoad {
    milliseconds took{0};
    core::SteadyTime at;
  };

  [[nodiscard]] std::vector<FoundLoader> FindLoaders(
      const routing::Service& service, const core::ModelId& model) const;
  [[nodiscard]] milliseconds StoreLoadTime() const;
  void Join(const LoadTarget& target);
  [[nodiscard]] bool LanesAreForOthers(const routing::Service& service,
                                       const core::ModelId& model) const;
  [[nodiscard]] bool IsOftenAsked(const core::ModelId& model) const;
  /** @return Where it is being loaded, as far as entries tell or this one has
   * asked. */
  [[nodiscard]] std::vector<ComingModel> Coming(const LoadTarget& target) const;
  std::optional<milliseconds> OnItsWay(const LoadTarget& target) const;
  std::optional<policy::WakeUpPlan> Plan(
      const routing::Service& service, const core::ModelId& model,
      std::vector<FoundLoader>& loaders) const;
  void GiveUpOverdue(const LoadTarget& target);
  void Start(const Try& asked, Pending pending,
             std::vector<core::ModelId> evict);
  core::Task<> Load(Try asked, Pending pending,
                    std::vector<core::ModelId> evict);

  [[nodiscard]] gen::EnsureModel LoadRequestOf(
      const Try& asked, const std::vector<core::ModelId>& evict,
      milliseconds limit) const;
  void NoteLoaded(const Try& asked, const Pending& pending,
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
  /** What callers ask this entry for. */
  fleet::ModelUsage asked_;
  std::map<Try, Pending> pending_;
  std::map<Try, core::SteadyTime> failures_;
  std::map<LoadTarget, core::SteadyTime> replica_asked_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_MODEL_LOADER_BASE_H_
