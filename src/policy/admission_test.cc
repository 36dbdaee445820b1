/** @file admission_test.cc Tests owner shares, queue admission, retry budgets
 * and the order of load bids. */
#define BOOST_TEST_MODULE admission
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/admission_func.h"

namespace sapphire::policy {
namespace {

constexpr int kSlots = 9;

core::SteadyTime At(std::int64_t ms) {
  return core::SteadyTime(std::chrono::milliseconds(ms));
}

core::OwnerId Owner(std::uint64_t n) {
  return core::OwnerId("owner-" + std::to_string(n));
}

std::vector<QueuedRequest> RandomQueue(std::mt19937_64& random, int size,
                                       int owners) {
  std::vector<QueuedRequest> queue(static_cast<std::size_t>(size));
  for (QueuedRequest& request : queue) {
    request.owner = Owner(random() % static_cast<std::uint64_t>(owners));
    request.priority = static_cast<int>(random() % 3);
    request.deadline = At(static_cast<std::int64_t>(random() % 50));
    request.arrived = At(static_cast<std::int64_t>(random() % 50));
  }
  return queue;
}

/** With one owner, requests are sorted by priority and then by deadline. */
BOOST_AUTO_TEST_CASE(OneOwnerIsServedByPriorityThenDeadline) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    const auto queue = RandomQueue(random, 1 + static_cast<int>(seed % 20), 1);
    const auto& picked = queue[PickNext(queue, {})];
    for (const QueuedRequest& other : queue) {
      const bool before = other.priority > picked.priority ||
                          (other.priority == picked.priority &&
                           other.deadline < picked.deadline);
      BOOST_TEST(!before, "seed " << seed);
    }
  }
}

// One owner sends many requests at the highest priority while two others send a
// few at normal priority. By priority alone, the others would wait until the
// first owner's requests are done, and their answers would be late.
BOOST_AUTO_TEST_CASE(HighPriorityDoesNotStarveOtherOwners) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::map<core::OwnerId, OwnerUse> owners = {
        {Owner(0), {}}, {Owner(1), {}}, {Owner(2), {}}};
    auto queue = RandomQueue(random, 60, 3);
    for (QueuedRequest& it : queue) it.priority = it.owner == Owner(0) ? 9 : 0;
    std::map<core::OwnerId, std::ptrdiff_t> waiting;
    for (const QueuedRequest& it : queue) ++waiting[it.owner];
    for (int i = 0; i < kSlots; ++i) {
      const auto next = PickNext(queue, owners);
      ++owners[queue[next].owner].running;
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(next));
    }
    for (const auto& [owner, use] : owners) {
      const auto fair = std::min<std::ptrdiff_t>(kSlots / 3, waiting[owner]);
      BOOST_TEST(use.running >= fair, "seed " << seed << " " << owner.value());
    }
  }
}

BOOST_AUTO_TEST_CASE(UnusedSharesAreLentToOtherOwners) {
  std::map<core::OwnerId, OwnerUse> owners = {
      {Owner(0), {.running = 50, .share = 0.1}}, {Owner(1), {}}};
  std::mt19937_64 random(1);
  const auto queue = RandomQueue(random, 3, 1);
  BOOST_TEST(PickNext(queue, owners) < queue.size());
}

BOOST_AUTO_TEST_CASE(OneOwnerCannotFillTheQueue) {
  const std::map<core::OwnerId, OwnerUse> owners = {{Owner(0), {}},
                                                    {Owner(1), {}}};
  QueueUse use{.max_queue = 100, .waiting = {}};
  while (!CheckQueueAdmission(use, Owner(0), owners).has_value()) {
    ++use.waiting[Owner(0)];
  }
  BOOST_TEST(use.waiting[Owner(0)] == 50);
  BOOST_TEST((CheckQueueAdmission(use, Owner(0), owners) ==
              core::ErrorCode::kOverShare));
  int others = 0;
  while (!CheckQueueAdmission(use, Owner(1), owners).has_value()) {
    ++use.waiting[Owner(1)];
    ++others;
  }
  BOOST_TEST(others == 25);
}

BOOST_AUTO_TEST_CASE(RetriesStayAFractionOfFirstTries) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    RetryBudget budget;
    int tries = 0;
    int retries = 0;
    for (int i = 0; i < 2000; ++i) {
      RecordFirstTry(budget);
      ++tries;
      // Every try fails and wants up to three retries.
      for (std::uint64_t j = random() % 4; j > 0; --j) {
        if (TakeRetry(budget)) ++retries;
      }
    }
    BOOST_TEST(retries <= 10 + 0.1 * tries + 1);
    BOOST_TEST(retries >= 0.09 * tries);
  }
}

BOOST_AUTO_TEST_CASE(BidOrderDoesNotDependOnInputOrder) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<LoadBid> bids(seed % 12);
    for (std::size_t i = 0; i < bids.size(); ++i) {
      bids[i].vm = core::VmId(std::to_string(i));
      bids[i].deadline = At(static_cast<std::int64_t>(random() % 5));
      bids[i].caller_waits = random() % 2 == 0;
    }
    const auto names = [](std::span<const LoadBid> from) {
      std::vector<core::VmId> ordered;
      for (const std::size_t i : OrderBids(from)) ordered.push_back(from[i].vm);
      return ordered;
    };
    const auto before = names(bids);
    std::ranges::shuffle(bids, random);
    BOOST_TEST((names(bids) == before), "seed " << seed);
    const auto order = OrderBids(bids);
    for (std::size_t i = 1; i < order.size(); ++i) {
      const LoadBid& a = bids[order[i - 1]];
      const LoadBid& b = bids[order[i]];
      BOOST_TEST(a.caller_waits >= b.caller_waits);
      if (a.caller_waits == b.caller_waits) {
        BOOST_TEST((a.deadline <= b.deadline));
      }
    }
  }
}

}  // namespace
}  // namespace sapphire::policy
