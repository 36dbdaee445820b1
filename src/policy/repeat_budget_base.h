/** @file repeat_budget_base.h Limits how often requests are sent again. */
#ifndef SAPPHIRE_POLICY_REPEAT_BUDGET_BASE_H_
#define SAPPHIRE_POLICY_REPEAT_BUDGET_BASE_H_

#include <chrono>
#include <deque>

#include "core/clock_base.h"

namespace sapphire::policy {

/** Limits of the repeats (sends after the first one of each request) of all
 * entries together. */
struct RepeatLimits {
  /** Repeats allowed per request within the window. */
  double ratio = 0.2;
  /** Additional repeats within the window, for all entries together. */
  double extra = 50;
  std::chrono::milliseconds window{10'000};
};

/**
 * One entry's share of the repeats to one service.
 *
 * This guards against entries that send requests again after engine failures
 * and overload the remaining engines. All entries share one limit. Asking each
 * other before each repeat would cost a call each, so every entry keeps to its
 * own share: the ratio of its own requests and an even part of the extra
 * repeats. The shares add up to the limit without any communication between
 * entries.
 */
class RepeatBudget {
 public:
  /** @pre `clock` outlives the budget. */
  RepeatBudget(RepeatLimits limits, const core::Clock& clock);

  void SetLimits(const RepeatLimits& limits) { limits_ = limits; }

  /** Counts a request of a caller. */
  void CountRequest();

  /**
   * @param entries Number of entries that share the extra repeats.
   * @param reserve Fraction of the budget to leave unused, 0 to 1; set for
   *   optional repeats.
   * @return True if one more repeat is allowed; it is then counted.
   */
  bool TakeRepeat(int entries, double reserve);

 private:
  void DropExpired();

  RepeatLimits limits_;
  const core::Clock& clock_;
  std::deque<core::SteadyTime> requests_;
  std::deque<core::SteadyTime> repeats_;
};

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_REPEAT_BUDGET_BASE_H_
