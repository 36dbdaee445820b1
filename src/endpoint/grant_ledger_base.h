/** @file grant_ledger_base.h Takes and releases this VM's replica grants. */
#ifndef SAPPHIRE_ENDPOINT_GRANT_LEDGER_BASE_H_
#define SAPPHIRE_ENDPOINT_GRANT_LEDGER_BASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "contract/intent_type.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "endpoint/grant_type.h"
#include "external/key_value_base.h"

namespace sapphire::endpoint {

/**
 * Enforces the replica limits by compare-and-swap on one key per service.
 * A grant has no time to live: it ends only by Release, which the owner calls
 * after a confirmed unload. This VM's process is the only writer of grants
 * with this VM's name, so a grant of this VM found in a ledger is its own.
 * Thread-safe, but with only one Take at a time for each model.
 */
class GrantLedger {
 public:
  /** @pre All references outlive the ledger. */
  GrantLedger(core::VmId vm, external::KeyValueStore& store,
              const core::Clock& clock, const core::Logger& log);

  /**
   * Takes the grant to hold a replica of `model`. The same swap checks the
   * model's and the service's limit in `config`.
   * @param min_fence Lower bound of the grant's fence.
   * @throws core::Error kReplicaLimit, kUnknownModel, kNotConfigured, or
   *   kPlatformUnavailable; no grant is held then, or FlushPending will end it.
   */
  core::Task<Grant> Take(std::shared_ptr<const contract::Config> config,
                         core::ModelId model, std::int64_t min_fence,
                         core::SteadyTime deadline);

  /** Queues a grant for its release by FlushPending. @pre The unload is
   * confirmed. */
  void Release(const core::ServiceId& service, const Grant& grant);

  /**
   * Tries to end all released grants and to void all writes of unknown outcome.
   * @return True if none is left.
   */
  core::Task<bool> FlushPending();

  /**
   * Writes a configuration version to a service's ledger; from then on no
   * endpoint with an older configuration can take a grant.
   * @throws core::Error kPlatformUnavailable.
   */
  core::Task<> RecordConfigVersion(core::ServiceId service,
                                   std::int64_t version);

  /** @return Every service's ledger. @throws core::Error kPlatformUnavailable.
   */
  core::Task<std::map<core::ServiceId, LedgerValue>> ReadAll();

  /** @return The number of released grants, and of writes to void, that
   * FlushPending has not ended yet. */
  [[nodiscard]] int pending() const;

  /** @return True if the last call to the key-value service was answered. */
  [[nodiscard]] bool reachable() const;

 private:
  /** A grant to end, or a write of a grant to void. */
  struct PendingRelease {
    core::ServiceId service;
    Grant grant;
    /** Set if a swap against this revision (0: key absent) may still take
     * effect. */
    std::optional<std::int64_t> pending_swap;
    /** True once a swap that ends the grant may have taken effect. */
    bool sent = false;
    /** True while a call of FlushPending processes it. */
    bool busy = false;
  };

  /** A Take in progress. */
  struct TakeAttempt {
    core::ServiceId service;
    Grant grant;
    std::optional<std::int64_t> pending_swap;
  };

  core::Task<std::optional<external::KvEntry>> ReadEntry(std::string key);
  core::Task<std::optional<external::CasResult>> Swap(std::string key,
                                                      std::int64_t expected,
                                                      std::string value);
  core::Task<Grant> TakeNewGrant(std::shared_ptr<const contract::Config> config,
                                 std::int64_t min_fence,
                                 core::SteadyTime deadline,
                                 std::shared_ptr<TakeAttempt> attempt);
  core::Task<> WaitForPendingRelease(core::ServiceId service,
                                     core::ModelId model,
                                     core::SteadyTime deadline);
  bool IsReleaseInProgress(const core::ServiceId& service,
                           const core::ModelId& model) const;
  core::Task<> EndGrant(std::shared_ptr<PendingRelease> release);
  std::optional<Grant> Reclaim(const core::ServiceId& service,
                               const core::ModelId& model);
  std::vector<std::shared_ptr<PendingRelease>> ClaimPendingReleases();
  void FinishRelease(const std::shared_ptr<PendingRelease>& release, bool done);
  void SetReachable(bool reachable);

  const core::VmId vm_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<PendingRelease>> pending_releases_;
  bool reachable_ = true;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_GRANT_LEDGER_BASE_H_
