/** @file replica_choice.cc Which of the engines that hold a model serves a
 * request. */
#include <algorithm>

#include "policy/replica_choice_func.h"

namespace sapphire::policy {

using std::chrono::milliseconds;

namespace {

/** Bytes between zones cost operators money: worth a little lateness, less
 * than one full batch step more. */
constexpr milliseconds kOtherZone{8};
/** What each request at work adds to the first byte of the next. Origin: a
 * draft runs 2 s and its prompt of 1460 tokens is read in 73 ms, so each one at
 * work stands for 3.6 % of an engine's time spent reading, which holds up
 * everybody there. */
constexpr milliseconds kPerRunning{4};
/** A request behind a full engine waits for a whole other request. */
constexpr milliseconds kFullEngine{1500};
/** What a certain failure would cost: the time of a second try. */
constexpr milliseconds kFailure{1200};
/** Slower than any busy engine, better than none. */
constexpr milliseconds kWarmUp{300};
/** A first byte that takes longer than this makes an engine doubtful. */
constexpr milliseconds kUsualSilence{600};
/** Share of the tokens in use above which requests are pushed out. */
constexpr double kTightMemory = 0.9;
/** Requests at work on one engine above which another shall help. Origin: at
 * 8 drafts of 2 s each, reading their prompts takes 29 % of the engine's time,
 * and two that come together already make a pause of 150 ms for all; engines
 * with 30 and more made half of all streams late by their pauses. */
constexpr int kFilling = 8;
/** From here streams pause too long: worth a load from the weight store, which
 * holds up an engine's other loads for 9 s or, in company, 18 s. */
constexpr int kCrowded = 24;
/** Engines that a model wakes on at once, at most. Origin: the busiest model of
 * the operators' sheets, 30 % of 20 drafts a second, with the two seconds of
 * its load gathers 12 to 40 requests; four engines take them at 3 to 10 each.
 */
constexpr int kMostAtOnce = 4;
/** Requests a second below which a crowd on an engine is not a model's own:
 * rare models are asked for every half minute, 0.03 a second. */
constexpr double kOftenAsked = 0.4;
/** Requests a second from which a model shall survive the loss of an engine. */
constexpr double kBusyModel = 1.0;

milliseconds Millis(double ms) {
  return milliseconds(static_cast<milliseconds::rep>(ms));
}

double Fullness(const ReplicaCandidate& candidate) {
  const int load = candidate.running + candidate.waiting;
  return static_cast<double>(load) / std::max(candidate.max_running, 1);
}

bool MemoryIsTight(const ReplicaCandidate& candidate, const RequestSize& size) {
  if (candidate.kv_total == 0) return false;
  const auto after = static_cast<double>(
      candidate.kv_used + size.prompt_tokens + size.max_output_tokens);
  return after > kTightMemory * static_cast<double>(candidate.kv_total);
}

/** Time of the work itself and of the queue before it. */
milliseconds WorkTime(const ReplicaCandidate& candidate,
                      const RequestSize& size, const EnginePace& pace) {
  if (size.service_time.count() > 0) {
    return Millis(Fullness(candidate) *
                  static_cast<double>(size.service_time.count()));
  }
  const auto unread =
      std::max<std::int64_t>(size.prompt_tokens - candidate.known_tokens, 0);
  // Each request at work makes a step longer; those that wait are read first.
  const double reading =
      static_cast<double>(unread) * (1.0 + candidate.waiting);
  const auto running = static_cast<double>(candidate.running);
  return Millis(reading / pace.prompt_tokens_per_ms +
                running * static_cast<double>(kPerRunning.count())) +
         pace.step;
}

}  // namespace

milliseconds ExpectedCost(const ReplicaCandidate& candidate,
                          const RequestSize& size, const EnginePace& pace) {
  milliseconds cost = WorkTime(candidate, size, pace);
  if (!candidate.same_zone) cost += kOtherZone;
  if (Fullness(candidate) >= 1.0) cost += kFullEngine;
  if (MemoryIsTight(candidate, size)) cost += kFullEngine;
  if (candidate.warming_up) cost += kWarmUp;
  cost +=
      Millis(candidate.failure_rate * static_cast<double>(kFailure.count()));
  // The failure met: an engine that takes requests and never answers. Nothing
  // fails for a while, but its oldest request grows older than any usual one.
  if (IsSilent(candidate)) cost += candidate.oldest_silence;
  return cost;
}

bool IsSilent(const ReplicaCandidate& candidate) {
  return candidate.oldest_silence > kUsualSilence;
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

ReplicaNeed NeedForReplica(std::span<const ReplicaCandidate> candidates,
                           double demand_per_second) {
  const auto all_above = [candidates](int limit) {
    return std::ranges::all_of(candidates, [limit](const auto& it) {
      return it.running + it.waiting > limit ||
             MemoryIsTight(it, RequestSize());
    });
  };
  // A rare model beside a busy one sees a crowded engine, too; a replica of it
  // would take the place of a model that somebody asks for.
  if (demand_per_second < kOftenAsked) return ReplicaNeed::kNone;
  if (all_above(kCrowded)) return ReplicaNeed::kUrgent;
  if (all_above(kFilling)) return ReplicaNeed::kUseful;
  const bool alone = candidates.size() == 1;
  return alone && demand_per_second > kBusyModel ? ReplicaNeed::kUseful
                                                 : ReplicaNeed::kNone;
}

int EnginesForWaiting(int waiting) {
  return std::clamp(waiting / kFilling, 1, kMostAtOnce);
}

}  // namespace sapphire::policy
