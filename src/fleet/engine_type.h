/** @file engine_type.h Engines as they describe themselves. */
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

/** A model that an engine holds in its accelerators. */
struct HeldModel {
  core::ModelId model;
  std::int64_t version = 0;
  std::set<core::AdapterId> adapters;
};

/** Models whose checkpoints an engine has near, besides those it holds. */
struct NearCopies {
  std::set<core::ModelId> in_memory;
  std::set<core::ModelId> on_disk;
};

/** What an engine tells of itself when it registers. */
struct EngineEntry {
  InstanceId instance;
  core::ServiceId service;
  /** "ip:port". */
  std::string address;
  core::ZoneId zone;
  /** Requests it works on at once. */
  int max_running = 1;
  /** It takes no new requests and will be gone. */
  bool draining = false;
  /** How much longer it is slow after its start. */
  std::chrono::milliseconds warm_up_left{0};
  std::vector<HeldModel> models;
  NearCopies copies;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_TYPE_H_
