/** @file engine_type.h The registration of an engine in the store. */
#ifndef SAPPHIRE_FLEET_ENGINE_TYPE_H_
#define SAPPHIRE_FLEET_ENGINE_TYPE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "fleet/instance_type.h"

namespace sapphire::fleet {

/** The version of an engine's own software, not of model weights. */
using SoftwareVersion = core::StrongId<struct SoftwareVersionTag>;

/** A model that is loaded in an engine's accelerators. */
struct LoadedModel {
  core::ModelId model;
  std::int64_t version = 0;
  std::set<core::AdapterId> adapters;
};

/** Models that an engine has not loaded, but whose checkpoints are cached on
 * its VM. */
struct CachedCheckpoints {
  std::set<core::ModelId> in_memory;
  std::set<core::ModelId> on_disk;
};

/** The entry that an engine writes to the store to register. */
struct EngineEntry {
  InstanceId instance;
  core::ServiceId service;
  /** Engines of several versions may serve one service. A stream that one began
   * can't go on at another version. */
  SoftwareVersion software_version;
  /** "ip:port". */
  std::string address;
  core::ZoneId zone;
  /** Maximum number of requests that it runs concurrently. */
  int max_running = 1;
  /** True if it accepts no new requests and is about to stop. */
  bool draining = false;
  /** Remaining time for which it is slow after its start. */
  std::chrono::milliseconds warm_up_left{0};
  std::vector<LoadedModel> models;
  CachedCheckpoints copies;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_TYPE_H_
