/** @file engine_type.h Settings and records of the model engine's stand-in. */
#ifndef SAPPHIRE_STANDIN_ENGINE_TYPE_H_
#define SAPPHIRE_STANDIN_ENGINE_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphire::standin {

struct EngineOptions {
  std::int64_t memory_bytes = 0;
  /** Refuses orders with a smaller fence than the largest seen, and a second
   * order while one is in progress. */
  bool honours_fencing = true;
  /** Refuses an order that exceeds the memory, instead of recording an
   * overcommit. */
  bool refuses_overcommit = false;
  /** "ip:port" of the weight store; empty: remote loads have a fixed speed. */
  std::string weights_address;
  double remote_bytes_per_second = 1e9;
  double disk_bytes_per_second = 2e9;
  double memory_bytes_per_second = 1e10;
  /** Checkpoints cached at the start. */
  std::vector<std::string> memory_tier;
  std::vector<std::string> disk_tier;
  std::chrono::milliseconds unload_time{20};
  /** Duration of one decoding step of all running requests. */
  std::chrono::milliseconds token_time{5};
  /** Relative increase of a step's duration per further running request. */
  double batch_slowdown = 0.01;
  std::chrono::microseconds prefill_time_per_char{20};
  std::int64_t kv_bytes_per_char = 1024;
};

/** One completion or chat completion request. */
struct GenerateCall {
  std::string request_id;
  std::string model;
  std::string adapter;
  std::string prompt;
  int max_tokens = 0;
  bool stream = false;
  bool chat = false;
};

/** How a request ended at the engine. */
enum class RunOutcome {
  kRunning,
  kDone,
  kCancelled,  ///< Its connection was closed.
  kCrashed,
  kUnloaded,  ///< Its model was unloaded while it ran.
};

/** Record of one request that started. */
struct RequestRecord {
  std::string request_id;
  std::string model;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
  RunOutcome outcome = RunOutcome::kRunning;
};

/** How a replica left the memory; kHeld while it is loaded. */
enum class ReplicaEnd { kHeld, kUnloaded, kLoadFailed, kCrashed };

/** Record of one replica, from the start of its load. */
struct ReplicaRecord {
  std::string model;
  std::string version;
  std::int64_t fence = 0;
  std::int64_t load_began_ms = 0;
  std::int64_t ready_ms = 0;
  std::int64_t ended_ms = 0;
  ReplicaEnd end = ReplicaEnd::kHeld;
};

/** Record of an order or request that exceeded the memory. */
struct Overcommit {
  std::int64_t at_ms = 0;
  std::int64_t used_bytes = 0;
  std::string cause;
};

/** Record of an order that was refused. */
struct RefusedOrder {
  std::int64_t at_ms = 0;
  std::string model;
  std::int64_t fence = 0;
  std::string error;
};

/** Everything that the engine recorded. */
struct EngineRecord {
  std::vector<RequestRecord> requests;
  std::vector<ReplicaRecord> replicas;
  std::vector<Overcommit> overcommits;
  std::vector<RefusedOrder> refused_orders;
  std::vector<std::int64_t> crashes_ms;
  std::int64_t memory_bytes = 0;
  std::int64_t used_bytes = 0;
  std::int64_t peak_used_bytes = 0;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_ENGINE_TYPE_H_
