/** @file repeat_budget_test.cc Tests the limit of repeats. */
#define BOOST_TEST_MODULE repeat_budget
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "policy/repeat_budget_base.h"

namespace sapphire::policy {

namespace {

constexpr RepeatLimits kLimits{0.2, 56, std::chrono::seconds(10)};

}  // namespace

/**
 * Half of a service's engines fail every request. Without a limit, every entry
 * would send each of its requests again and overload the remaining engines.
 * With five entries that receive 8 requests a second each, there must never be
 * more than 0.2 x requests + 56 repeats in any ten seconds.
 */
BOOST_AUTO_TEST_CASE(EntriesTogetherKeepTheLimitInEveryWindow) {
  constexpr int kEntries = 5;
  core::ManualClock clock;
  clock.Advance(std::chrono::seconds(100));
  std::vector<RepeatBudget> entries(kEntries, RepeatBudget(kLimits, clock));
  std::vector<core::SteadyTime> repeats;
  for (int tick = 0; tick < 400; ++tick) {
    clock.Advance(std::chrono::milliseconds(125));
    for (RepeatBudget& entry : entries) {
      entry.CountRequest();
      if (entry.TakeRepeat(kEntries, 0)) repeats.push_back(clock.Now());
    }
    const auto recent = std::count_if(
        repeats.begin(), repeats.end(), [&clock](core::SteadyTime it) {
          return it >= clock.Now() - kLimits.window;
        });
    const int requests = std::min(tick + 1, 80) * kEntries;
    BOOST_REQUIRE_LE(static_cast<double>(recent), 0.2 * requests + 56);
  }
  BOOST_TEST(repeats.size() > 100);
}

BOOST_AUTO_TEST_CASE(OptionalRepeatsLeaveTheReserve) {
  core::ManualClock clock;
  clock.Advance(std::chrono::seconds(100));
  RepeatBudget budget(kLimits, clock);
  int taken = 0;
  while (budget.TakeRepeat(1, 0.5)) ++taken;
  BOOST_TEST(taken == 21);
  BOOST_TEST(budget.TakeRepeat(1, 0));
}

}  // namespace sapphire::policy
