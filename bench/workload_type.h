/** @file workload_type.h A deployment and one day of its callers. */
#ifndef SAPPHIRE_BENCH_WORKLOAD_TYPE_H_
#define SAPPHIRE_BENCH_WORKLOAD_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "policy/keep_alive_func.h"
#include "policy/placement_type.h"
#include "policy/store_lane_func.h"

namespace sapphire::bench {

using policy::Millis;

enum class Deployment { kMeander, kHanbit };

/** How hard the day is. */
enum class Pressure {
  kUsual,
  kHeavy,  ///< Callers wait 6 s at most and bursts bring four times as many.
};

struct ModelSpec {
  core::ModelId id;
  std::int64_t bytes = 0;
  policy::LoadTimes loads;
  Millis service_time{0};
  int max_replicas = 1;
  std::vector<core::AdapterId> adapters;
  core::OwnerId owner;
  /** Sessions a second that start outside of bursts. */
  double session_rate = 0;
  /** Mean calls of one session, and the mean pause between them. */
  double session_calls = 1;
  Millis think_time{0};
  /** Engines whose disk holds the checkpoint when the day begins. */
  std::vector<int> on_disk;
};

/** One caller's request. */
struct Arrival {
  Millis at{0};
  int model = 0;
  /** Index into the model's adapters; negative: none. */
  int adapter = -1;
  int zone = 0;
  Millis limit{0};
};

struct Workload {
  std::string name;
  int engines = 0;
  int zones = 3;
  std::int64_t engine_bytes = 0;
  int engine_max_running = 32;
  int service_max_replicas = 0;
  policy::StoreLimits store;
  policy::CostWeights weights;
  Millis length{0};
  std::vector<ModelSpec> models;
  /** In order of time. */
  std::vector<Arrival> arrivals;
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_WORKLOAD_TYPE_H_
