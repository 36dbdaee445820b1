/** @file admission.cc Queue order, owners' shares, retry budgets. */
#include <algorithm>
#include <numeric>
#include <tuple>

#include "policy/admission_func.h"

namespace sapphire::policy {

namespace {

constexpr double kSmallestShare = 1e-6;

/** @return How much of its share an owner uses: smaller goes first. */
double UseOf(const core::OwnerId& owner,
             const std::map<core::OwnerId, OwnerUse>& owners) {
  const auto it = owners.find(owner);
  if (it == owners.end()) return 0;
  return it->second.running / std::max(it->second.share, kSmallestShare);
}

}  // namespace

std::size_t PickNext(std::span<const QueuedRequest> queue,
                     const std::map<core::OwnerId, OwnerUse>& owners) {
  const auto rank = [&](const QueuedRequest& request) {
    return std::make_tuple(-request.priority, UseOf(request.owner, owners),
                           request.deadline, request.arrived);
  };
  const auto first = std::ranges::min_element(queue, std::ranges::less{}, rank);
  return static_cast<std::size_t>(first - queue.begin());
}

void RecordFirstTry(RetryBudget& budget) {
  budget.tokens = std::min(budget.max_tokens, budget.tokens + budget.ratio);
}

bool TakeRetry(RetryBudget& budget) {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

std::vector<std::size_t> OrderBids(std::span<const LoadBid> bids) {
  std::vector<std::size_t> order(bids.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto rank = [&](std::size_t index) {
    const LoadBid& bid = bids[index];
    return std::tie(bid.deadline, bid.vm, bid.model);
  };
  std::ranges::sort(order, [&](std::size_t a, std::size_t b) {
    if (bids[a].caller_waits != bids[b].caller_waits) {
      return bids[a].caller_waits;
    }
    return rank(a) < rank(b);
  });
  return order;
}

}  // namespace sapphire::policy
