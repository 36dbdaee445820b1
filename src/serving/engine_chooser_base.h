/** @file engine_chooser_base.h Chooses the engine that serves a request. */
#ifndef SAPPHIRE_SERVING_ENGINE_CHOOSER_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_CHOOSER_BASE_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock_base.h"
#include "core/task_type.h"
#include "fleet/engine_registry_base.h"
#include "fleet/peer_table_base.h"
#include "policy/replica_choice_func.h"
#include "serving/load_gauges_base.h"
#include "serving/model_loader_base.h"
#include "serving/replica_finder_base.h"
#include "serving/request_work_type.h"

namespace sapphire::serving {

/** Minimum time left for a send to be worthwhile. */
inline constexpr milliseconds kMinTimeLeft{30};
/** Default time after which a caller may retry. */
inline constexpr milliseconds kDefaultRetryAfter{500};

/** Number of this entry's waiting requests by model. */
using WaitingCounts = std::map<core::ModelId, int>;

/** Chooses among the engines that hold the model, requests a load if none does,
 * and refuses requests that can't be served before their deadline. Not
 * thread-safe. */
class EngineChooser {
 public:
  /** @pre All references outlive the chooser. */
  EngineChooser(policy::EnginePace pace, fleet::EngineRegistry& registry,
                const fleet::PeerTable& peer_table, LoadGauges& gauges,
                const ReplicaFinder& finder, ModelLoader& loader,
                const CrashWatch& crash_watch, const core::Clock& clock);

  /**
   * Waits until an engine can take the request.
   * @return The engine; empty if the caller has disconnected.
   * @throws core::Error if the request can't be served before its deadline.
   */
  core::Task<fleet::InstanceId> Choose(RequestWork& work);

  /** @return The best engine for a request whose current engine is silent:
   * another one, which has not failed the request and is not silent itself;
   * nullopt if there is none. */
  [[nodiscard]] std::optional<fleet::InstanceId> FindAlternative(
      const RequestWork& work) const;

  /** Requests a load of the model on one more engine, for a request whose
   * current engine is silent. */
  void LoadElsewhere(const RequestWork& work);

  /** Sets when the process ends. */
  void SetShutdownTime(core::SteadyTime end) { end_ = end; }

  /**
   * @param wait Time until the request can be sent.
   * @throws core::Error if the process ends before the request would.
   */
  void CheckShutdown(const RequestWork& work, milliseconds wait) const;

 private:
  core::Task<> QueryBusyEngines(const RequestWork& work);
  std::optional<fleet::InstanceId> TryChoose(RequestWork& work);
  void AddReplicaIfOverloaded(const RequestWork& work,
                              const std::vector<FoundReplica>& holders);
  std::optional<fleet::InstanceId> FindCheapest(
      const RequestWork& work, const std::vector<FoundReplica>& found) const;
  void RequestAdapterLoad(const RequestWork& work,
                          std::vector<FoundReplica> holders);
  void AddReplicasForWaiting(const RequestWork& work);
  milliseconds RequestModelLoad(RequestWork& work);
  [[nodiscard]] std::vector<FoundReplica> FindHolders(
      const RequestWork& work) const;
  void CheckVersion(const RequestWork& work) const;
  [[noreturn]] void ThrowUnavailable(const RequestWork& work) const;
  [[nodiscard]] milliseconds TimeToShutdown() const;
  [[nodiscard]] milliseconds TimeToRecheck(const RequestWork& work) const;
  [[nodiscard]] std::optional<milliseconds> TimeToFirstUnthrottled(
      const RequestWork& work) const;
  [[nodiscard]] milliseconds RetryAfterOf(const RequestWork& work,
                                          milliseconds ready_in) const;
  [[nodiscard]] milliseconds IdleTimeLeft(const RequestWork& work) const;

  const policy::EnginePace pace_;
  fleet::EngineRegistry& registry_;
  const fleet::PeerTable& peer_table_;
  LoadGauges& gauges_;
  const ReplicaFinder& finder_;
  ModelLoader& loader_;
  const CrashWatch& crash_watch_;
  const core::Clock& clock_;
  std::optional<core::SteadyTime> end_;
  const std::shared_ptr<WaitingCounts> waiting_ =
      std::make_shared<WaitingCounts>();
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_CHOOSER_BASE_H_
