/** @file replica_finder_base.h Engines as the choices of a request see them. */
#ifndef SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_
#define SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_

#include <optional>
#include <set>
#include <vector>

#include "core/clock_base.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "fleet/peer_table_base.h"
#include "policy/replica_choice_func.h"
#include "policy/wake_up_func.h"
#include "routing/route_type.h"
#include "serving/caller_type.h"
#include "serving/load_gauges_base.h"

namespace sapphire::serving {

/** An engine that could serve a request now. */
struct FoundReplica {
  fleet::InstanceId instance;
  policy::ReplicaCandidate view;
  /** It holds the adapter too, or none is asked for. */
  bool has_adapter = true;
  /** Until its engine, which takes one order at a time, takes another. */
  milliseconds order_left{0};
};

/** An engine that could load a model. */
struct FoundLoader {
  fleet::InstanceId instance;
  policy::WakeUpCandidate view;
};

/** A model on its way to an engine. */
struct ComingModel {
  fleet::InstanceId instance;
  milliseconds ready_in{0};
};

/** Joins the registry, what entries tell each other and our own sends. One
 * thread. */
class ReplicaFinder {
 public:
  /** @pre All references outlive the finder. */
  ReplicaFinder(core::ZoneId zone, const fleet::EngineRegistry& registry,
                const fleet::PeerTable& peer_table,
                const fleet::EngineLoads& loads, const LoadGauges& gauges,
                const core::Clock& clock);

  /** @return Engines of a plain service, or those that hold the model. */
  [[nodiscard]] std::vector<FoundReplica> Find(
      const core::ServiceId& service, const CallerRequest& request,
      const std::set<fleet::InstanceId>& avoid) const;

  /** @return Until the first engine may be sent to that Find leaves out only as
   * it is throttled; nothing if there is none. */
  [[nodiscard]] std::optional<milliseconds> FirstUnthrottled(
      const core::ServiceId& service, const CallerRequest& request,
      const std::set<fleet::InstanceId>& avoid) const;

  /**
   * @return Engines that do not hold it and can be reached, as far as known.
   *   What it rests on is up to 250 ms old, but for loads that entries ask for.
   */
  [[nodiscard]] std::vector<FoundLoader> FindLoaders(
      const routing::Service& service, const core::ModelId& model) const;

  /** @return Where the model is being loaded, as far as entries tell. */
  [[nodiscard]] std::vector<ComingModel> FindComing(
      const core::ServiceId& service, const core::ModelId& model) const;

  /** @return How many engines load from the weight store now, as far as entries
   * tell. */
  [[nodiscard]] int StoreLoads(const core::ServiceId& service) const;

  /** @return Use of all that the engine holds, of all entries. */
  [[nodiscard]] fleet::UsageByPart UseAt(
      const fleet::InstanceId& instance) const;

  /** @return Requests a second for a model, over all entries. */
  [[nodiscard]] double Demand(const core::ServiceId& service,
                              const core::ModelId& model) const;

 private:
  /** @return True if the engine serves the model, whatever its limit. */
  [[nodiscard]] bool Serves(const fleet::EngineEntry& engine,
                            const core::ServiceId& service,
                            const CallerRequest& request,
                            const std::set<fleet::InstanceId>& avoid) const;
  [[nodiscard]] policy::ReplicaCandidate View(
      const fleet::EngineEntry& engine, const CallerRequest& request) const;

  /** All engines of a service, as wake-ups see them. */
  struct LoaderViews {
    core::ServiceId service;
    std::vector<FoundLoader> loaders;
    core::SteadyTime at;
    /** What it was made from. */
    std::int64_t registry_generation = -1;
    std::int64_t loads_generation = -1;
  };

  const std::vector<FoundLoader>& LoadersOf(
      const routing::Service& service) const;
  [[nodiscard]] std::vector<FoundLoader> MakeLoaders(
      const routing::Service& service) const;
  [[nodiscard]] std::vector<policy::ResidentModel> Residents(
      const fleet::EngineEntry& engine, const routing::EngineSpec& spec) const;

  const core::ZoneId zone_;
  const fleet::EngineRegistry& registry_;
  const fleet::PeerTable& peer_table_;
  const fleet::EngineLoads& loads_;
  const LoadGauges& gauges_;
  const core::Clock& clock_;
  /**
   * Shared by waiting requests: working it out for each of them would use up
   * the processor of a small entry.
   */
  mutable LoaderViews views_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_
