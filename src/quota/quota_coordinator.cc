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
constexpr std::chrono::minutes kKeptIdle{1};
/** Longest time until a denied request may be retried. */
constexpr milliseconds kLongestOffer{10'000};
/** Entries cache a denial and send no requests for a short time. The bucket is
 * larger than the burst by the units that accrue in this time, so that they are
 * not lost. */
constexpr milliseconds kUnasked{250};

}  // namespace

QuotaCoordinator::QuotaCoordinator(const QuotaRules& rules, UsageTable& usage,
                                   const core::Clock& clock)
    : rules_(rules), usage_(usage), clock_(clock) {}

double QuotaCoordinator::WindowLimit(const State& state) const {
  const BucketLimit& limit = state.limit.limit;
  return limit.per_second * Seconds(rules_.window).count() + limit.burst;
}

/** @return A limit whose rate uses up the window's limit exactly at the end of
 * the window. */
BucketLimit QuotaCoordinator::PaceOf(const State& state) const {
  const double pace = WindowLimit(state) / Seconds(rules_.window).count();
  return {pace, state.limit.limit.burst + pace * Seconds(kUnasked).count()};
}

QuotaDecision QuotaCoordinator::Take(const QuotaId& id,
                                     const SharedLimit& limit, double cost,
                                     const Mandate& mandate,
                                     milliseconds wait) {
  const core::SteadyTime now = clock_.Now();
  State& state = StateOf(id, limit, mandate);
  state.asked_at = now;
  BucketLimit pace = PaceOf(state);
  pace.per_second *= std::clamp(mandate.share, 0.0, 1.0);
  Fill(state.bucket, pace, now);
  QuotaDecision decision;
  decision.delay = DebtTime(state.bucket, pace);
  decision.granted =
      decision.delay <= wait && usage_.Sum(id) < WindowLimit(state);
  if (decision.granted) {
    state.bucket.level -= cost;
    usage_.NoteGranted(id, cost);
  } else {
    decision.delay = Offer(id, state, cost, now);
  }
  return decision;
}

/** @return Initial level of a new bucket: only a part of the tolerated excess,
 * as several entries may coordinate the quota within one window. */
double QuotaCoordinator::FirstLevel(const State& state) const {
  constexpr double kPart = 0.25;
  const double borne = rules_.excess * WindowLimit(state) + rules_.slack;
  return std::min(kPart * borne, state.limit.limit.burst);
}

/** Returns the state of the quota, created if needed. If the generation has
 * changed, another entry may have granted the burst, so that a bucket with
 * units left is emptied. */
QuotaCoordinator::State& QuotaCoordinator::StateOf(const QuotaId& id,
                                                   const SharedLimit& limit,
                                                   const Mandate& mandate) {
  const core::SteadyTime now = clock_.Now();
  const auto [it, is_new] = states_.try_emplace(id);
  State& state = it->second;
  if (is_new || limit.version > state.limit.version) state.limit = limit;
  const bool changed = mandate.generation != state.generation;
  state.generation = mandate.generation;
  if (is_new || changed) {
    state.bucket.level =
        is_new ? FirstLevel(state) : std::min(state.bucket.level, 0.0);
    state.bucket.filled_at = now;
  }
  return state;
}

/** Spreads the retries of denied requests over time, in the order of the
 * denials.
 * @return When to retry this request. */
milliseconds QuotaCoordinator::Offer(const QuotaId& id, State& state,
                                     double cost, core::SteadyTime now) {
  const BucketLimit pace = PaceOf(state);
  const milliseconds wait =
      std::max(DebtTime(state.bucket, pace),
               usage_.TimeUntilBelow(id, WindowLimit(state)));
  const core::SteadyTime offer =
      std::min(std::max(state.next_offer, now + wait), now + kLongestOffer);
  const auto step =
      std::min<Seconds>(Seconds(cost / pace.per_second), kLongestOffer);
  state.next_offer =
      offer + std::chrono::duration_cast<core::SteadyTime::duration>(step);
  return std::chrono::ceil<milliseconds>(offer - now);
}

void QuotaCoordinator::GiveBack(const QuotaId& id, double cost) {
  const auto it = states_.find(id);
  if (it == states_.end()) return;
  State& state = it->second;
  state.bucket.level =
      std::min(state.bucket.level + cost, state.limit.limit.burst);
  usage_.NoteGivenBack(id, cost);
}

void QuotaCoordinator::Forget() {
  const core::SteadyTime now = clock_.Now();
  std::erase_if(states_, [now](const auto& it) {
    return now - it.second.asked_at >= kKeptIdle;
  });
}

double QuotaCoordinator::UsedPart(const QuotaId& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? 0 : usage_.Sum(id) / WindowLimit(it->second);
}

double QuotaCoordinator::LevelOf(const QuotaId& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? 0 : it->second.bucket.level;
}

}  // namespace sapphire::quota
