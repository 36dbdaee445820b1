/** @file testing_key_value.h An in-memory key-value service for tests. */
#ifndef SAPPHIRE_ENTRY_TESTING_KEY_VALUE_H_
#define SAPPHIRE_ENTRY_TESTING_KEY_VALUE_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/task_func.h"
#include "external/key_value_base.h"

namespace sapphire::entry::testing {

/** A fault injected into a write. */
enum class WriteFault {
  kAnswerLost,  ///< The write takes effect; the caller gets an unknown outcome.
  kTakesEffectLate,  ///< As kAnswerLost, but takes effect only at
                     ///< ApplyLateWrites.
  kNoEffect,         ///< No effect; the caller gets an unknown outcome.
};

/** Single-threaded. Each call advances the clock by one millisecond. */
class MemoryKeyValue final : public external::KeyValueStore {
 public:
  explicit MemoryKeyValue(core::ManualClock& clock) : clock_(clock) {}

  /** Every call fails while true. */
  bool down = false;
  /** Faults of the next writes of `config/head`, in order. */
  std::deque<WriteFault> head_faults;
  /** If true, the service goes down with the next fault of the head. */
  bool down_after_fault = false;
  /** Values that the next reads of the head return instead of the stored one.
   */
  std::deque<std::optional<external::KvEntry>> head_overrides;
  /** Answers of the next watches, before real changes. */
  std::deque<external::WatchBatch> batches;
  /** Deletes are delayed until this becomes false. */
  bool hold_deletes = false;
  /** Watches miss changes while true. */
  bool miss_changes = false;
  int gets = 0;
  int checks = 0;
  int watches = 0;

  /** Applies the delayed writes. */
  void ApplyLateWrites() {
    for (auto& [key, expected, value] : std::exchange(late_, {})) {
      Swap(key, expected, value);
    }
  }

  /** Ends all leases and deletes the keys written under them. */
  void LapseLeases() {
    leases_.clear();
    DropUnleased();
  }

  [[nodiscard]] std::optional<external::KvEntry> Peek(
      const std::string& key) const {
    const auto it = entries_.find(key);
    if (it == entries_.end()) return std::nullopt;
    return it->second;
  }

