/** @file placement_type.h What the placement decision sees and gives. */
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

/** Where a checkpoint is read from. */
enum class Tier { kMemory, kDisk, kRemote };

/** One replica at one endpoint, as last reported. */
struct ReplicaView {
  core::ModelId model;
  ReplicaState state = ReplicaState::kReady;
  /** Requests running or placed there and not yet seen running. */
  int running = 0;
  Millis idle{0};
  std::set<core::AdapterId> adapters;
  std::int64_t bytes = 0;
  /** When its load is expected to end; zero unless loading. */
  Millis ready_in{0};
  /** Prefix hashes of requests recently placed there. */
  std::set<std::int64_t> prefixes;
  /** Service whose replica limit it counts for; empty: not known. */
  core::ServiceId service;
  /** Expected cost of unloading it, see ReloadCost; 0: go by `idle`. */
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
  /** Requests in progress at once over all replicas; 0: no limit. */
  int max_running = 0;
  /** A suspect of a crash runs here and must stay alone. */
  bool reserved_for_suspect = false;
};

/** Expected load times of one model, by tier. */
struct LoadTimes {
  Millis memory{1000};
  Millis disk{3000};
  Millis remote{8000};
  /** An adapter onto a loaded base. */
  Millis adapter{500};
};

/** One request waiting for a replica of its model. */
struct PlacementRequest {
  core::ModelId model;
  core::AdapterId adapter;
  /** Weights and KV budget of one replica. */
  std::int64_t replica_bytes = 0;
  std::int64_t adapter_bytes = 0;
  int max_replicas = 1;
  int max_concurrent = 8;
  /** Replicas of the whole service now and at most. */
  int service_replicas = 0;
  int service_max_replicas = 0;
  Millis remaining{0};
  /** Expected time of one request on a ready replica. */
  Millis service_time{0};
  core::ZoneId zone;
  std::int64_t prefix_hash = 0;
  std::set<core::EndpointId> avoid;
  /** Requests of the same model that wait already. */
  int waiting_ahead = 0;
  /** The model's service; empty: evictions free no place under its limit. */
  core::ServiceId service;
  /** Run only where nothing else runs: the request may crash its engine. */
  bool alone = false;
};

enum class PlacementAction {
  kRun,     ///< Run it at `endpoint` now.
  kWait,    ///< Stay queued: a slot or a load in progress will serve it.
  kLoad,    ///< Load a replica (or, where the base is loaded, the adapter) at
            ///< `endpoint`, first unloading `evict`; wait.
  kRefuse,  ///< Can't be met: final answer now.
};

struct PlacementDecision {
  PlacementAction action = PlacementAction::kRefuse;
  core::EndpointId endpoint;
  std::vector<core::ModelId> evict;
  /** Until the request would start. */
  Millis expected_wait{0};
  core::ErrorCode refusal = core::ErrorCode::kNoCapacity;
  Millis retry_after{0};
  /** On kRefuse: this caller has too little time, but loading at `endpoint`
   * after unloading `evict` lets its retry find the model. Without it a model
   * slower to load than its callers wait would never be loaded. */
  bool load_for_retry = false;
};

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_PLACEMENT_TYPE_H_
