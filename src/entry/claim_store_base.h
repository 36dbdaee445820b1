/** @file claim_store_base.h Claims in the key-value service. */
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
  /** How long a claim is tried while the service does not answer. */
  std::chrono::milliseconds patience{1500};
  std::chrono::milliseconds retry_pause{50};
  /** How long a settled claim is written in the background. */
  std::chrono::milliseconds settle_limit{600'000};
  /** Values above this are not written: the answer is then not kept. */
  std::size_t max_value_bytes = 900'000;
};

/** What stands at a claim's key after Acquire. */
struct AcquireResult {
  /** True: `claim` is ours, and nobody else can hold it. */
  bool acquired = false;
  Claim claim;
  std::int64_t revision = 0;
};

/**
 * Takes and settles claims. The key's first writer wins: entries may disagree
 * on a request's home, be frozen, or act on a resend at the same moment.
 */
class ClaimStore {
 public:
  /** @pre All references outlive the store and its background writes. */
  ClaimStore(const core::Executor& executor, ClaimStoreOptions options,
             external::KeyValueStore& store, const core::Clock& clock,
             const core::Logger& log);

  /**
   * Creates `claim` at `key` unless another stands there; takes over a void
   * one. A lost answer is settled by reading back the claim's attempt.
   * @throws core::Error kPlatformUnavailable: the outcome could not be learnt
   *   in time. The caller must not dispatch; a claim that was or will yet be
   *   written is voided in the background.
   * @pre The coroutine runs on a strand.
   */
  core::Task<AcquireResult> Acquire(std::string key, Claim claim,
                                    core::SteadyTime deadline);

  /**
   * Writes how an acquired claim ended: once now, and if that fails in the
   * background until it stands. While a run's end is not written, resends are
   * told that the outcome is unknown.
   * @pre The coroutine runs on a strand.
   */
  core::Task<> Settle(std::string key, Claim claim);

 private:
  core::Task<> SettleLoop(std::string key, std::string value, Claim claim);
  core::Task<bool> TrySettle(std::string key, std::string value, Claim claim);
  core::Task<bool> TrySettleOnce(std::string key, std::string value,
                                 Claim claim);
  /** Remembers an attempt of ours that never was nor will be dispatched. */
  void NoteVoided(const core::AttemptId& attempt);
  [[nodiscard]] bool IsVoid(const Claim& claim) const;
  core::Task<AcquireResult> TryAcquire(std::string key, Claim claim);

  const core::Executor executor_;
  const ClaimStoreOptions options_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  mutable std::mutex voided_mutex_;
  /** Voided here, but perhaps not yet in the key-value service. */
  std::set<core::AttemptId> voided_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CLAIM_STORE_BASE_H_
