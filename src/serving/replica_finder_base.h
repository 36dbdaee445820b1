/** @file replica_finder_base.h Lists engines that can serve a request or load a
 * model. */
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

/** Which engines may serve a request. Refers to its parts. */
struct ReplicaQuery {
  const core::ServiceId& service;
  const CallerRequest& request;
  /** Engines that are left out. */
  const std::set<fleet::InstanceId>& avoid;
  /** Set for a stream that engines of this version have begun. */
  const std::optional<fleet::SoftwareVersion>& version;
};

/** An engine that could serve a request now. */
struct FoundReplica {
  fleet::InstanceId instance;
  policy::ReplicaCandidate view;
  /** True if the engine holds the adapter too, or none is requested. */
  bool has_adapter = true;
  /** Time until the engine, which executes one order at a time, accepts
   * another. */
  milliseconds order_left{0};
};

/** An engine that could load a model. */
struct LoadCandidate {
  fleet::InstanceId instance;
  policy::WakeUpCandidate view;
};

/** A pending load of a model on an engine. */
struct PendingModelLoad {
  fleet::InstanceId instance;
  milliseconds ready_in{0};
};

/** Combines the registry, the entries' usage reports and this entry's own
 * sends. Not thread-safe. */
class ReplicaFinder {
 public:
  /** @pre All references outlive the finder. */
  ReplicaFinder(core::ZoneId zone, const fleet::EngineRegistry& registry,
                const fleet::PeerTable& peer_table,
                const fleet::EngineLoads& loads, const LoadGauges& gauges,
                const core::Clock& clock);

  /** @return Engines of a plain service, or those that hold the model; without
   * those that are throttled or rest. */
  [[nodiscard]] std::vector<FoundReplica> Find(const ReplicaQuery& query) const;

  /** @return As Find, and also the engines that rest. */
  [[nodiscard]] std::vector<FoundReplica> FindWithResting(
      const ReplicaQuery& query) const;

  /** @return True if an engine of the service and version accepts requests. */
  [[nodiscard]] bool HasVersion(const core::ServiceId& service,
                                const fleet::SoftwareVersion& version) const;

  /** @return Time until the first engine becomes available that Find omits only
   * because it is throttled or rests; nullopt if there is none. */
  [[nodiscard]] std::optional<milliseconds> TimeToFirstUnthrottled(
      const ReplicaQuery& query) const;

  /** @return As TimeToFirstUnthrottled, of the engines that rest. */
  [[nodiscard]] std::optional<milliseconds> TimeToFirstRested(
      const ReplicaQuery& query) const;

  /** @return Engines that do not hold the model and are reachable, as far as
   * known; only those of the version, if one is given. Usage figures are up to
   * 250 ms old; pending loads are current. */
  [[nodiscard]] std::vector<LoadCandidate> FindLoadCandidates(
      const routing::Service& service, const core::ModelId& model,
      const std::optional<fleet::SoftwareVersion>& version =
          std::nullopt) const;

  /** @return Pending loads of the model, as reported by entries. */
  [[nodiscard]] std::vector<PendingModelLoad> FindPendingLoads(
      const core::ServiceId& service, const core::ModelId& model) const;

  /** @return True if the engine is registered and, if a version is given, of
   * that version. */
  [[nodiscard]] bool IsOfVersion(
      const fleet::InstanceId& instance,
      const std::optional<fleet::SoftwareVersion>& version) const;

  /** @return Number of engines that load from the weight store now, as reported
   * by entries. */
  [[nodiscard]] int CountStoreLoads(const core::ServiceId& service) const;

  /** @return Usage of each model and adapter on the engine, over all entries.
   */
  [[nodiscard]] fleet::UsageByPart UsageAt(
      const fleet::InstanceId& instance) const;

  /** @return Requests per second for a model, over all entries. */
  [[nodiscard]] double Demand(const core::ServiceId& service,
                              const core::ModelId& model) const;

 private:
  /** @return True if the engine serves the model, even if it is throttled. */
  [[nodiscard]] bool Serves(const fleet::EngineEntry& engine,
                            const ReplicaQuery& query) const;
  [[nodiscard]] FoundReplica Describe(const fleet::EngineEntry& engine,
                                      const CallerRequest& request) const;
  [[nodiscard]] policy::ReplicaCandidate MakeView(
      const fleet::EngineEntry& engine, const CallerRequest& request) const;

  /** Cached load candidates of a service. */
  struct CachedCandidates {
    core::ServiceId service;
    std::vector<LoadCandidate> loaders;
    core::SteadyTime at;
    /** Generations of the data from which it was computed. */
    std::int64_t registry_generation = -1;
    std::int64_t loads_generation = -1;
  };

  const std::vector<LoadCandidate>& LoadCandidatesOf(
      const routing::Service& service) const;
  [[nodiscard]] std::vector<LoadCandidate> MakeLoadCandidates(
      const routing::Service& service) const;
  [[nodiscard]] std::vector<policy::ResidentModel> Residents(
      const fleet::EngineEntry& engine, const routing::EngineSpec& spec) const;

  const core::ZoneId zone_;
  const fleet::EngineRegistry& registry_;
  const fleet::PeerTable& peer_table_;
  const fleet::EngineLoads& loads_;
  const LoadGauges& gauges_;
  const core::Clock& clock_;
  /** Shared by waiting requests: computing it for each of them would use up the
   * processor of a small entry. */
  mutable CachedCandidates views_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_
