/** @file fleet_view_base.h Endpoint views for the placement policy. */
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

/** A request's slot at an endpoint, held until the request is done. */
struct Slot {
  core::EndpointId endpoint;
  /** Empty for a plain service. */
  core::ModelId model;
  std::int64_t prefix_hash = 0;
  /** True for a suspect: it runs alone at its endpoint. */
  bool alone = false;
};

/** A load that this entry orders. */
struct LoadOrder {
  core::EndpointId endpoint;
  core::ModelId model;
  core::AdapterId adapter;
  /** Weights and KV budget, or only the adapter if the model is loaded. */
  std::int64_t bytes = 0;
  std::vector<core::ModelId> evict;
  policy::Tier tier = policy::Tier::kRemote;
  core::Millis expected{0};
  /** Least time given to the load, however short its requests' deadlines. */
  core::Millis min_time{0};
  /** The model is loaded or loading, so that only the adapter is loaded. */
  bool base_loaded = false;
};

/**
 * The endpoint views that placement decisions are based on: each endpoint's
 * last report, overlaid with this entry's own placements and loads, since
 * reports lag. A report or a placement updates only the view it concerns; a
 * decision copies only the views of the model's own replicas. Thread-safe.
 */
class FleetView {
 public:
  /** @pre `clock` outlives the view. */
  explicit FleetView(const core::Clock& clock) : clock_(clock) {}

  /**
   * Applies a report or the loss of an endpoint's link, unless a newer one is
   * known.
   * @return The models that have or had a replica there.
   */
  std::set<core::ModelId> Update(const KnownEndpoint& known);

  /** Removes an endpoint whose VM counts as removed. */
  void Remove(const core::EndpointId& id);

  /** Sets the service of each model, for the services' replica limits. */
  void SetServices(std::map<core::ModelId, core::ServiceId> service_of);

  /** Decides with policy::DecidePlacement after filling in the service's
   * replicas. */
  policy::PlacementDecision Decide(policy::PlacementRequest request,
                                   const core::ServiceId& service,
                                   const policy::LoadTimes& loads);

  /** @return The plain service's endpoint for the next request, if any. */
  [[nodiscard]] std::optional<core::EndpointId> PickPlain(
      const core::ServiceId& service, const core::ZoneId& zone,
      const std::set<core::EndpointId>& avoid) const;

  void AddSlot(const Slot& slot);
  void RemoveSlot(const Slot& slot);

  /** Reserves an endpoint for a waiting suspect until the matching EndReserve.
   */
  void Reserve(const core::EndpointId& id);
  void EndReserve(const core::EndpointId& id);

  void BeginLoad(const LoadOrder& order);
  /** @param ready True if the endpoint reported that the load succeeded. */
  void EndLoad(const LoadOrder& order, bool ready);

  /** @return The address of an endpoint; nothing if it is not connected. */
  [[nodiscard]] std::optional<std::string> AddressOf(
      const core::EndpointId& id) const;

  /** @return The tier from which the endpoint would load the model. */
  [[nodiscard]] policy::Tier TierOf(const core::EndpointId& id,
                                    const core::ModelId& model) const;

  /** @return How many models share the endpoint's engine, at least 1. */
  [[nodiscard]] std::size_t ReplicasAt(const core::EndpointId& id) const;

  /** @return True if the model is loaded or loading at the endpoint. */
  [[nodiscard]] bool HasReplica(const core::EndpointId& id,
                                const core::ModelId& model) const;

  /** @return True if the replica has the adapter, or if `adapter` is empty. */
  [[nodiscard]] bool HasAdapter(const core::EndpointId& id,
                                const core::ModelId& model,
                                const core::AdapterId& adapter);

 private:
  /** State of a replica that this entry knows beyond the report. */
  struct Overlay {
    int slots = 0;
    /** Requests reported as running that other entries placed. */
    int placed_elsewhere = 0;
    int loads = 0;
    std::int64_t load_bytes = 0;
    core::SteadyTime loading_since;
    core::Millis load_expected{0};
    /** Loaded since the last report. */
    bool ready = false;
    std::set<core::AdapterId> new_adapters;
    /** Evicted by a load that this entry ordered since the last report. */
    bool evicted = false;
    std::deque<std::int64_t> prefixes;
  };

  struct Endpoint {
    KnownEndpoint known;
    std::map<core::ModelId, Overlay> overlay;
    /** Index of its view in `views_`; nothing while not connected. */
    std::optional<std::size_t> index;
    int plain_slots = 0;
    /** Number of suspects running or waiting at this endpoint. */
    int suspects = 0;
  };

  static void RemoveSuspect(Endpoint& endpoint);
  void AddView(Endpoint& endpoint);
  void RemoveView(Endpoint& endpoint);
  /** Rebuilds the replicas of the endpoint's view. */
  void RefreshReplicas(Endpoint& endpoint);
  void CountReplicas(const policy::EndpointView& view, int sign);
  policy::ReplicaView* FindReplica(const Endpoint& endpoint,
                                   const core::ModelId& model);
  /** Updates the time-dependent fields of one model's replicas, and shows
   * endpoints that are reserved for suspects as full. */
  void PrepareHolders(const policy::PlacementRequest& request,
                      const policy::LoadTimes& loads);
  /** Restores the running counts that PrepareHolders changed for a request. */
  void RestoreHolders(const core::ModelId& model);
  /** @return The expected time until the replica's load ends. */
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
  std::map<std::string, std::set<core::EndpointId>> plain_endpoints_;
  std::map<core::ModelId, core::ServiceId> service_of_;
  std::map<core::ServiceId, int> service_replicas_;
  /** Time before which no further scan of the whole fleet is made for a waiting
   * model. */
  std::unordered_map<core::ModelId, core::SteadyTime> next_scan_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_FLEET_VIEW_BASE_H_
