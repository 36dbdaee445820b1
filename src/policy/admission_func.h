/** @file admission_func.h Queue order, owners' shares, retry budgets. */
#ifndef SAPPHIRE_POLICY_ADMISSION_FUNC_H_
#define SAPPHIRE_POLICY_ADMISSION_FUNC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/id_type.h"

namespace sapphire::policy {

/** A request in a model's queue. */
struct QueuedRequest {
  core::RequestId id;
  core::OwnerId owner;
  /** Higher goes first. */
  int priority = 0;
  core::SteadyTime deadline;
  core::SteadyTime arrived;
};

/** Work in progress and decided share of each owner. */
struct OwnerUse {
  int running = 0;
  double share = 1.0;
};

/**
 * @return The index of the request to serve next: owners within their share
 *   before those over it, then highest priority, then the owner furthest below
 *   its share, then earliest deadline. Shares are counted among the owners that
 *   run or wait, so unused capacity is lent; priority never lets one owner
 *   starve another.
 * @pre `queue` is not empty.
 */
std::size_t PickNext(std::span<const QueuedRequest> queue,
                     const std::map<core::OwnerId, OwnerUse>& owners);

/** Requests that wait for one model, and how many may. */
struct QueueUse {
  int max_queue = 512;
  std::map<core::OwnerId, int> waiting;
};

/**
 * Decides whether one more request of `owner` may wait. Up to half of the queue
 * is open to all; in the other half each owner has a place for its share.
 * @return Why it is refused, or nothing.
 */
std::optional<core::ErrorCode> RefuseAtQueue(
    const QueueUse& use, const core::OwnerId& owner,
    const std::map<core::OwnerId, OwnerUse>& owners);

/** Retries allowed as a fraction of first tries, so that a failing fleet is
 * not buried under its own retries. */
struct RetryBudget {
  double tokens = 10;
  double max_tokens = 10;
  /** Tokens each first try adds. */
  double ratio = 0.1;
};

void RecordFirstTry(RetryBudget& budget);

/** @return True, and takes a token, if a retry is allowed. */
bool TakeRetry(RetryBudget& budget);

/** A model load that waits for the weight store. */
struct LoadBid {
  core::VmId vm;
  core::ModelId model;
  core::SteadyTime deadline;
  /** False: prewarming, which waits behind every caller. */
  bool caller_waits = true;
};

/** @return Indexes of the bids in the order the store should serve them. */
std::vector<std::size_t> OrderBids(std::span<const LoadBid> bids);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_ADMISSION_FUNC_H_
