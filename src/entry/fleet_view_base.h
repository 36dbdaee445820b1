/** @file fleet_view_base.h All endpoints as the placement policy sees them. */
#ifndef SAPPHIRE_ENTRY_FLEET_VIEW_BASE_H_
#define SAPPHIRE_ENTRY_FLEET_VIEW_BASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "entry/directory_base.h"
#include "policy/placement_type.h"

namespace sapphire::entry {

/** A request's place at one endpoint, held until it is done. */
struct Slot {
  core::EndpointId endpoint;
  /** Empty for a plain service. */
  core::ModelId model;
  std::int64_t prefix_hash = 0;
  /** True: a suspect; nothing else is placed at this endpoint beside it. */
  bool alone = false;
};

/** A load that this entry orders. */
struct LoadOrder {
  core::EndpointId endpoint;
  core::ModelId model;
  core::AdapterId adapter;
  /** Weights and KV budget, or only the adapter if the model is there. */
  std::int64_t bytes = 0;
  std::vector<core::ModelId> evict;
  policy::Tier tier = policy::Tier::kRemote;
  core::Millis expected{0};
  /** Time the load is given at least, however short its requests' time. */
  core::Millis least_time{0};
  /** The model is there or on its way: only the adapter is loaded. */
  bool base_there = false;
};

/**
 * The views that placement decisions are made on: each endpoint's last report
 * with this entry's own placements and loads laid over it, since reports lag.
 * A report or a placement changes the one view it concerns; a decision copies
 * the views of the model's own replicas only. Safe to use from any thread.
 */
class FleetView {
 public:
  /** @pre `clock` outlives the view. */
  explicit FleetView(const core::Clock& clock) : clock_(clock) {}

  /**
   * Takes a report, or the loss of an endpoint's link, unless a newer one is
   * known.
   * @return The models that have or had a replica there.
   */
  std::set<core::ModelId> Update(const KnownEndpoint& known);

  /** Forgets an endpoint whose VM is gone. */
  void Forget(const core::EndpointId& id);

  /** Says which service each model belongs to, for the services' limits. */
  void SetServices(std::map<core::ModelId, core::ServiceId> service_of);

  /** Decides with policy::DecidePlacement; fills in the service's replicas. */
  policy::PlacementDecision Decide(policy::PlacementRequest request,
                                   const core::ServiceId& service,
                                   const policy::LoadTimes& loads);

  /** @return The endpoint of a plain service to send the next request to. */
  [[nodiscard]] std::optional<core::EndpointId> PickPlain(
      const core::ServiceId& service, const core::ZoneId& zone,
      const std::set<core::EndpointId>& avoid) const;

  void AddSlot(const Slot& slot);
  void RemoveSlot(const Slot& slot);

  /** Keeps an endpoint clear for a suspect that waits; each needs an end. */
  void Reserve(const core::EndpointId& id);
  void EndReserve(const core::EndpointId& id);

  void BeginLoad(const LoadOrder& order);
  /** @param ready True if the endpoint says that the load succeeded. */
  void EndLoad(const LoadOrder& order, bool ready);

  /** @return Where to reach a connected endpoint. */
  [[nodiscard]] std::optional<std::string> AddressOf(
      const core::EndpointId& id) const;

  /** @return The tier from which the endpoint would load the model. */
  [[nodiscard]] policy::Tier TierOf(const core::EndpointId& id,
                                    const core::ModelId& model) const;

  /** @return How many models share the endpoint's engine, at least 1. */
  [[nodiscard]] std::size_t ReplicasAt(const core::EndpointId& id) const;

  /** @return True if the model is loaded or on its way there. */
  [[nodiscard]] bool HasReplica(const core::EndpointId& id,
                                const core::ModelId& model) const;

  /** @return True if the replica there has the adapter, or none is asked. */
  [[nodiscard]] bool HasAdapter(const core::EndpointId& id,
                                const core::ModelId& model,
                                const core::AdapterId& adapter);

 private:
  /** What this entry knows of a replica beyond the report. */
  struct Overlay {
    int slots = 0;
    /** Reported as running and not placed from here. */
    int foreign = 0;
    int loads = 0;
    std::int64_t load_bytes = 0;
    core::SteadyTime loading_since;
    core::Millis load_expected{0};
    /** Loaded, and no report since. */
    bool ready = false;
    std::set<core::AdapterId> new_adapters;
    /** Unloaded by a load ordered here, and no report since. */
    bool evicted = false;
    std::deque<std::int64_t> prefixes;
  };

  struct Endpoint {
    KnownEndpoint known;
    std::map<core::ModelId, Overlay> overlay;
    /** Where its view is in `views_`; nothing while not connected. */
    std::optional<std::size_t> index;
    int plain_slots = 0;
    /** Suspects that run or wait here. */
    int suspects = 0;
  };

  static void DropSuspect(Endpoint& endpoint);
  void AddView(Endpoint& endpoint);
  void DropView(Endpoint& endpoint);
  /** Builds the replicas of the endpoint's view anew. */
  void RefreshReplicas(Endpoint& endpoint);
  void CountReplicas(const policy::EndpointView& view, int sign);
  policy::ReplicaView* FindReplica(const Endpoint& endpoint,
                                   const core::ModelId& model);
  /** Brings what changes by time alone up to date for one model. */
  void PrepareHolders(const policy::PlacementRequest& request,
                      const policy::LoadTimes& loads);
  /** Shows what PrepareHolders changed for this request as it is. */
  void RestoreHolders(const core::ModelId& model);
  /** @return When the replica's load is expected to end, from now. */
  [[nodiscard]] core::Millis ReadyIn(const Overlay& overlay,
                                     core::Millis expected) const;
  [[nodiscard]] core::ServiceId ServiceOf(const core::ModelId& model) const;
  [[nodiscard]] policy::PlacementDecision DecidePrepared(
      const policy::PlacementRequest& request, const policy::LoadTimes& loads);
  [[nodiscard]] int ServiceReplicas(const core::ServiceId& service) const;

  const core::Clock& clock_;
  mutable std::mutex mutex_;
  std::unordered_map<core::EndpointId, Endpoint> endpoints_;
  std::vector<policy::EndpointView> views_;
  std::unordered_map<core::ModelId, std::set<core::EndpointId>> holders_;
  std::map<std::string, std::set<core::EndpointId>> plain_;
  std::map<core::ModelId, core::ServiceId> service_of_;
  std::map<core::ServiceId, int> service_replicas_;
  /** Until when a model's queue is not worth a look at the whole fleet. */
  std::unordered_map<core::ModelId, core::SteadyTime> next_scan_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_FLEET_VIEW_BASE_H_
