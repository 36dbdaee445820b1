/** @file fleet_type.h The engines of the bench and what they hold. */
#ifndef SAPPHIRE_BENCH_FLEET_TYPE_H_
#define SAPPHIRE_BENCH_FLEET_TYPE_H_

#include <deque>
#include <vector>

#include "bench/workload_type.h"
#include "policy/placement_type.h"

namespace sapphire::bench {

/** Times of one replica; stands beside its ReplicaView. */
struct ReplicaTimes {
  int model = 0;
  Millis idle_since{0};
  Millis ready_at{0};
  Millis keep_alive{0};
  /** Loads from the weight store and has a lane. */
  bool holds_lane = false;
  /** Loads to have the checkpoint near; no caller asked for it. */
  bool staging = false;
};

struct EngineState {
  policy::EndpointView view;
  /** Same order as view.replicas. */
  std::vector<ReplicaTimes> times;
  /** Checkpoints in the machine's memory and on its disk, newest first. */
  std::deque<core::ModelId> memory_cache;
  std::deque<core::ModelId> disk_cache;
  /** When the engine has carried out its last order. */
  Millis orders_done{0};
  /** Up to when idle time has been added up. */
  Millis settled{0};
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_FLEET_TYPE_H_
