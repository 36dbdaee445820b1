/** @file quarantine_store.cc Shares the quarantine through the key-value
 * service. */
#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "crash/quarantine_store_base.h"

namespace sapphire::crash {

namespace {

/** The changes that a crash causes come in a burst; they are batched for this
 * long. */
constexpr core::Millis kBatchDelay{50};
/** How often an idle writer checks whether it has to stop. */
constexpr core::Millis kStopCheckInterval{5000};
/** Fingerprints are deleted this long after their last crash. */
constexpr std::chrono::hours kRetention{7 * 24};

std::string KeyOfFingerprint(std::int64_t fingerprint) {
  return std::string(kQuarantinePrefix) + std::to_string(fingerprint);
}

std::optional<std::int64_t> FingerprintOfKey(std::string_view key) {
  if (!key.starts_with(kQuarantinePrefix)) return std::nullopt;
  key.remove_prefix(kQuarantinePrefix.size());
  std::int64_t fingerprint = 0;
  const auto [end, ec] =
      std::from_chars(key.data(), key.data() + key.size(), fingerprint);
  if (ec != std::errc() || end != key.data() + key.size()) return std::nullopt;
  return fingerprint;
}

}  // namespace

QuarantineStore::QuarantineStore(const core::Executor& executor,
                                 std::shared_ptr<Quarantine> quarantine,
                                 QuarantineTiming timing,
                                 external::KeyValueStore& store,
                                 const core::Clock& clock,
                                 const core::Logger& log)
    : executor_(executor),
      quarantine_(std::move(quarantine)),
      timing_(timing),
      store_(store),
      clock_(clock),
      log_(log) {}

void QuarantineStore::Start() {
  core::Spawn(executor_, log_, "quarantine_follow",
              [self = shared_from_this()] { return self->ReadAndWatch(); });
  core::Spawn(executor_, log_, "quarantine_flush",
              [self = shared_from_this()] { return self->WriteChanges(); });
}

void QuarantineStore::Stop() {
  stopped_ = true;
  changed_.Notify();
}

void QuarantineStore::MarkDirty(std::int64_t fingerprint) {
  {
    const std::lock_guard lock(mutex_);
    dirty_.insert(fingerprint);
  }
  changed_.Notify();
}

std::set<std::int64_t> QuarantineStore::FetchDirty() {
  const std::lock_guard lock(mutex_);
  return std::exchange(dirty_, {});
}

bool QuarantineStore::IsDirty(std::int64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  return dirty_.contains(fingerprint);
}

core::Task<> QuarantineStore::ReadAndWatch() {
  while (!stopped_) {
    try {
      const std::int64_t revision = co_await ReadAll();
      first_read_done_ = true;
      co_await WatchFrom(revision);
    } catch (const core::Error& e) {
      log_.Event(core::LogLevel::kWarning, core::LogCategory::kPlatform,
                 "quarantine_unread", {{"error", e.what()}});
    }
    first_read_done_ = true;
    co_await core::SleepFor(timing_.retry_pause);
  }
}

core::Task<std::int64_t> QuarantineStore::ReadAll() {
  // The watch starts at the snapshot's revision. Failure: with nothing stored
  // yet, a watch from revision 0 asked for history that the store had compacted
  // away; the watch reported a gap and all was read again, in an endless loop.
  const external::KvSnapshot snapshot =
      co_await store_.Snapshot(std::string(kQuarantinePrefix));
  ApplyListing(snapshot.entries);
  co_return snapshot.revision;
}

void QuarantineStore::ApplyListing(
    const std::vector<external::KvEntry>& entries) {
  const std::set<std::int64_t> known = quarantine_->Fingerprints();
  std::set<std::int64_t> listed;
  for (const external::KvEntry& entry : entries) {
    MergeEntry(entry.key, entry.value);
    if (const auto it = FingerprintOfKey(entry.key)) listed.insert(*it);
  }
  // A fingerprint that was known before the read but isn't listed was cleared
  // by another entry while no watch was open, unless it is still to be written
  // by this one.
  for (const std::int64_t fingerprint : known) {
    if (listed.contains(fingerprint) || IsDirty(fingerprint)) continue;
    quarantine_->Erase(fingerprint);
  }
  core::Spawn(executor_, log_, "quarantine_expire",
              [self = shared_from_this(), entries] {
                return self->DeleteExpired(entries);
              });
}

core::Task<> QuarantineStore::DeleteExpired(
    std::vector<external::KvEntry> entries) {
  for (const external::KvEntry& entry : entries) {
    const auto fingerprint = FingerprintOfKey(entry.key);
    if (!fingerprint) continue;
    const core::WallTime last = quarantine_->Find(*fingerprint).last_crash;
    if (clock_.WallNow() - last < kRetention) continue;
    if (co_await store_.DeleteIf(entry.key, entry.revision)) {
      quarantine_->Erase(*fingerprint);
    }
  }
}

core::Task<> QuarantineStore::WatchFrom(std::int64_t revision) {
  while (!stopped_) {
    const external::WatchBatch batch = co_await store_.Watch(
        std::string(kQuarantinePrefix), revision, timing_.watch_wait);
    // The watch missed changes, so everything is read again.
    if (batch.gap) co_return;
    for (const external::KvEvent& event : batch.events) ApplyEvent(event);
    revision = std::max(revision, batch.revision);
  }
}

void QuarantineStore::ApplyEvent(const external::KvEvent& event) {
  if (event.value) {
    MergeEntry(event.key, *event.value);
    return;
  }
  const auto fingerprint = FingerprintOfKey(event.key);
  if (fingerprint && !IsDirty(*fingerprint)) quarantine_->Erase(*fingerprint);
}

void QuarantineStore::MergeEntry(const std::string& key,
                                 const std::string& value) {
  const auto fingerprint = FingerprintOfKey(key);
  if (!fingerprint) return;
  const bool nothing_here = quarantine_->Find(*fingerprint).crashes.empty();
  // This entry cleared the fingerprint and has not deleted the key yet; the
  // stored value is outdated.
  if (nothing_here && IsDirty(*fingerprint)) return;
  try {
    quarantine_->Merge(*fingerprint, DecodeCrashes(value));
  } catch (const core::Error& e) {
    log_.Event(core::LogLevel::kWarning, core::LogCategory::kPlatform,
               "quarantine_value_bad", {{"key", key}, {"error", e.what()}});
  }
}

core::Task<> QuarantineStore::WriteChanges() {
  while (!stopped_) {
    const std::uint64_t seen = changed_.epoch();
    bool failed = false;
    for (const std::int64_t fingerprint : FetchDirty()) {
      if (co_await SaveOne(fingerprint)) continue;
      MarkDirty(fingerprint);
      failed = true;
    }
    if (!failed) {
      co_await changed_.Wait(seen, kStopCheckInterval);
    }
    co_await core::SleepFor(failed ? timing_.retry_pause : kBatchDelay);
  }
}

core::Task<bool> QuarantineStore::SaveOne(std::int64_t fingerprint) {
  try {
    CrashRecord record = quarantine_->Find(fingerprint);
    co_return co_await MergeIntoStore(fingerprint, std::move(record));
  } catch (const core::Error& e) {
    // The service is down, or a write took effect and its answer was lost.
    // Retrying is safe: the same crash ids count only once.
    log_.Event(core::LogLevel::kWarning, core::LogCategory::kPlatform,
               "quarantine_unsaved",
               {{"fingerprint", fingerprint}, {"error", e.what()}});
  }
  co_return false;
}

core::Task<bool> QuarantineStore::MergeIntoStore(std::int64_t fingerprint,
                                                 CrashRecord record) {
  const std::string key = KeyOfFingerprint(fingerprint);
  const auto stored = co_await store_.Get(key);
  CrashRecord merged = record;
  if (stored) {
    const CrashRecord there = DecodeCrashes(stored->value);
    if (record.crashes.empty()) {
      const bool quarantined = static_cast<int>(there.crashes.size()) >=
                               policy::kCrashesToQuarantine;
      if (quarantined) {
        quarantine_->Merge(fingerprint, there);
        co_return true;
      }
      co_return co_await store_.DeleteIf(key, stored->revision);
    }
    merged.crashes.insert(there.crashes.begin(), there.crashes.end());
    quarantine_->Merge(fingerprint, merged);
    if (merged.crashes == there.crashes) co_return true;
  }
  if (merged.crashes.empty()) co_return true;
  const external::CasResult swap = co_await store_.CompareAndSwap(
      key, stored ? stored->revision : 0, EncodeCrashes(merged), "");
  co_return swap.swapped;
}

}  // namespace sapphire::crash
