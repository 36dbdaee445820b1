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

/** An adapter at its model's replica. */
struct AdapterSlot {
  /** False while it is being loaded or unloaded. */
  bool loaded = false;
  int running = 0;
  core::SteadyTime last_used;
};

/** State of one replica. `mutex` guards all members but `model`. */
struct Replica {
  explicit Replica(core::ModelId id) : model(std::move(id)) {}

  const core::ModelId model;

  std::mutex mutex;
  ReplicaLife life;
  core::ServiceId service;
  std::string version;
  /** Not set in phase kReady if the replica was found loaded and its grant has
   * not been checked yet. */
  std::optional<Grant> grant;
  /** When `grant` was last seen in the ledger, or reclaimed before its release
   * was sent. */
  core::SteadyTime grant_seen;
  /** True while a load, unload or grant check runs for it. */
  bool task_active = false;
  /** The replica must be unloaded; its drain can't be cancelled. */
  bool must_unload = false;
  int running = 0;
  int max_concurrent = 1;
  core::SteadyTime idle_since;
  std::chrono::milliseconds keep_alive{0};
  std::map<core::AdapterId, AdapterSlot> adapters;
  /** Number of requests and load calls that wait for each adapter. */
  std::map<core::AdapterId, int> adapter_waiters;
  /** Number of failed adapter loads, and the error of the last one. */
  int adapter_failures = 0;
  std::optional<core::Error> last_adapter_failure;
  /** Number of failed loads, and the error of the last one. */
  int failures = 0;
  std::optional<core::Error> last_failure;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_TYPE_H_
