/** @file replica_choice_func.h Chooses the engine for a request among those
 * that hold the model, and decides whether the model needs more replicas. */
#ifndef SAPPHIRE_POLICY_REPLICA_CHOICE_FUNC_H_
#define SAPPHIRE_POLICY_REPLICA_CHOICE_FUNC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace sapphire::policy {

/** An engine that could serve the request now. */
struct ReplicaCandidate {
  bool same_zone = false;
  /** Requests running on the engine, and the maximum. */
  int running = 0;
  int max_running = 1;
  /** Requests queued inside the engine. */
  int waiting = 0;
  /** Tokens in use in the KV cache, and its capacity; capacity 0 means
   * unknown. */
  std::int64_t kv_used = 0;
  std::int64_t kv_total = 0;
  /** Prompt tokens of this request that the engine has already prefilled. */
  std::int64_t cached_tokens = 0;
  /** Fraction of this entry's latest requests that failed, 0 to 1. */
  double failure_rate = 0;
  /** How long this entry's oldest request has been waiting for its first byte,
   * or how long all streams of this entry have been paused. */
  std::chrono::milliseconds oldest_silence{0};
  /** True while the engine is slow after its start. */
  bool warming_up = false;
};

/** Properties of the request that the choice depends on. */
struct RequestSize {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /** Usual duration of a request to a plain service; 0 for a stream. */
  std::chrono::milliseconds service_time{0};
};

/** Speed of the engines; the defaults are the operators' figures. */
struct EnginePace {
  /** Prompt tokens prefilled in a millisecond. */
  double prompt_tokens_per_ms = 20.0;
  /** Duration of one batch step. */
  std::chrono::milliseconds step{10};
};

/**
 * @return The expected time to the first byte at this engine, plus penalties
 *   for another zone, failures and silence.
 */
std::chrono::milliseconds ExpectedCost(const ReplicaCandidate& candidate,
                                       const RequestSize& size,
                                       const EnginePace& pace);

/** @return True if the engine has been silent for longer than a busy engine
 * would be. */
bool IsSilent(const ReplicaCandidate& candidate);

/** @return The index of the cheapest candidate; nothing if there is none. */
std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates, const RequestSize& size,
    const EnginePace& pace);

/** Urgency of loading one more replica of a model. */
enum class ReplicaNeed {
  kNone,
  kUseful,  ///< Worth a load from a local copy.
  kUrgent,  ///< Worth any load, also from the weight store.
};

/**
 * Decides whether one more engine should load a model before callers have to
 * wait: because the engines that hold it are nearly full, or because a busy
 * model has only one replica.
 */
ReplicaNeed AssessReplicaNeed(std::span<const ReplicaCandidate> candidates,
                              double demand_per_second);

/**
 * Decides on how many engines a model is woken at once. If no engine holds a
 * model (because everything was stopped, or because demand has moved to it),
 * requests for it accumulate during its load of two seconds and would all be
 * sent to the first engine that has loaded it.
 * @param waiting Requests waiting for the model, over all entries.
 * @return At least 1.
 */
int EnginesToWake(int waiting);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_REPLICA_CHOICE_FUNC_H_
