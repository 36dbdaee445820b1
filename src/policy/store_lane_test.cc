/** @file store_lane_test.cc Tests lanes and rate limit against a simulated
 * weight store. */
#define BOOST_TEST_MODULE store_lane
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/store_lane_func.h"

namespace sapphire::policy {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEndpoints = 12;

core::SteadyTime At(std::int64_t ms) {
  return core::SteadyTime(milliseconds(ms));
}

/** Holds the bids and counts the loads of a weight store in virtual time. */
struct SimulatedStore {
  StoreLimits limits;
  std::vector<LoadBid> bids;
  std::vector<core::SteadyTime> starts;
  std::vector<core::SteadyTime> ends;

  StoreUse Use(core::SteadyTime now) {
    std::erase_if(ends, [&](core::SteadyTime end) { return end <= now; });
    return {.loading = static_cast<int>(ends.size()), .starts = starts};
  }
};

void CheckGrant(SimulatedStore& store,
                const std::vector<std::size_t>& granted) {
  core::SteadyTime latest{};
  for (const std::size_t i : granted) {
    latest = std::max(latest, store.bids[i].deadline);
    if (store.bids[i].caller_waits) continue;
    BOOST_TEST(store.ends.size() + granted.size() <
               static_cast<std::size_t>(store.limits.loads_at_once));
  }
  const bool prewarms = std::ranges::any_of(
      granted, [&](std::size_t i) { return !store.bids[i].caller_waits; });
  for (std::size_t i = 0; i < store.bids.size(); ++i) {
    if (std::ranges::count(granted, i) > 0 || granted.empty()) continue;
    if (!store.bids[i].caller_waits) continue;
    BOOST_TEST(!prewarms);
    BOOST_TEST((store.bids[i].deadline >= latest));
  }
}

void CheckRate(const SimulatedStore& store) {
  for (const core::SteadyTime start : store.starts) {
    const auto within =
        std::ranges::count_if(store.starts, [&](core::SteadyTime other) {
          return other >= start && other - start < milliseconds(1000);
        });
    BOOST_TEST(static_cast<double>(within) <=
               std::max(1.0, store.limits.loads_per_second));
  }
}

BOOST_AUTO_TEST_CASE(GrantsStayWithinLimitsInDeadlineOrder) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedStore store;
    store.limits.loads_per_second = static_cast<double>(1 + seed % 4);
    for (std::int64_t ms = 0; ms < 60'000; ms += 50) {
      if (random() % 8 == 0) {
        store.bids.push_back(
            {.vm = core::VmId(std::to_string(ms)),
             .model = {},
             .deadline = At(ms + static_cast<std::int64_t>(random() % 20'000)),
             .caller_waits = random() % 4 != 0});
      }
      const auto use = store.Use(At(ms));
      auto granted = GrantLanes(store.bids, store.limits, use, At(ms));
      CheckGrant(store, granted);
      std::ranges::sort(granted, std::ranges::greater{});
      for (const std::size_t i : granted) {
        store.starts.push_back(At(ms));
        store.ends.push_back(At(ms + 500 + static_cast<int>(random() % 4000)));
        store.bids.erase(store.bids.begin() + static_cast<std::ptrdiff_t>(i));
      }
      BOOST_TEST(store.Use(At(ms)).loading <= store.limits.loads_at_once);
    }
    CheckRate(store);
    BOOST_TEST(store.starts.size() > 20U, "seed " << seed);
  }
}

// The key-value service is down, so no endpoint sees another's bids, and each
// loads as soon as its own share allows. If the shares added up to more than
// the store's rate, all loads in the fleet would slow down.
BOOST_AUTO_TEST_CASE(FixedSharesAddUpToTheRate) {
  const StoreLimits limits;
  std::size_t loads = 0;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    std::optional<core::SteadyTime> last;
    for (std::int64_t ms = 0; ms < 600'000; ms += 10) {
      if (FixedShareDelay(limits, kEndpoints, last, At(ms)).count() > 0) {
        continue;
      }
      last = At(ms);
      ++loads;
    }
  }
  BOOST_TEST(static_cast<double>(loads) <=
             limits.loads_per_second * 600 + kEndpoints);
  BOOST_TEST(static_cast<double>(loads) >= limits.loads_per_second * 590);
}

}  // namespace
}  // namespace sapphire::policy
