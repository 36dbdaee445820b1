/** @file repeat_budget_base.h How often requests may be sent once more. */
#ifndef SAPPHIRE_POLICY_REPEAT_BUDGET_BASE_H_
#define SAPPHIRE_POLICY_REPEAT_BUDGET_BASE_H_

#include <chrono>
#include <deque>

#include "core/clock_base.h"

namespace sapphire::policy {

/** What all entries together may send beyond the first of each request. */
struct RepeatLimits {
  /** Repeats for each request, over the window. */
  double ratio = 0.2;
  /** Repeats on top, of all entries together. */
  double extra = 50;
  std::chrono::milliseconds window{10'000};
};

/**
 * One entry's part of the repeats to one service.
 *
 * The failure met: engines fail, each entry sends again, and the repeats bury
 * the engines that are left. All entries share one limit; asking each other
 * before a repeat would cost a call each, so every entry keeps to its own part:
 * the ratio of its own requests, and an even share of the extra. Each part
 * holds by itself, so the sum holds without a word between entries.
 */
class RepeatBudget {
 public:
  /** @pre `clock` outlives the budget. */
  RepeatBudget(RepeatLimits limits, const core::Clock& clock);

  void SetLimits(const RepeatLimits& limits) { limits_ = limits; }

  /** A request of a caller has come. */
  void CountRequest();

  /**
   * @param entries How many entries share the extra.
   * @param reserve Share of the budget to leave untouched, 0 to 1: for repeats
   *   that may be done without.
   * @return True, and counts it, if one more repeat is allowed.
   */
  bool TakeRepeat(int entries, double reserve);

 private:
  void Forget();

  RepeatLimits limits_;
  const core::Clock& clock_;
  std::deque<core::SteadyTime> requests_;
  std::deque<core::SteadyTime> repeats_;
};

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_REPEAT_BUDGET_BASE_H_
