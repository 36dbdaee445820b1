/** @file claim_store_base.h Acquires and settles claims in the key-value
 * service. */
#ifndef SAPPHIRE_ENTRY_CLAIM_STORE_BASE_H_
#define SAPPHIRE_ENTRY_CLAIM_STORE_BASE_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/claim_type.h"
#include "external/key_value_base.h"

namespace sapphire::entry {

struct ClaimStoreOptions {
  /** How long Acquire retries while the service does not answer. */
  std::chrono::milliseconds acquire_timeout{1500};
  std::chrono::milliseconds retry_pause{50};
  /** How long Settle retries in the background. */
  std::chrono::milliseconds settle_timeout{600'000};
  /** Values above this size are not written; the answer is then dropped from
   * the claim. */
  std::size_t max_value_bytes = 900'000;
};

/** The claim stored at the key after Acquire. */
struct AcquireResult {
  /** True if this attempt holds the claim exclusively. */
  bool acquired = false;
  Claim claim;
  std::int64_t revision = 0;
};

/**
 * Acquires and settles claims. The first writer of the key wins, since entries
 * may disagree on a request's primary entry, be frozen, or handle a resend at
 * the same moment.
 */
class ClaimStore {
 public:
  /** @pre All references outlive the store and its background writes. */
  ClaimStore(const core::Executor& executor, ClaimStoreOptions options,
             external::KeyValueStore& store, const core::Clock& clock,
             const core::Logger& log);

  /**
   * Creates `claim` at `key` unless another exists there; takes over a void
   * one. If the answer to a write is lost, reading back the claim's attempt
   * shows whether the write took effect.
   * @throws core::Error kPlatformUnavailable: the outcome is still unknown at
   *   the deadline. The caller must not dispatch; a claim that was written or
   *   still will be is voided in the background.
   * @pre The coroutine runs on a strand.
   */
  core::Task<AcquireResult> Acquire(std::string key, Claim claim,
                                    core::SteadyTime deadline);

  /**
   * Writes the final state of an acquired claim: once now and, if that fails,
   * in the background until it succeeds. Until it is written, resends get an
   * unknown outcome.
   * @pre The coroutine runs on a strand.
   */
  core::Task<> Settle(std::string key, Claim claim);

 private:
  core::Task<> SettleLoop(std::string key, std::string value, Claim claim);
  core::Task<bool> TrySettle(std::string key, std::string value, Claim claim);
  core::Task<bool> TrySettleOnce(std::string key, std::string value,
                                 Claim claim);
  /** Records an own attempt that was not and will not be dispatched. */
  void RecordVoided(const core::AttemptId& attempt);
  [[nodiscard]] bool IsVoid(const Claim& claim) const;
  core::Task<AcquireResult> TryAcquire(std::string key, Claim claim);

  const core::Executor executor_;
  const ClaimStoreOptions options_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  mutable std::mutex voided_mutex_;
  /** Attempts voided here, but possibly not yet in the key-value service. */
  std::set<core::AttemptId> voided_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CLAIM_STORE_BASE_H_
