/** @file claim_store.cc Acquires and settles claims in the key-value service.
 */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/claim_func.h"
#include "entry/claim_store_base.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::Task;

namespace {

constexpr std::chrono::milliseconds kRetryAfter{2000};

bool IsPlatformFault(const Error& error) {
  return error.code() == ErrorCode::kPlatformUnavailable ||
         error.code() == ErrorCode::kPlatformUnknownOutcome;
}

}  // namespace

ClaimStore::ClaimStore(const core::Executor& executor,
                       ClaimStoreOptions options,
                       external::KeyValueStore& store, const core::Clock& clock,
                       const core::Logger& log)
    : executor_(executor),
      options_(options),
      store_(store),
      clock_(clock),
      log_(log) {}

Task<AcquireResult> ClaimStore::Acquire(std::string key, Claim claim,
                                        core::SteadyTime deadline) {
  const auto end = std::min(deadline, clock_.Now() + options_.acquire_timeout);
  bool may_exist = false;
  while (true) {
    std::optional<Error> failure;
    try {
      co_return co_await TryAcquire(key, claim);
    } catch (const Error& e) {
      failure = e;
    }
    if (!IsPlatformFault(*failure)) throw Error(*failure);
    // A write whose answer was lost may have taken effect or may do so later.
    // Retrying with the same attempt covers both cases, since only the first
    // write of the key succeeds.
    if (failure->code() == ErrorCode::kPlatformUnknownOutcome) may_exist = true;
    if (clock_.Now() + options_.retry_pause >= end) break;
    co_await core::SleepFor(options_.retry_pause);
  }
  if (may_exist) {
    // The request will not be dispatched. If the claim stayed, a resend would
    // get "outcome unknown" for a request that certainly did not run.
    claim.state = ClaimState::kVoid;
    co_await Settle(std::move(key), std::move(claim));
  }
  throw Error(ErrorCode::kPlatformUnavailable,
              "the key-value service did not take the claim", kRetryAfter);
}

Task<AcquireResult> ClaimStore::TryAcquire(std::string key, Claim claim) {
  const std::string value = EncodeClaim(claim);
  std::int64_t expected = 0;
  while (true) {
    const external::CasResult result =
        co_await store_.CompareAndSwap(key, expected, value, "");
    if (result.swapped) co_return AcquireResult{true, claim, result.revision};
    if (!result.current) {
      expected = 0;
      continue;
    }
    const Claim existing = DecodeClaim(result.current->value);
    const std::int64_t revision = result.current->revision;
    if (existing.attempt == claim.attempt) {
      co_return AcquireResult{true, existing, revision};
    }
    if (!IsVoid(existing)) {
      co_return AcquireResult{false, existing, revision};
    }
    expected = revision;
  }
}

bool ClaimStore::IsVoid(const Claim& claim) const {
  if (claim.state == ClaimState::kVoid) return true;
  const std::lock_guard lock(voided_mutex_);
  return voided_.contains(claim.attempt);
}

void ClaimStore::RecordVoided(const core::AttemptId& attempt) {
  const std::lock_guard lock(voided_mutex_);
  voided_.insert(attempt);
}

Task<> ClaimStore::Settle(std::string key, Claim claim) {
  if (claim.state == ClaimState::kVoid) RecordVoided(claim.attempt);
  std::string value = EncodeClaim(claim);
  if (value.size() > options_.max_value_bytes) {
    claim.answer.reset();
    value = EncodeClaim(claim);
  }
  if (co_await TrySettleOnce(key, value, claim)) co_return;
  core::Spawn(
      executor_, log_, "settle_claim",
      [this, key = std::move(key), value = std::move(value),
       claim = std::move(claim)] { return SettleLoop(key, value, claim); });
}

Task<> ClaimStore::SettleLoop(std::string key, std::string value, Claim claim) {
  const auto end = clock_.Now() + options_.settle_timeout;
  while (clock_.Now() < end) {
    co_await core::SleepFor(options_.retry_pause);
    if (co_await TrySettleOnce(key, value, claim)) co_return;
  }
  log_.Event(core::LogLevel::kWarning, core::LogCategory::kPlatform,
             "claim_not_settled", {{"key", key}});
}

Task<bool> ClaimStore::TrySettleOnce(std::string key, std::string value,
                                     Claim claim) {
  bool settled = false;
  try {
    settled = co_await TrySettle(key, value, claim);
  } catch (const Error& e) {
    log_.Event(core::LogLevel::kDebug, core::LogCategory::kPlatform,
               "settle_retry", {{"key", key}, {"error", e.what()}});
  }
  if (settled) {
    const std::lock_guard lock(voided_mutex_);
    voided_.erase(claim.attempt);
  }
  co_return settled;
}

/** @return True once the key holds this claim's final state or another claim.
 */
Task<bool> ClaimStore::TrySettle(std::string key, std::string value,
                                 Claim claim) {
  const auto entry = co_await store_.Get(key);
  if (!entry) {
    // The key is absent, but the lost write may still take effect. A void claim
    // in its place makes that write fail, as it expects the key to be absent.
    if (claim.state != ClaimState::kVoid) co_return true;
    co_return (co_await store_.CompareAndSwap(key, 0, value, "")).swapped;
  }
  const Claim existing = DecodeClaim(entry->value);
  if (existing.attempt != claim.attempt) co_return true;
  if (existing.state == claim.state) co_return true;
  const auto result =
      co_await store_.CompareAndSwap(key, entry->revision, value, "");
  co_return result.swapped;
}

}  // namespace sapphire::entry
