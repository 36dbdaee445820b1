/** @file admission_func.h Orders and admits queued requests by owner share,
 * limits retries, and orders load bids. */
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
  /** Requests with a higher value are served first. */
  int priority = 0;
  core::SteadyTime deadline;
  core::SteadyTime arrived;
};

/** Running requests and configured share of one owner. */
struct OwnerUse {
  int running = 0;
  double share = 1.0;
};

/**
 * @return The index of the request to serve next. Owners within their share
 *   come before those above it; then the highest priority, the owner furthest
 *   below its share and the earliest deadline decide. Shares are relative to
 *   the owners with running or queued requests, so unused capacity is lent to
 *   others; priority never lets one owner starve another.
 * @pre `queue` is not empty.
 */
std::size_t PickNext(std::span<const QueuedRequest> queue,
                     const std::map<core::OwnerId, OwnerUse>& owners);

/** Requests queued for one model, by owner, and the size of the queue. */
struct QueueUse {
  int max_queue = 512;
  std::map<core::OwnerId, int> waiting;
};

/**
 * Decides whether one more request of `owner` may be queued. The first half of
 * the queue is open to all owners; the second half is divided among the owners
 * by share.
 * @return The reason for refusing the request, or nothing if it is admitted.
 */
std::optional<core::ErrorCode> CheckQueueAdmission(
    const QueueUse& use, const core::OwnerId& owner,
    const std::map<core::OwnerId, OwnerUse>& owners);

/** Limits retries to a fraction of first tries, so that retries don't add to
 * the overload of a failing fleet. */
struct RetryBudget {
  double tokens = 10;
  double max_tokens = 10;
  /** Tokens added by each first try. */
  double ratio = 0.1;
};

void RecordFirstTry(RetryBudget& budget);

/** @return True if a retry is allowed; it uses up one token. */
bool TakeRetry(RetryBudget& budget);

/** A model load that waits for the weight store. */
struct LoadBid {
  core::VmId vm;
  core::ModelId model;
  core::SteadyTime deadline;
  /** False for prewarming, which comes after every load that a caller waits
   * for. */
  bool caller_waits = true;
};

/** @return Indexes of the bids in the order in which the store should serve
 * them. */
std::vector<std::size_t> OrderBids(std::span<const LoadBid> bids);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_ADMISSION_FUNC_H_
