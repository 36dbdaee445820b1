/** @file quota_coordinator_base.h The buckets of quotas that an entry
 * coordinates. */
#ifndef SAPPHIRE_QUOTA_QUOTA_COORDINATOR_BASE_H_
#define SAPPHIRE_QUOTA_QUOTA_COORDINATOR_BASE_H_

#include <cstdint>
#include <map>

#include "core/clock_base.h"
#include "quota/quota_type.h"
#include "quota/usage_table_base.h"

namespace sapphire::quota {

/** By which right an entry coordinates. */
struct Mandate {
  /** Part of the inflow that it may hand out, 0 to 1. */
  double share = 1;
  /** Changes when another entry may have coordinated in between. */
  std::int64_t generation = 0;
};

/** One bucket a quota. One thread. */
class QuotaCoordinator {
 public:
  /** @pre `usage` and `clock` outlive it. */
  QuotaCoordinator(const QuotaRules& rules, UsageTable& usage,
                   const core::Clock& clock);

  /**
   * Takes `cost` from the bucket of the quota.
   * @param limit Adopted unless a newer configuration's is known.
   * @param wait How long the request may be delayed.
   */
  QuotaDecision Take(const QuotaId& id, const SharedLimit& limit, double cost,
                     const Mandate& mandate, milliseconds wait);

  /** Gives back what a request did not use. */
  void GiveBack(const QuotaId& id, double cost);

  /** Drops buckets that nobody has asked for in a while. */
  void Forget();

  /** @return Part of the window's limit that all have used; 0 if the quota is
   * not known here. */
  [[nodiscard]] double UsedPart(const QuotaId& id) const;

  /** @return Units in the bucket; 0 if there is none. */
  [[nodiscard]] double LevelOf(const QuotaId& id) const;

 private:
  struct State {
    SharedLimit limit;
    /** Spreads the use over the window. */
    TokenBucket bucket;
    /** When the next request that is denied may come back. */
    core::SteadyTime next_offer;
    core::SteadyTime asked_at;
    std::int64_t generation = 0;
  };

  State& StateOf(const QuotaId& id, const SharedLimit& limit,
                 const Mandate& mandate);
  [[nodiscard]] double WindowLimit(const State& state) const;
  [[nodiscard]] BucketLimit PaceOf(const State& state) const;
  [[nodiscard]] double FirstLevel(const State& state) const;
  milliseconds Offer(const QuotaId& id, State& state, double cost,
                     core::SteadyTime now);

  const QuotaRules rules_;
  /** Bounds the use in the window. */
  UsageTable& usage_;
  const core::Clock& clock_;
  std::map<QuotaId, State> states_;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_QUOTA_COORDINATOR_BASE_H_
