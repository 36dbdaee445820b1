/** @file replica_type.h One replica of a model at this endpoint. */
#ifndef SAPPHIRE_ENDPOINT_REPLICA_TYPE_H_
#define SAPPHIRE_ENDPOINT_REPLICA_TYPE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "endpoint/grant_type.h"
#include "endpoint/replica_life_base.h"

namespace sapphire::endpoint {

/** An adapter held beside its model. */
struct AdapterSlot {
  /** False while its load order is with the engine. */
  bool loaded = false;
  int running = 0;
  core::SteadyTime last_used;
};

/** Everything but `model` is read and written under `mutex`. */
struct Replica {
  explicit Replica(core::ModelId id) : model(std::move(id)) {}

  const core::ModelId model;

  std::mutex mutex;
  ReplicaLife life;
  core::ServiceId service;
  std::string version;
  /** Not set in phase kReady: found loaded, and not yet checked. */
  std::optional<Grant> grant;
  /** When `grant` was last seen in the ledger, or taken back unsent. */
  core::SteadyTime grant_seen;
  /** A load, unload or grant check is at work on it. */
  bool working = false;
  /** It is not wanted here any more: a drain can't be called off. */
  bool must_go = false;
  int running = 0;
  int max_concurrent = 1;
  core::SteadyTime idle_since;
  std::chrono::milliseconds keep_alive{0};
  std::map<core::AdapterId, AdapterSlot> adapters;
  /** Adapter loads that failed, and how the last one did. */
  /** Requests and wishes that wait for an adapter to be loaded. */
  std::map<core::AdapterId, int> adapter_waiters;
  int adapter_failures = 0;
  std::optional<core::Error> last_adapter_failure;
  /** Loads that failed, and how the last one did. */
  int failures = 0;
  std::optional<core::Error> last_failure;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_TYPE_H_
