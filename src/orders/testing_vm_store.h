/** @file testing_vm_store.h One VM's connection to the store, with faults, for
 * tests. */
#ifndef SAPPHIRE_ORDERS_TESTING_VM_STORE_H_
#define SAPPHIRE_ORDERS_TESTING_VM_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/error_type.h"
#include "core/task_func.h"
#include "external/key_value_base.h"

namespace sapphire::orders {

/** What happens to the next write of one VM. */
enum class NextWrite {
  kSound,
  kAnswerLost,       ///< Executed; the caller gets an unknown outcome.
  kTakesEffectLate,  ///< As kAnswerLost, but executed by ApplyLateWrites.
  kKilled,  ///< Executed; then the process is killed before the answer.
};

/** The connection of one VM to the store, with its faults. */
class VmStore final : public external::KeyValueStore {
 public:
  explicit VmStore(external::KeyValueStore& store) : store_(store) {}

  bool rejects = false;
  /** Writes of keys that were tried. */
  int writes = 0;
  NextWrite next_write = NextWrite::kSound;
  /** Runs once, after the next write was executed and before its answer. */
  std::function<core::Task<>()> before_answer;
  /** A write with the fault kKilled has been executed. */
  bool killed = false;

  /** Executes the writes that were delayed, where their condition holds. */
  core::Task<bool> ApplyLateWrites() {
    for (const LateWrite& it : std::exchange(late_, {})) {
      try {
        if (it.value) {
          co_await store_.CompareAndSwap(it.key, it.expected, *it.value,
                                         it.lease);
        } else {
          co_await store_.DeleteIf(it.key, it.expected);
        }
      } catch (const core::Error&) {
        // The lease of the write has ended meanwhile.
      }
    }
    co_return true;
  }

  core::Task<std::optional<external::KvEntry>> Get(std::string key) override {
    CheckServed();
    co_return co_await store_.Get(std::move(key));
  }
  core::Task<std::vector<external::KvEntry>> List(std::string prefix) override {
    CheckServed();
    co_return co_await store_.List(std::move(prefix));
  }
  core::Task<external::CasResult> CompareAndSwap(std::string key,
                                                 std::int64_t expected,
                                                 std::string value,
                                                 std::string lease) override {
    ++writes;
    CheckServed();
    const NextWrite fault = std::exchange(next_write, NextWrite::kSound);
    if (fault == NextWrite::kTakesEffectLate) {
      late_.push_back({key, expected, value, lease});
      ThrowLost();
    }
    const external::CasResult result =
        co_await store_.CompareAndSwap(key, expected, value, lease);
    if (before_answer) {
      co_await std::exchange(before_answer, nullptr)();
    }
    CheckAnswered(fault);
    co_return result;
  }
  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override {
    CheckServed();
    const NextWrite fault = std::exchange(next_write, NextWrite::kSound);
    if (fault == NextWrite::kTakesEffectLate) {
      late_.push_back({key, expected, std::nullopt, ""});
      ThrowLost();
    }
    const bool is_deleted = co_await store_.DeleteIf(key, expected);
    CheckAnswered(fault);
    co_return is_deleted;
  }
  core::Task<external::KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) override {
    CheckServed();
    co_return co_await store_.GrantLease(time_to_live);
  }
  core::Task<bool> KeepAlive(std::string id) override {
    CheckServed();
    co_return co_await store_.KeepAlive(std::move(id));
  }
  core::Task<external::WatchBatch> Watch(
      std::string prefix, std::int64_t revision,
      std::chrono::milliseconds wait) override {
    return store_.Watch(std::move(prefix), revision, wait);
  }

 private:
  struct LateWrite {
    std::string key;
    std::int64_t expected;
    /** Nothing to delete the key. */
    std::optional<std::string> value;
    std::string lease;
  };

  void CheckServed() const {
    if (!rejects && !killed) return;
    throw core::Error(core::ErrorCode::kPlatformUnavailable, "turned away");
  }
  void CheckAnswered(NextWrite fault) {
    if (fault == NextWrite::kKilled) killed = true;
    if (fault != NextWrite::kSound) ThrowLost();
  }
  [[noreturn]] static void ThrowLost() {
    throw core::Error(core::ErrorCode::kPlatformUnknownOutcome, "lost");
  }

  external::KeyValueStore& store_;
  std::vector<LateWrite> late_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_TESTING_VM_STORE_H_
