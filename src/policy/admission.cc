/** @file admission.cc Implements queue order, queue admission, retry budgets
 * and the order of load bids. */
#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

#include "policy/admission_func.h"

namespace sapphire::policy {

namespace {

constexpr double kMinShare = 1e-6;

/** Usage and share of the owners with running or queued requests. */
struct ActiveOwners {
  std::map<core::OwnerId, OwnerUse> use;
  double running = 0;
  double shares = 0;
};

double ShareOf(const OwnerUse& use) { return std::max(use.share, kMinShare); }

ActiveOwners ActiveAmong(std::span<const QueuedRequest> queue,
                         const std::map<core::OwnerId, OwnerUse>& owners) {
  ActiveOwners active;
  for (const QueuedRequest& request : queue) active.use[request.owner];
  for (const auto& [owner, use] : owners) {
    const bool waits = active.use.contains(owner);
    if (waits || use.running > 0) active.use[owner] = use;
  }
  for (const auto& [owner, use] : active.use) {
    active.running += use.running;
    active.shares += ShareOf(use);
  }
  return active;
}

/** @return True if one more request would put the owner above its share. */
bool IsOverShare(const OwnerUse& use, const ActiveOwners& active) {
  const double fair = (active.running + 1) * ShareOf(use) / active.shares;
  return use.running + 1 > std::ceil(fair);
}

}  // namespace

std::size_t PickNext(std::span<const QueuedRequest> queue,
                     const std::map<core::OwnerId, OwnerUse>& owners) {
  const ActiveOwners active = ActiveAmong(queue, owners);
  const auto rank = [&](const QueuedRequest& request) {
    const OwnerUse& use = active.use.at(request.owner);
    return std::make_tuple(IsOverShare(use, active), -request.priority,
                           use.running / ShareOf(use), request.deadline,
                           request.arrived);
  };
  const auto first = std::ranges::min_element(queue, std::ranges::less{}, rank);
  return static_cast<std::size_t>(first - queue.begin());
}

std::optional<core::ErrorCode> CheckQueueAdmission(
    const QueueUse& use, const core::OwnerId& owner,
    const std::map<core::OwnerId, OwnerUse>& owners) {
  int total = 0;
  for (const auto& [name, waiting] : use.waiting) total += waiting;
  if (total >= use.max_queue) return core::ErrorCode::kQueueFull;
  if (total < use.max_queue / 2) return std::nullopt;
  double shares = 0;
  for (const auto& [name, entry] : owners) shares += ShareOf(entry);
  const auto own = owners.find(owner);
  const double share = own == owners.end() ? 1.0 : ShareOf(own->second);
  if (own == owners.end()) shares += share;
  const auto waiting = use.waiting.find(owner);
  const int held = waiting == use.waiting.end() ? 0 : waiting->second;
  const double place = use.max_queue / 2.0 * share / shares;
  if (held + 1 <= place) return std::nullopt;
  return core::ErrorCode::kOverShare;
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
