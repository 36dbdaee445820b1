/** @file fleet_type.h State of the simulated engines. */
#ifndef SAPPHIRE_BENCH_FLEET_TYPE_H_
#define SAPPHIRE_BENCH_FLEET_TYPE_H_

#include <deque>
#include <vector>

#include "bench/workload_type.h"
#include "policy/placement_type.h"

namespace sapphire::bench {

/** Times and flags of one replica, in addition to its ReplicaView. */
struct ReplicaTimes {
  int model = 0;
  Millis idle_since{0};
  Millis ready_at{0};
  Millis keep_alive{0};
  /** Whether it is loaded from the weight store and so takes a lane. */
  bool holds_lane = false;
  /** Whether it is loaded only to cache the checkpoint locally; no caller
   * requested it. */
  bool staging = false;
};

struct EngineState {
  policy::EndpointView view;
  /** Same order as view.replicas. */
  std::vector<ReplicaTimes> times;
  /** Checkpoints in the machine's memory and on its disk, newest first. */
  std::deque<core::ModelId> memory_cache;
  std::deque<core::ModelId> disk_cache;
  /** When the engine finishes its last order. */
  Millis orders_done{0};
  /** Time up to which idle time has been added to the result. */
  Millis idle_counted_until{0};
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_FLEET_TYPE_H_
