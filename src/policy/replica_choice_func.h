/** @file replica_choice_func.h Which of the engines that hold a model serves a
 * request. */
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
  /** Requests at work there, and how many may be at once. */
  int running = 0;
  int max_running = 1;
  /** Requests that wait inside the engine. */
  int waiting = 0;
  /** Tokens in use and at most; 0 at most: not known. */
  std::int64_t kv_used = 0;
  std::int64_t kv_total = 0;
  /** Prompt tokens of this request that the engine has read before. */
  std::int64_t known_tokens = 0;
  /** Share of the latest requests from here that failed, 0 to 1. */
  double failure_rate = 0;
  /** How long the oldest request from here waits for its first byte, or how
   * long all streams from here have paused. */
  std::chrono::milliseconds oldest_silence{0};
  /** It is still slow after its start. */
  bool warming_up = false;
};

/** What the choice needs of the request. */
struct RequestSize {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /** Usual time of a request of a plain service; 0 for a stream. */
  std::chrono::milliseconds service_time{0};
};

/** How fast engines work. */
struct EnginePace {
  /** Prompt tokens read in a millisecond. Origin: the operators' sheets. */
  double prompt_tokens_per_ms = 20.0;
  /** One step of a batch. Origin: the operators' sheets. */
  std::chrono::milliseconds step{10};
};

/**
 * @return Expected time to the first byte at this engine, with what speaks
 *   against it (another zone, failures, silence) as time on top.
 */
std::chrono::milliseconds ExpectedCost(const ReplicaCandidate& candidate,
                                       const RequestSize& size,
                                       const EnginePace& pace);

/** @return True if the engine has been silent for longer than a busy one is. */
bool IsSilent(const ReplicaCandidate& candidate);

/** @return The index of the cheapest candidate; nothing if there is none. */
std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates, const RequestSize& size,
    const EnginePace& pace);

/** How much one more replica of a model is wanted. */
enum class ReplicaNeed {
  kNone,
  kUseful,  ///< Worth a load from a near copy.
  kUrgent,  ///< Worth any load.
};

/**
 * Judges whether one more engine should load a model before callers wait: the
 * engines that hold it fill up, or it is busy and stands on one alone.
 */
ReplicaNeed NeedForReplica(std::span<const ReplicaCandidate> candidates,
                           double demand_per_second);

/**
 * Judges on how many engines a model shall wake at once. Pattern: everything
 * was stopped, or demand has moved to a model that no engine holds; requests
 * for it gather for the two seconds of its load and all meet the first engine
 * that has it.
 * @param waiting Requests that wait for the model, over all entries.
 * @return At least 1.
 */
int EnginesForWaiting(int waiting);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_REPLICA_CHOICE_FUNC_H_
