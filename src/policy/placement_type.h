/** @file placement_type.h Defines the inputs and outputs of the placement
 * decision. */
#ifndef SAPPHIRE_POLICY_PLACEMENT_TYPE_H_
#define SAPPHIRE_POLICY_PLACEMENT_TYPE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"

namespace sapphire::policy {

using Millis = std::chrono::milliseconds;

enum class ReplicaState { kLoading, kReady, kDraining, kUnloading };

/** Storage tier that a checkpoint is read from. */
enum class Tier { kMemory, kDisk, kRemote };

/** One replica at one endpoint, as last reported. */
struct ReplicaView {
  core::ModelId model;
  ReplicaState state = ReplicaState::kReady;
  /** Requests running there, or placed there and not yet reported as
   * running. */
  int running = 0;
  Millis idle{0};
  std::set<core::AdapterId> adapters;
  std::int64_t bytes = 0;
  /** Expected time until its load ends; zero unless loading. */
  Millis ready_in{0};
  /** Prefix hashes of requests recently placed there. */
  std::set<std::int64_t> prefixes;
  /** Service whose replica limit it counts towards; empty if unknown. */
  core::ServiceId service;
  /** Expected cost of unloading it, see ReloadCost; 0: use `idle` instead. */
  double reload_cost = 0;
};

struct EndpointView {
  core::EndpointId id;
  core::ZoneId zone;
  std::int64_t memory_bytes = 0;
  std::int64_t reserved_bytes = 0;
  bool leaving = false;
  bool engine_up = true;
  std::vector<ReplicaView> replicas;
  std::set<core::ModelId> memory_tier;
  std::set<core::ModelId> disk_tier;
  /** Maximum number of running requests over all replicas; 0: no limit. */
  int max_running = 0;
  /** A request suspected of crashing engines runs here and must stay alone. */
  bool reserved_for_suspect = false;
};

/** Expected load times of one model, by tier. */
struct LoadTimes {
  Millis memory{1000};
  Millis disk{3000};
  Millis remote{8000};
  /** Time to load an adapter onto a loaded base. */
  Millis adapter{500};
};

/** A request to be placed at a replica of its model. */
struct PlacementRequest {
  core::ModelId model;
  core::AdapterId adapter;
  /** Size of the weights and KV cache budget of one replica. */
  std::int64_t replica_bytes = 0;
  std::int64_t adapter_bytes = 0;
  int max_replicas = 1;
  int max_concurrent = 8;
  /** Current and maximum number of replicas of the whole service. */
  int service_replicas = 0;
  int service_max_replicas = 0;
  Millis remaining{0};
  /** Expected duration of one request on a ready replica. */
  Millis service_time{0};
  core::ZoneId zone;
  std::int64_t prefix_hash = 0;
  std::set<core::EndpointId> avoid;
  /** Requests for the same model that are already waiting. */
  int waiting_ahead = 0;
  /** The model's service; if empty, evictions don't free a replica under its
   * limit. */
  core::ServiceId service;
  /** Run only on an engine without other requests, because this request may
   * crash it. */
  bool alone = false;
};

enum class PlacementAction {
  kRun,     ///< Run it at `endpoint` now.
  kWait,    ///< Stay queued for a slot or for a load in progress.
  kLoad,    ///< Unload `evict` at `endpoint`, load a replica there (or the
            ///< adapter, if the base is loaded), and stay queued.
  kRefuse,  ///< Refuse at once.
};

struct PlacementDecision {
  PlacementAction action = PlacementAction::kRefuse;
  core::EndpointId endpoint;
  std::vector<core::ModelId> evict;
  /** Expected time until the request starts. */
  Millis expected_wait{0};
  core::ErrorCode refusal = core::ErrorCode::kNoCapacity;
  Millis retry_after{0};
  /** On kRefuse: the caller has too little time left, but loading at `endpoint`
   * after unloading `evict` makes the model available for a retry. Otherwise a
   * model whose load takes longer than its callers wait would never be
   * loaded. */
  bool load_for_retry = false;
};

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_PLACEMENT_TYPE_H_
