/** @file quarantine_store_base.h Keeps the quarantine in the platform. */
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

/** Keys of all entries. */
inline constexpr std::string_view kQuarantinePrefix = "quarantine/";

/** How the store's entries are followed. */
struct QuarantineTiming {
  /** How long a watch waits for a change. */
  core::Millis watch_wait{10'000};
  /** Between a failed call and the next. */
  core::Millis retry_pause{1000};
};

/**
 * Shares the quarantine between entries through the key-value service, so that
 * it outlives a home and is known to the next one. While the service is down
 * each entry goes on with what it saw itself and writes it later.
 */
class QuarantineStore : public std::enable_shared_from_this<QuarantineStore> {
 public:
  /** @pre All references outlive the store's coroutines. */
  QuarantineStore(const core::Executor& executor,
                  std::shared_ptr<Quarantine> quarantine,
                  QuarantineTiming timing, external::KeyValueStore& store,
                  const core::Clock& clock, const core::Logger& log);

  /** Begins to follow and to write. */
  void Start();
  /** Begins to write; what is to be followed is given from outside. */
  void StartWriting();
  void Stop();

  /** These are all entries under kQuarantinePrefix. */
  void TakeListing(const std::vector<external::KvEntry>& entries);

  /** An entry under kQuarantinePrefix has changed. */
  void TakeEvent(const external::KvEvent& event);

  /** Says that a fingerprint's crashes changed here. */
  void NoteChanged(std::int64_t fingerprint);

  /** @return True once the service has been asked for what is known, whether
   * or not it answered. */
  [[nodiscard]] bool first_read_done() const { return first_read_done_; }

 private:
  core::Task<> Follow();
  core::Task<std::int64_t> ReadAll();
  core::Task<> WatchFrom(std::int64_t revision);
  void TakeEntry(const std::string& key, const std::string& value);
  core::Task<> Flush();
  core::Task<bool> SaveOne(std::int64_t fingerprint);
  core::Task<bool> SwapIn(std::int64_t fingerprint, CrashRecord record);
  core::Task<> DeleteExpired(std::vector<external::KvEntry> entries);
  std::set<std::int64_t> TakeDirty();
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
  /** Fingerprints whose crashes here are not yet written. */
  std::set<std::int64_t> dirty_;
};

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_QUARANTINE_STORE_BASE_H_
