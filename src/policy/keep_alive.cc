/** @file keep_alive.cc How long an idle replica stays loaded. */
#include <algorithm>
#include <cmath>

#include "policy/keep_alive_func.h"

namespace sapphire::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/** Buckets per second of the first bound: bucket 0 ends at 1/16 s. */
constexpr double kFirstBound = 1.0 / 16;
/** Gaps this short fall within a burst: the replica is busy, not idle. */
constexpr Seconds kBurstGap{1.0};
/** What a gap still counts after the next one. */
constexpr double kDecay = 0.95;
/** Weight of the prior: one gap of unknown length, spread over all buckets. */
constexpr double kPriorGaps = 1.0;
/** Mean position of a gap within its bucket, as part of the upper bound. */
constexpr double kMeanInBucket = 0.75;

Seconds UpperBound(std::size_t bucket) {
  return Seconds(kFirstBound * std::exp2(static_cast<double>(bucket)));
}

std::size_t BucketOf(Seconds gap) {
  std::size_t bucket = 0;
  while (bucket + 1 < ArrivalHistory::kBuckets && UpperBound(bucket) < gap) {
    ++bucket;
  }
  return bucket;
}

}  // namespace

void RecordArrival(ArrivalHistory& history, core::SteadyTime now) {
  const auto last = history.last_arrival;
  history.last_arrival = now;
  if (!last.has_value()) return;
  const Seconds gap = now - *last;
  if (gap < kBurstGap) return;
  for (double& count : history.gaps) count *= kDecay;
  history.gaps[BucketOf(gap)] += 1;
  history.total = history.total * kDecay + 1;
}

std::chrono::milliseconds KeepAliveTime(const ArrivalHistory& history,
                                        const CostWeights& weights,
                                        std::chrono::milliseconds load_time) {
  const double cold_cost = weights.cold_start * Seconds(load_time).count();
  const double prior = kPriorGaps / ArrivalHistory::kBuckets;
  double missed = history.total + kPriorGaps;
  double held = 0;
  double best_cost = missed * cold_cost;
  Seconds best{0};
  for (std::size_t i = 0; i < ArrivalHistory::kBuckets; ++i) {
    const double count = history.gaps[i] + prior;
    const double bound = UpperBound(i).count();
    missed -= count;
    held += count * bound * kMeanInBucket;
    const double idle = held + std::max(missed, 0.0) * bound;
    const double cost = missed * cold_cost + weights.idle * idle;
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = Seconds(bound);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(best);
}

}  // namespace sapphire::policy
