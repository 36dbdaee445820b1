/** @file repeat_budget.cc Limits how often requests are sent again. */
#include <algorithm>

#include "policy/repeat_budget_base.h"

namespace sapphire::policy {

namespace {

/** Fraction of the limit that is used: requests may reach engines a little
 * later than they are counted here, so the windows don't match exactly. */
constexpr double kUsableFraction = 0.75;

void DropBefore(std::deque<core::SteadyTime>& times, core::SteadyTime limit) {
  while (!times.empty() && times.front() < limit) times.pop_front();
}

}  // namespace

RepeatBudget::RepeatBudget(RepeatLimits limits, const core::Clock& clock)
    : limits_(limits), clock_(clock) {}

void RepeatBudget::CountRequest() {
  DropExpired();
  requests_.push_back(clock_.Now());
}

bool RepeatBudget::TakeRepeat(int entries, double reserve) {
  DropExpired();
  const double own_extra = limits_.extra / std::max(entries, 1);
  const double own_ratio =
      limits_.ratio * static_cast<double>(requests_.size());
  const double allowed =
      kUsableFraction * (own_extra + own_ratio) * (1.0 - reserve);
  if (static_cast<double>(repeats_.size()) + 1 > allowed) return false;
  repeats_.push_back(clock_.Now());
  return true;
}

void RepeatBudget::DropExpired() {
  const core::SteadyTime limit = clock_.Now() - limits_.window;
  DropBefore(requests_, limit);
  DropBefore(repeats_, limit);
}

}  // namespace sapphire::policy
