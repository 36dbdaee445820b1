/** @file admission_func.h Queue order, owners' shares, retry budgets. */
#ifndef SAPPHIRE_POLICY_ADMISSION_FUNC_H_
#define SAPPHIRE_POLICY_ADMISSION_FUNC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "core/clock_base.h"
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
 * @return The index of the request to serve next: highest priority, then the
 *   owner furthest below its share, then earliest deadline.
 * @pre `queue` is not empty.
 */
std::size_t PickNext(std::span<const QueuedRequest> queue,
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
