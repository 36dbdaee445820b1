/** @file workload_type.h A deployment and one day of its load. */
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

/** Load level of the day. */
enum class LoadLevel {
  kUsual,
  kHeavy,  ///< Time limit 6 s, and four times as many sessions per burst.
};

struct ModelSpec {
  core::ModelId id;
  std::int64_t bytes = 0;
  policy::LoadTimes loads;
  Millis service_time{0};
  int max_replicas = 1;
  std::vector<core::AdapterId> adapters;
  core::OwnerId owner;
  /** Sessions per second that start outside of bursts. */
  double session_rate = 0;
  /** Mean calls per session, and the mean pause between them. */
  double session_calls = 1;
  Millis think_time{0};
  /** Engines whose disk has the checkpoint at the start of the day. */
  std::vector<int> on_disk;
};

/** One caller's request. */
struct Arrival {
  Millis at{0};
  int model = 0;
  /** Index into the model's adapters; negative if none. */
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
  /** Ordered by time. */
  std::vector<Arrival> arrivals;
};

}  // namespace sapphire::bench

#endif  // SAPPHIRE_BENCH_WORKLOAD_TYPE_H_
