/** @file quarantine_store_base.h Keeps the quarantine and its copy in the
 * key-value service in sync, in both directions. */
#ifndef SAPPHIRE_CRASH_QUARANTINE_STORE_BASE_H_
#define SAPPHIRE_CRASH_QUARANTINE_STORE_BASE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "crash/quarantine_base.h"
#include "external/key_value_base.h"

namespace sapphire::crash {

/** Key prefix of all quarantine values. */
inline constexpr std::string_view kQuarantinePrefix = "quarantine/";

/** Timing of the watch on the key-value service. */
struct QuarantineTiming {
  /** How long a watch waits for a change. */
  core::Millis watch_wait{10'000};
  /** Pause between a failed call and its retry. */
  core::Millis retry_pause{1000};
};

/**
 * Shares the quarantine between entries through the key-value service, so that
 * it survives the end of a model's scheduler and its successor knows it. While
 * the service is down each entry uses its own records and writes them later.
 */
class QuarantineStore : public std::enable_shared_from_this<QuarantineStore> {
 public:
  /** @pre All references outlive the store's coroutines. */
  QuarantineStore(const core::Executor& executor,
                  std::shared_ptr<Quarantine> quarantine,
                  QuarantineTiming timing, external::KeyValueStore& store,
                  const core::Clock& clock, const core::Logger& log);

  /** Starts reading, watching and writing. */
  void Start();
  void Stop();

  /** Marks a fingerprint whose crashes changed in this process for writing. */
  void MarkDirty(std::int64_t fingerprint);

  /** @return True once the first read of the service has ended, successfully or
   * not. */
  [[nodiscard]] bool first_read_done() const { return first_read_done_; }

 private:
  /** Applies a complete listing of kQuarantinePrefix. */
  void ApplyListing(const std::vector<external::KvEntry>& entries);
  /** Applies a change of a key under kQuarantinePrefix. */
  void ApplyEvent(const external::KvEvent& event);
  core::Task<> ReadAndWatch();
  core::Task<std::int64_t> ReadAll();
  core::Task<> WatchFrom(std::int64_t revision);
  void MergeEntry(const std::string& key, const std::string& value);
  core::Task<> WriteChanges();
  core::Task<bool> SaveOne(std::int64_t fingerprint);
  core::Task<bool> MergeIntoStore(std::int64_t fingerprint, CrashRecord record);
  core::Task<> DeleteExpired(std::vector<external::KvEntry> entries);
  std::set<std::int64_t> FetchDirty();
  [[nodiscard]] bool IsDirty(std::int64_t fingerprint) const;

  const core::Executor executor_;
  const std::shared_ptr<Quarantine> quarantine_;
  const QuarantineTiming timing_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> first_read_done_{false};
  core::Signal changed_;
  mutable std::mutex mutex_;
  /** Fingerprints whose changes are not yet written. */
  std::set<std::int64_t> dirty_;
};

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_QUARANTINE_STORE_BASE_H_