  /** @return The keys under a prefix. */
  [[nodiscard]] std::vector<std::string> Keys(std::string_view prefix) const {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(prefix)) keys.push_back(key);
    }
    return keys;
  }

  core::Task<std::optional<external::KvEntry>> Get(std::string key) override {
    co_await Step();
    ++gets;
    if (key == "config/head" && !head_overrides.empty()) {
      auto shown = head_overrides.front();
      head_overrides.pop_front();
      co_return shown;
    }
    co_return Peek(key);
  }

  core::Task<external::RevisionCheck> CheckRevision(
      std::string key, std::int64_t revision) override {
    co_await Step();
    ++checks;
    const auto entry = Peek(key);
    if (entry && entry->revision == revision) {
      co_return external::RevisionCheck{true, std::nullopt};
    }
    co_return external::RevisionCheck{false, entry};
  }

  core::Task<std::vector<external::KvEntry>> List(std::string prefix) override {
    co_await Step();
    std::vector<external::KvEntry> found;
    for (const std::string& key : Keys(prefix)) found.push_back(*Peek(key));
    co_return found;
  }

  core::Task<external::CasResult> CompareAndSwap(std::string key,
                                                 std::int64_t expected,
                                                 std::string value,
                                                 std::string lease) override {
    co_await Step();
    if (key == "config/head" && !head_faults.empty()) {
      if (down_after_fault) down = true;
      const WriteFault fault = head_faults.front();
      head_faults.pop_front();
      if (fault == WriteFault::kAnswerLost) Swap(key, expected, value);
      if (fault == WriteFault::kTakesEffectLate) {
        late_.push_back({key, expected, value});
      }
      throw core::Error(core::ErrorCode::kPlatformUnknownOutcome, "lost");
    }
    if (!lease.empty() && !leases_.contains(lease)) {
      throw core::Error(core::ErrorCode::kPlatformUnavailable, "no such lease");
    }
    external::CasResult result = Swap(key, expected, value);
    if (result.swapped) lease_of_[key] = lease;
    co_return result;
  }

  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override {
    do {
      co_await Step();
    } while (hold_deletes);
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.revision != expected) {
      co_return false;
    }
    entries_.erase(it);
    history_.push_back({key, std::nullopt, ++revision_});
    co_return true;
  }

  core::Task<external::KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) override {
    co_await Step();
    const std::string id = "lease-" + std::to_string(++granted_);
    leases_[id] = {time_to_live, clock_.Now() + time_to_live};
    co_return external::KvLease{id, time_to_live};
  }

  core::Task<bool> KeepAlive(std::string id) override {
    co_await Step();
    const auto it = leases_.find(id);
    if (it == leases_.end()) co_return false;
    it->second.end = clock_.Now() + it->second.time_to_live;
    co_return true;
  }

  core::Task<external::WatchBatch> Watch(
      std::string prefix, std::int64_t revision,
      std::chrono::milliseconds wait) override {
    co_await Step();
    ++watches;
    if (!batches.empty()) {
      external::WatchBatch batch = batches.front();
      batches.pop_front();
      co_return batch;
    }
    const core::SteadyTime end = clock_.Now() + wait;
    external::WatchBatch batch;
    while (batch.events.empty() && clock_.Now() < end) {
      co_await core::SleepFor(std::chrono::milliseconds(1));
      co_await Step();
      if (!miss_changes) batch.events = ChangesSince(prefix, revision);
    }
    batch.revision = revision_;
    co_return batch;
  }

 private:
  struct LateWrite {
    std::string key;
    std::int64_t expected;
    std::string value;
  };

  struct Lease {
    std::chrono::milliseconds time_to_live{0};
    core::SteadyTime end;
  };

  /** Ends expired leases. */
  void ExpireLeases() {
    const core::SteadyTime now = clock_.Now();
    std::erase_if(leases_,
                  [now](const auto& it) { return now >= it.second.end; });
    DropUnleased();
  }

  void DropUnleased() {
    for (const auto& [key, lease] : std::map(lease_of_)) {
      if (lease.empty() || leases_.contains(lease)) continue;
      lease_of_.erase(key);
      if (entries_.erase(key) == 0) continue;
      history_.push_back({key, std::nullopt, ++revision_});
    }
  }

  /** Advances the clock and yields, so that other coroutines run between any
   * two calls of a caller. */
  core::Task<> Step() {
    clock_.Advance(std::chrono::milliseconds(1));
    ExpireLeases();
    co_await core::SleepFor(std::chrono::milliseconds(0));
    if (!down) co_return;
    throw core::Error(core::ErrorCode::kPlatformUnavailable, "down");
  }

  [[nodiscard]] std::vector<external::KvEvent> ChangesSince(
      const std::string& prefix, std::int64_t revision) const {
    std::vector<external::KvEvent> found;
    for (const external::KvEvent& it : history_) {
      const bool wanted = it.key.starts_with(prefix) && it.revision > revision;
      if (wanted) found.push_back(it);
    }
    return found;
  }

  external::CasResult Swap(const std::string& key, std::int64_t expected,
                           const std::string& value) {
    const auto current = Peek(key);
    if ((current ? current->revision : 0) != expected) {
      return {false, 0, current};
    }
    ++revision_;
    entries_[key] = {key, value, revision_};
    history_.push_back({key, value, revision_});
    return {true, revision_, std::nullopt};
  }

  core::ManualClock& clock_;
  std::map<std::string, external::KvEntry> entries_;
  std::vector<external::KvEvent> history_;
  std::vector<LateWrite> late_;
  std::map<std::string, Lease> leases_;
  /** The lease under which each key was last written; empty if none. */
  std::map<std::string, std::string> lease_of_;
  int granted_ = 0;
  std::int64_t revision_ = 0;
};

}  // namespace sapphire::entry::testing

#endif  // SAPPHIRE_ENTRY_TESTING_KEY_VALUE_H_
