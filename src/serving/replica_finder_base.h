/** @file replica_finder_base.h Engines as the choices of a request see them. */
#ifndef SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_
#define SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_

#include <set>
#include <vector>

#include "core/clock_base.h"
#include "fleet/endpoint_feed_base.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "policy/replica_choice_func.h"
#include "policy/wake_up_func.h"
#include "routing/route_type.h"
#include "serving/caller_type.h"

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
struct FoundWaker {
  fleet::InstanceId instance;
  policy::WakeUpCandidate view;
};

/** A model on its way to an engine. */
struct ComingModel {
  fleet::InstanceId instance;
  milliseconds ready_in{0};
};

/** Joins the registry, the endpoints' reports and our own sends. One thread. */
class ReplicaFinder {
 public:
  /** @pre All references outlive the finder. */
  ReplicaFinder(core::ZoneId zone, const fleet::EngineRegistry& registry,
                const fleet::EndpointFeed& feed,
                const fleet::EngineLoads& loads, const core::Clock& clock);

  /** @return Engines of a plain service, or those that hold the model. */
  [[nodiscard]] std::vector<FoundReplica> Find(
      const core::ServiceId& service, const CallerRequest& request,
      const std::set<fleet::InstanceId>& avoid) const;

  /** @return Engines whose endpoint is in reach and that do not hold it. */
  [[nodiscard]] std::vector<FoundWaker> FindWakers(
      const routing::Service& service, const core::ModelId& model) const;

  /** @return Where the model is being loaded, as far as endpoints tell. */
  [[nodiscard]] std::vector<ComingModel> FindComing(
      const core::ServiceId& service, const core::ModelId& model) const;

  /** @return What loads from the weight store take now, if any endpoint has
   * seen one lately; they take longer in company. */
  [[nodiscard]] milliseconds StoreLoadTime(
      const core::ServiceId& service) const;

  /** @return How many engines load from the weight store now. */
  [[nodiscard]] int StoreLoads(const core::ServiceId& service) const;

  /** @return Requests a second for a model, over all entries. */
  [[nodiscard]] double Demand(const core::ServiceId& service,
                              const core::ModelId& model) const;

 private:
  [[nodiscard]] policy::ReplicaCandidate View(
      const fleet::EngineEntry& engine, const CallerRequest& request) const;

  const core::ZoneId zone_;
  const fleet::EngineRegistry& registry_;
  const fleet::EndpointFeed& feed_;
  const fleet::EngineLoads& loads_;
  const core::Clock& clock_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_REPLICA_FINDER_BASE_H_
