/** @file keep_alive.cc Decides how long an idle replica stays loaded. */
#include <algorithm>
#include <cmath>

#include "policy/keep_alive_func.h"

namespace sapphire::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/** Upper bound of bucket 0, in seconds. */
constexpr double kFirstBucketBound = 1.0 / 16;
/** Arrivals within this time of the first one of a group would have waited for
 * the same cold start. */
constexpr Seconds kGroupSpan{8.0};
/** Factor by which the weight of earlier gaps falls with each new gap. */
constexpr double kGapDecay = 0.97;
/** Number of gaps that the prior counts as. */
constexpr double kPriorGaps = 3.0;
/** First bucket of the prior (2 s), which is spread evenly over the buckets
 * from here up. */
constexpr std::size_t kPriorFirstBucket = 5;
/** Mean length of a gap as a fraction of its bucket's upper bound. */
constexpr double kMeanPositionInBucket = 0.75;

double UpperBound(std::size_t bucket) {
  return kFirstBucketBound * std::exp2(static_cast<double>(bucket));
}

std::size_t BucketOf(Seconds gap) {
  std::size_t bucket = 0;
  while (bucket + 1 < ArrivalHistory::kBuckets &&
         UpperBound(bucket) < gap.count()) {
    ++bucket;
  }
  return bucket;
}

double PriorGapsIn(std::size_t bucket) {
  if (bucket < kPriorFirstBucket) return 0;
  return kPriorGaps / (ArrivalHistory::kBuckets - kPriorFirstBucket);
}

/** Weighted number of gaps in the bucket, prior included. */
double GapsIn(const ArrivalHistory& history, std::size_t bucket) {
  return history.gaps[bucket] + PriorGapsIn(bucket);
}

double CallersIn(const ArrivalHistory& history, std::size_t bucket) {
  return history.callers[bucket] + PriorGapsIn(bucket);
}

void StartGroup(ArrivalHistory& history, Seconds gap, core::SteadyTime now) {
  for (double& count : history.gaps) count *= kGapDecay;
  for (double& count : history.callers) count *= kGapDecay;
  history.total = history.total * kGapDecay + 1;
  history.group_start = now;
  history.group_bucket = BucketOf(gap);
  history.gaps[history.group_bucket] += 1;
}

}  // namespace

void RecordArrival(ArrivalHistory& history, core::SteadyTime now) {
  const auto last = history.last_arrival;
  history.last_arrival = now;
  if (!last.has_value()) return;
  const bool in_group = now - history.group_start.value_or(*last) < kGroupSpan;
  if (!in_group) StartGroup(history, now - *last, now);
  // The first group has no gap before it that its arrivals could be counted
  // for.
  if (history.group_start.has_value()) {
    history.callers[history.group_bucket] += 1;
  }
}

std::chrono::milliseconds KeepAliveTime(const ArrivalHistory& history,
                                        const CostWeights& weights,
                                        std::chrono::milliseconds load_time) {
  const double cold_cost = weights.cold_start * Seconds(load_time).count();
  double later_gaps = 0;
  double later_callers = 0;
  for (std::size_t i = 0; i < ArrivalHistory::kBuckets; ++i) {
    later_gaps += GapsIn(history, i);
    later_callers += CallersIn(history, i);
  }
  double held = 0;
  double best_cost = later_callers * cold_cost;
  double best = 0;
  for (std::size_t i = 0; i < ArrivalHistory::kBuckets; ++i) {
    later_gaps -= GapsIn(history, i);
    later_callers -= CallersIn(history, i);
    held += GapsIn(history, i) * UpperBound(i) * kMeanPositionInBucket;
    const double idle = held + std::max(later_gaps, 0.0) * UpperBound(i);
    const double cost = later_callers * cold_cost + weights.idle * idle;
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = UpperBound(i);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(Seconds(best));
}

double ReloadCost(const ArrivalHistory& history, const CostWeights& weights,
                  std::chrono::milliseconds load_time,
                  std::chrono::milliseconds idle,
                  std::chrono::milliseconds horizon) {
  const double from = Seconds(idle).count();
  const double until = Seconds(idle + horizon).count();
  double open = 0;
  double callers = 0;
  for (std::size_t i = 0; i < ArrivalHistory::kBuckets; ++i) {
    const double high = UpperBound(i);
    const double low = i == 0 ? 0 : UpperBound(i - 1);
    if (high <= from) continue;
    const double part = (high - std::max(low, from)) / (high - low);
    open += GapsIn(history, i) * part;
    if (until <= low) continue;
    const double within = std::min(high, until) - std::max(low, from);
    callers += CallersIn(history, i) * within / (high - low);
  }
  if (open <= 0) return 0;
  return callers / open * weights.cold_start * Seconds(load_time).count();
}

std::vector<std::size_t> ReplicasToUnload(std::span<const LoadedReplica> held) {
  const bool kept = std::ranges::any_of(held, [](const LoadedReplica& it) {
    return it.running > 0 || it.idle < it.keep_alive;
  });
  std::vector<std::size_t> unload;
  for (std::size_t i = 0; !kept && i < held.size(); ++i) unload.push_back(i);
  return unload;
}

CostWeights CostWeightsPerReplica(const CostWeights& weights,
                                  std::size_t replicas) {
  const auto sharers = static_cast<double>(std::max<std::size_t>(replicas, 1));
  return {.cold_start = weights.cold_start, .idle = weights.idle / sharers};
}

}  // namespace sapphire::policy
