/** @file ledger_cleanup_base.h Removes the grants of removed VMs. */
#ifndef SAPPHIRE_ENTRY_LEDGER_CLEANUP_BASE_H_
#define SAPPHIRE_ENTRY_LEDGER_CLEANUP_BASE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "contract/config_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/directory_base.h"
#include "external/key_value_base.h"

namespace sapphire::entry {

/** @return The VMs that hold a grant in the value of a `ledger/` key. */
std::set<core::VmId> GrantHolders(const std::string& ledger);

/** @return The value without the grants of `vm`, all else unchanged; nothing if
 * `vm` holds none. */
std::optional<std::string> WithoutGrantsOf(const std::string& ledger,
                                           const core::VmId& vm);

struct LedgerCleanupOptions {
  core::VmId self;
  std::chrono::milliseconds interval{15000};
  /** A holder missing from the list for this long counts as removed. */
  std::chrono::milliseconds removal_grace{30000};
};

/**
 * Removes the grants of VMs that the platform's list no longer shows. A grant
 * has no time to live, since a paused holder could lose it and load all the
 * same, and therefore outlives its VM. The primary entry of each service does
 * the cleanup; two entries doing so at once is harmless, as each removes by
 * compare-and-swap.
 */
class LedgerCleanup : public std::enable_shared_from_this<LedgerCleanup> {
 public:
  /** @pre All references outlive the object's coroutines. */
  LedgerCleanup(const core::Executor& executor, LedgerCleanupOptions options,
                contract::ConfigHolder& config, Directory& directory,
                external::KeyValueStore& store, const core::Clock& clock,
                const core::Logger& log);

  void Start();
  void Stop() { stopped_ = true; }

  /** Scans the ledger of every service that this entry is the primary entry of.
   * Also runs at intervals to find VMs that were removed while no entry ran. */
  core::Task<> Sweep();

 private:
  core::Task<> RunLoop();
  core::Task<> SweepService(core::ServiceId service);
  core::Task<> RemoveGrants(std::string key, core::VmId vm);
  [[nodiscard]] std::vector<core::ServiceId> PrimaryServices() const;
  [[nodiscard]] bool IsRemoved(const core::VmId& vm);

  const core::Executor executor_;
  const LedgerCleanupOptions options_;
  contract::ConfigHolder& config_;
  Directory& directory_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  /** VMs that the list showed before and no longer shows. */
  std::set<core::VmId> removed_;
  std::map<core::VmId, core::SteadyTime> missing_since_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_LEDGER_CLEANUP_BASE_H_
