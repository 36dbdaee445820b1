/** @file quota_coordinator_base.h Grants units of the quotas that an entry
 * coordinates. */
#ifndef SAPPHIRE_QUOTA_QUOTA_COORDINATOR_BASE_H_
#define SAPPHIRE_QUOTA_QUOTA_COORDINATOR_BASE_H_

#include <cstdint>
#include <map>

#include "core/clock_base.h"
#include "quota/quota_type.h"
#include "quota/usage_table_base.h"

namespace sapphire::quota {

/** How much of a quota an entry may grant as coordinator. */
struct CoordinatorScope {
  /** Fraction of the rate that it may grant, 0 to 1. */
  double fraction = 1;
  /** Changes when another entry may have coordinated in the meantime. */
  std::int64_t generation = 0;
};

/** Keeps one token bucket per quota. Not thread-safe. */
class QuotaCoordinator {
 public:
  /** @pre `usage` and `clock` outlive the coordinator. */
  QuotaCoordinator(const QuotaRules& rules, UsageTable& usage,
                   const core::Clock& clock);

  /**
   * Takes `cost` units from the quota's bucket.
   * @param limit Replaces the known limit if its version is higher.
   * @param wait Longest time that the request may be delayed.
   */
  QuotaDecision Take(const QuotaId& id, const SharedLimit& limit, double cost,
                     const CoordinatorScope& scope, milliseconds wait);

  /** Returns units that a request took but did not use. */
  void GiveBack(const QuotaId& id, double cost);

  /** Removes buckets that had no request for a minute. */
  void Forget();

  /** @return Fraction of the window's limit that all entries have used; 0 if
   * the quota has no bucket here. */
  [[nodiscard]] double UsedFraction(const QuotaId& id) const;

  /** @return Units in the quota's bucket; 0 if it has none. */
  [[nodiscard]] double LevelOf(const QuotaId& id) const;

 private:
  struct QuotaState {
    SharedLimit limit;
    /** Spreads the grants over the window. */
    TokenBucket bucket;
    /** When the next denied request may be retried. */
    core::SteadyTime next_retry;
    core::SteadyTime last_request;
    std::int64_t generation = 0;
  };

  QuotaState& StateOf(const QuotaId& id, const SharedLimit& limit,
                      const CoordinatorScope& scope);
  [[nodiscard]] double WindowLimit(const QuotaState& state) const;
  [[nodiscard]] BucketLimit PacingLimit(const QuotaState& state) const;
  [[nodiscard]] double InitialLevel(const QuotaState& state) const;
  milliseconds ReserveRetryTime(const QuotaId& id, QuotaState& state,
                                double cost, core::SteadyTime now);

  const QuotaRules rules_;
  /** Use by all entries, which bounds the grants in the window. */
  UsageTable& usage_;
  const core::Clock& clock_;
  std::map<QuotaId, QuotaState> states_;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_QUOTA_COORDINATOR_BASE_H_
