/** @file keep_alive_test.cc Tests keep-alive times against the best choice in
 * hindsight. */
#define BOOST_TEST_MODULE keep_alive
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "policy/keep_alive_func.h"

namespace sapphire::policy {
namespace {

using std::chrono::milliseconds;

constexpr CostWeights kWeights{.cold_start = 20, .idle = 1};
constexpr milliseconds kLoad{4000};

/** @return Gaps between one model's requests: short ones within a session and
 * long ones between sessions. */
std::vector<double> RandomGaps(std::mt19937_64& random) {
  std::exponential_distribution<double> unit(1);
  const double thinks = std::exp2(4 + static_cast<double>(random() % 4));
  const double rests = std::exp2(7 + static_cast<double>(random() % 7));
  const double part = static_cast<double>(random() % 10) / 10;
  std::vector<double> gaps;
  for (int i = 0; i < 600; ++i) {
    const bool short_one = std::generate_canonical<double, 53>(random) < part;
    gaps.push_back(9 + unit(random) * (short_one ? thinks : rests));
  }
  return gaps;
}

/** @return The cost of a fixed keep-alive time over these gaps. */
double CostOf(const std::vector<double>& gaps, double keep) {
  double cost = 0;
  for (const double gap : gaps) {
    cost += kWeights.idle * std::min(gap, keep);
    if (gap > keep) cost += kWeights.cold_start * 4.0;
  }
  return cost;
}

double BestCost(const std::vector<double>& gaps) {
  double best = CostOf(gaps, 0);
  for (const double gap : gaps) best = std::min(best, CostOf(gaps, gap));
  return best;
}

BOOST_AUTO_TEST_CASE(IsCloseToTheBestFixedTimeInHindsight) {
  double chosen_sum = 0;
  double best_sum = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    const auto gaps = RandomGaps(random);
    ArrivalHistory history;
    core::SteadyTime now{};
    RecordArrival(history, now);
    for (const double gap : gaps) {
      now += milliseconds(static_cast<std::int64_t>(gap * 1000));
      RecordArrival(history, now);
    }
    const auto keep = KeepAliveTime(history, kWeights, kLoad);
    const double cost =
        CostOf(gaps, std::chrono::duration<double>(keep).count());
    const double best = BestCost(gaps);
    // Keeping a replica until its idle cost reaches the cost of one cold start
    // is never worse than twice the best choice for each gap; a choice by
    // history must not do worse than that.
    BOOST_TEST(cost <= 2 * best, "seed " << seed);
    chosen_sum += cost;
    best_sum += best;
  }
  BOOST_TEST(chosen_sum <= 1.1 * best_sum);
}

BOOST_AUTO_TEST_CASE(GroupsOfCallersExtendTheKeepAlive) {
  ArrivalHistory alone;
  ArrivalHistory groups;
  for (int i = 0; i < 50; ++i) {
    const core::SteadyTime start{std::chrono::seconds(200 * i)};
    RecordArrival(alone, start);
    for (int j = 0; j < 10; ++j) {
      RecordArrival(groups, start + milliseconds(100 * j));
    }
  }
  BOOST_TEST(KeepAliveTime(alone, kWeights, kLoad).count() < 200'000);
  BOOST_TEST(KeepAliveTime(groups, kWeights, kLoad).count() >= 200'000);
}

BOOST_AUTO_TEST_CASE(ReloadCostGrowsWithTheHorizonUpToOneColdStart) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    ArrivalHistory history;
    core::SteadyTime now{};
    for (const double gap : RandomGaps(random)) {
      now += milliseconds(static_cast<std::int64_t>(gap * 1000));
      RecordArrival(history, now);
    }
    double last = 0;
    for (int seconds = 1; seconds < 100'000; seconds *= 2) {
      const double cost = ReloadCost(history, kWeights, kLoad, milliseconds(0),
                                     std::chrono::seconds(seconds));
      BOOST_TEST(cost >= last);
      last = cost;
    }
    BOOST_TEST(last <= kWeights.cold_start * 4.0 * 1.01);
  }
}

BOOST_AUTO_TEST_CASE(ReplicasOfAnAcceleratorAreUnloadedTogether) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<LoadedReplica> held(seed % 5);
    bool wanted = false;
    for (LoadedReplica& replica : held) {
      replica.running = random() % 4 == 0 ? 1 : 0;
      replica.idle = milliseconds(random() % 100);
      replica.keep_alive = milliseconds(random() % 60);
      wanted = wanted || replica.running == 1;
      wanted = wanted || replica.idle < replica.keep_alive;
    }
    const auto unload = ReplicasToUnload(held);
    BOOST_TEST(unload.size() == (wanted ? 0 : held.size()));
  }
}

}  // namespace
}  // namespace sapphire::policy
