/** @file replica_choice.cc Chooses the engine for a request among those that
 * hold the model. */
#include <algorithm>

#include "policy/replica_choice_func.h"

namespace sapphire::policy {

using std::chrono::milliseconds;

namespace {

/** Penalty for another zone: traffic between zones costs operators money, which
 * is worth a small delay, but less than one full batch step. */
constexpr milliseconds kOtherZonePenalty{8};
/** Time that each running request adds to the first byte of the next. A draft
 * runs for 2 s and its prompt of 1460 tokens takes 73 ms to prefill, so each
 * running request accounts for 3.6 % of an engine's time spent on prefill,
 * which delays all requests there. */
constexpr milliseconds kPerRunningPenalty{4};
/** Penalty for a full engine: the request waits until another one has
 * finished. */
constexpr milliseconds kFullEnginePenalty{1500};
/** Penalty for a failure rate of 1: the time of a second try. */
constexpr milliseconds kFailurePenalty{1200};
/** Penalty for an engine that is warming up: as much as 75 running requests, so
 * that busy engines are preferred to it, but less than for a full engine. */
constexpr milliseconds kWarmUpPenalty{300};
/** An engine is suspect if a first byte takes longer than this. */
constexpr milliseconds kMaxUsualSilence{600};
/** Fraction of the KV cache in use above which the engine preempts requests. */
constexpr double kMaxKvFraction = 0.9;
/** Number of requests on an engine above which another replica should share the
 * load. With 8 drafts of 2 s each, prefill takes 29 % of the engine's time, and
 * two prompts that arrive together already pause all streams for 150 ms. On
 * engines with 30 and more requests, such pauses made half of all streams
 * late. */
constexpr int kBusyEngineRequests = 8;
/** Number of requests on an engine above which streams pause for too long:
 * another replica is then worth a load from the weight store, which blocks
 * other loads of that engine for 9 s, or for 18 s while other loads use the
 * store. */
constexpr int kOverloadedEngineRequests = 24;
/** Maximum number of engines that a model is woken on at once. The busiest
 * model of the operators' data gets 30 % of 20 drafts a second, so 12 to 40
 * requests arrive during its load of two seconds; four engines serve them with
 * 3 to 10 each. */
constexpr int kMaxEnginesAtOnce = 4;
/** Demand in requests a second below which a high load on an engine is caused
 * by other models: rare models are requested every half minute, 0.03 times a
 * second. */
constexpr double kMinReplicaDemand = 0.4;
/** Demand in requests a second above which a model needs a second replica to
 * survive the loss of an engine. */
constexpr double kRedundancyDemand = 1.0;

milliseconds Millis(double ms) {
  return milliseconds(static_cast<milliseconds::rep>(ms));
}

double RelativeLoad(const ReplicaCandidate& candidate) {
  const int load = candidate.running + candidate.waiting;
  return static_cast<double>(load) / std::max(candidate.max_running, 1);
}

bool IsKvCacheNearlyFull(const ReplicaCandidate& candidate,
                         const RequestSize& size) {
  if (candidate.kv_total == 0) return false;
  const auto after = static_cast<double>(
      candidate.kv_used + size.prompt_tokens + size.max_output_tokens);
  return after > kMaxKvFraction * static_cast<double>(candidate.kv_total);
}

/** @return The time to the first byte, including the queue before it. */
milliseconds FirstByteTime(const ReplicaCandidate& candidate,
                           const RequestSize& size, const EnginePace& pace) {
  if (size.service_time.count() > 0) {
    return Millis(RelativeLoad(candidate) *
                  static_cast<double>(size.service_time.count()));
  }
  const auto unread =
      std::max<std::int64_t>(size.prompt_tokens - candidate.cached_tokens, 0);
  // Each running request makes a step longer; the prompts of waiting requests
  // are prefilled first.
  const double reading =
      static_cast<double>(unread) * (1.0 + candidate.waiting);
  const auto running = static_cast<double>(candidate.running);
  return Millis(reading / pace.prompt_tokens_per_ms +
                running * static_cast<double>(kPerRunningPenalty.count())) +
         pace.step;
}

}  // namespace

milliseconds ExpectedCost(const ReplicaCandidate& candidate,
                          const RequestSize& size, const EnginePace& pace) {
  milliseconds cost = FirstByteTime(candidate, size, pace);
  if (!candidate.same_zone) cost += kOtherZonePenalty;
  if (RelativeLoad(candidate) >= 1.0) cost += kFullEnginePenalty;
  if (IsKvCacheNearlyFull(candidate, size)) cost += kFullEnginePenalty;
  if (candidate.warming_up) cost += kWarmUpPenalty;
  cost += Millis(candidate.failure_rate *
                 static_cast<double>(kFailurePenalty.count()));
  // An engine that accepts requests but never answers causes no failures for a
  // while; only its oldest request becomes older than usual.
  if (IsSilent(candidate)) cost += candidate.oldest_silence;
  return cost;
}

bool IsSilent(const ReplicaCandidate& candidate) {
  return candidate.oldest_silence > kMaxUsualSilence;
}

std::optional<std::size_t> ChooseReplica(
    std::span<const ReplicaCandidate> candidates, const RequestSize& size,
    const EnginePace& pace) {
  std::optional<std::size_t> best;
  milliseconds best_cost{0};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const milliseconds cost = ExpectedCost(candidates[i], size, pace);
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

ReplicaNeed AssessReplicaNeed(std::span<const ReplicaCandidate> candidates,
                              double demand_per_second) {
  const auto all_above = [candidates](int limit) {
    return std::ranges::all_of(candidates, [limit](const auto& it) {
      return it.running + it.waiting > limit ||
             IsKvCacheNearlyFull(it, RequestSize());
    });
  };
  // A rare model that shares an engine with a busy one also sees a high load,
  // but a replica of it would displace a model that is in demand.
  if (demand_per_second < kMinReplicaDemand) return ReplicaNeed::kNone;
  if (all_above(kOverloadedEngineRequests)) return ReplicaNeed::kUrgent;
  if (all_above(kBusyEngineRequests)) return ReplicaNeed::kUseful;
  const bool alone = candidates.size() == 1;
  return alone && demand_per_second > kRedundancyDemand ? ReplicaNeed::kUseful
                                                        : ReplicaNeed::kNone;
}

int EnginesToWake(int waiting) {
  return std::clamp(waiting / kBusyEngineRequests, 1, kMaxEnginesAtOnce);
}

}  // namespace sapphire::policy
