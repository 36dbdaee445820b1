/** @file quota_coordinator.cc Grants units of the quotas that an entry
 * coordinates. */
#include <algorithm>
#include <cmath>

#include "quota/quota_coordinator_base.h"
#include "quota/token_bucket_func.h"

namespace sapphire::quota {

namespace {

using Seconds = std::chrono::duration<double>;

/** Retention of a bucket after its last request. */
constexpr std::chrono::minutes kIdleRetention{1};
/** Longest time until a denied request may be retried. */
constexpr milliseconds kMaxRetryDelay{10'000};
/** Entries cache a denial and send no requests for a short time. The bucket is
 * larger than the burst by the units that accrue in this time, so that they are
 * not lost. */
constexpr milliseconds kDenialCacheAllowance{250};

}  // namespace

QuotaCoordinator::QuotaCoordinator(const QuotaRules& rules, UsageTable& usage,
                                   const core::Clock& clock)
    : rules_(rules), usage_(usage), clock_(clock) {}

double QuotaCoordinator::WindowLimit(const QuotaState& state) const {
  const BucketLimit& limit = state.limit.limit;
  return limit.per_second * Seconds(rules_.window).count() + limit.burst;
}

/** @return A limit whose rate uses up the window's limit exactly at the end of
 * the window. */
BucketLimit QuotaCoordinator::PacingLimit(const QuotaState& state) const {
  const double pace = WindowLimit(state) / Seconds(rules_.window).count();
  return {pace, state.limit.limit.burst +
                    pace * Seconds(kDenialCacheAllowance).count()};
}

QuotaDecision QuotaCoordinator::Take(const QuotaId& id,
                                     const SharedLimit& limit, double cost,
                                     const CoordinatorScope& scope,
                                     milliseconds wait) {
  const core::SteadyTime now = clock_.Now();
  QuotaState& state = StateOf(id, limit, scope);
  state.last_request = now;
  BucketLimit pace = PacingLimit(state);
  pace.per_second *= std::clamp(scope.fraction, 0.0, 1.0);
  Refill(state.bucket, pace, now);
  QuotaDecision decision;
  decision.delay = TimeUntilDebtPaid(state.bucket, pace);
  decision.granted =
      decision.delay <= wait && usage_.Sum(id) < WindowLimit(state);
  if (decision.granted) {
    state.bucket.level -= cost;
    usage_.RecordGrant(id, cost);
  } else {
    decision.delay = ReserveRetryTime(id, state, cost, now);
  }
  return decision;
}

/** @return Initial level of a new bucket: only a part of the tolerated excess,
 * as several entries may coordinate the quota within one window. */
double QuotaCoordinator::InitialLevel(const QuotaState& state) const {
  constexpr double kInitialFraction = 0.25;
  const double borne = rules_.excess * WindowLimit(state) + rules_.slack;
  return std::min(kInitialFraction * borne, state.limit.limit.burst);
}

/** Returns the state of the quota, created if needed. If the generation has
 * changed, another entry may have granted the burst, so that a bucket with
 * units left is emptied. */
QuotaCoordinator::QuotaState& QuotaCoordinator::StateOf(
    const QuotaId& id, const SharedLimit& limit,
    const CoordinatorScope& scope) {
  const core::SteadyTime now = clock_.Now();
  const auto [it, is_new] = states_.try_emplace(id);
  QuotaState& state = it->second;
  if (is_new || limit.version > state.limit.version) state.limit = limit;
  const bool changed = scope.generation != state.generation;
  state.generation = scope.generation;
  if (is_new || changed) {
    state.bucket.level =
        is_new ? InitialLevel(state) : std::min(state.bucket.level, 0.0);
    state.bucket.filled_at = now;
  }
  return state;
}

/** Spreads the retries of denied requests over time, in the order of the
 * denials.
 * @return When to retry this request. */
milliseconds QuotaCoordinator::ReserveRetryTime(const QuotaId& id,
                                                QuotaState& state, double cost,
                                                core::SteadyTime now) {
  const BucketLimit pace = PacingLimit(state);
  const milliseconds wait =
      std::max(TimeUntilDebtPaid(state.bucket, pace),
               usage_.TimeUntilBelow(id, WindowLimit(state)));
  const core::SteadyTime offer =
      std::min(std::max(state.next_retry, now + wait), now + kMaxRetryDelay);
  const auto step =
      std::min<Seconds>(Seconds(cost / pace.per_second), kMaxRetryDelay);
  state.next_retry =
      offer + std::chrono::duration_cast<core::SteadyTime::duration>(step);
  return std::chrono::ceil<milliseconds>(offer - now);
}

void QuotaCoordinator::GiveBack(const QuotaId& id, double cost) {
  const auto it = states_.find(id);
  if (it == states_.end()) return;
  QuotaState& state = it->second;
  state.bucket.level =
      std::min(state.bucket.level + cost, state.limit.limit.burst);
  usage_.RecordGiveBack(id, cost);
}

void QuotaCoordinator::Forget() {
  const core::SteadyTime now = clock_.Now();
  std::erase_if(states_, [now](const auto& it) {
    return now - it.second.last_request >= kIdleRetention;
  });
}

double QuotaCoordinator::UsedFraction(const QuotaId& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? 0 : usage_.Sum(id) / WindowLimit(it->second);
}

double QuotaCoordinator::LevelOf(const QuotaId& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? 0 : it->second.bucket.level;
}

}  // namespace sapphire::quota
