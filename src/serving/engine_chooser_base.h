/** @file engine_chooser_base.h Finds the engine that runs a request. */
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

/** Least time in which a request can still be served. */
inline constexpr milliseconds kLeastTime{30};
/** When to come back if nothing better is known. */
inline constexpr milliseconds kSoon{500};

/** Requests of this entry that wait for a model that no engine holds. */
using WaitingCounts = std::map<core::ModelId, int>;

/** Chooses among engines that hold the model, has it loaded if none does, and
 * refuses what can't be served in its time. One thread. */
class EngineChooser {
 public:
  /** @pre All references outlive the chooser. */
  EngineChooser(policy::EnginePace pace, fleet::EngineRegistry& registry,
                const fleet::PeerTable& peer_table, LoadGauges& gauges,
                const ReplicaFinder& finder, ModelLoader& loader,
                const core::Clock& clock);

  /**
   * Waits until an engine can take the request.
   * @return The engine; none if the caller has left.
   * @throws core::Error if it can't be served in its time.
   */
  core::Task<fleet::InstanceId> Choose(RequestWork& work);

  /** @return True if an engine other than the one at work, and none that has
   * failed it, could take the request now. */
  [[nodiscard]] bool HasOther(const RequestWork& work) const;

  /** Has the model loaded on one more engine, for a request whose own engine is
   * silent. */
  void WakeOther(const RequestWork& work);

  /** The process ends at `end`. */
  void EndAt(core::SteadyTime end) { end_ = end; }

  /**
   * @param wait Until the request can be sent.
   * @throws core::Error if the process ends before the request would.
   */
  void CheckEnd(const RequestWork& work, milliseconds wait) const;

 private:
  core::Task<> GaugeCrowded(const RequestWork& work);
  std::optional<fleet::InstanceId> ChooseNow(RequestWork& work);
  void WatchCrowd(const RequestWork& work,
                  const std::vector<FoundReplica>& holders);
  std::optional<fleet::InstanceId> Cheapest(
      const RequestWork& work, const std::vector<FoundReplica>& found) const;
  void WakeAdapter(const RequestWork& work, std::vector<FoundReplica> holders);
  void WakeForWaiting(const RequestWork& work);
  milliseconds WakeModel(RequestWork& work);
  [[noreturn]] void RefuseNowhere(const RequestWork& work) const;
  [[nodiscard]] milliseconds TimeToEnd() const;
  [[nodiscard]] milliseconds NextLook(const RequestWork& work) const;
  [[nodiscard]] milliseconds IdleTimeLeft(const RequestWork& work) const;

  const policy::EnginePace pace_;
  fleet::EngineRegistry& registry_;
  const fleet::PeerTable& peer_table_;
  LoadGauges& gauges_;
  const ReplicaFinder& finder_;
  ModelLoader& loader_;
  const core::Clock& clock_;
  std::optional<core::SteadyTime> end_;
  const std::shared_ptr<WaitingCounts> waiting_ =
      std::make_shared<WaitingCounts>();
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_CHOOSER_BASE_H_
