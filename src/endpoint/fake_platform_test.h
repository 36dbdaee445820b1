/** @file fake_platform_test.h Test code: in-memory key-value service and engine
 * with fault injection. */
#ifndef SAPPHIRE_ENDPOINT_FAKE_PLATFORM_TEST_H_
#define SAPPHIRE_ENDPOINT_FAKE_PLATFORM_TEST_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/error_type.h"
#include "core/task_func.h"
#include "external/engine_base.h"
#include "external/key_value_base.h"

namespace sapphire::endpoint::test {

using core::Error;
using core::ErrorCode;
using core::Millis;
using core::Task;

/** Compare-and-swap store with injected write faults. */
class FakeStore final : public external::KeyValueStore {
 public:
  enum class Fault { kNone, kAnswerLost, kNeverArrived, kAppliedLate };

  /** Every call fails without effect. */
  bool down = false;
  /** Returns the fault of each write; none by default. */
  std::function<Fault()> fault = [] { return Fault::kNone; };
  /** Called after each change. */
  std::function<void()> on_change = [] {};
  int swaps = 0;

  Task<std::optional<external::KvEntry>> Get(std::string key) override {
    co_await core::SleepFor(Millis(0));
    CheckUp();
    const auto it = entries_.find(key);
    if (it == entries_.end()) co_return std::nullopt;
    co_return it->second;
  }

  Task<std::vector<external::KvEntry>> List(std::string prefix) override {
    co_await core::SleepFor(Millis(0));
    CheckUp();
    std::vector<external::KvEntry> found;
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(prefix)) found.push_back(entry);
    }
    co_return found;
  }

  Task<external::CasResult> CompareAndSwap(std::string key,
                                           std::int64_t expected,
                                           std::string value,
                                           std::string /*lease*/) override {
    co_await core::SleepFor(Millis(0));
    CheckUp();
    ++swaps;
    const Fault now = fault();
    if (now == Fault::kAppliedLate) late_.push_back({key, expected, value});
    if (now == Fault::kAppliedLate || now == Fault::kNeverArrived) {
      throw Error(ErrorCode::kPlatformUnknownOutcome);
    }
    auto result = Apply(key, expected, value);
    if (now == Fault::kAnswerLost) {
      throw Error(ErrorCode::kPlatformUnknownOutcome);
    }
    co_return result;
  }

  /** Applies the writes that timed out and were still in transit. */
  void ApplyLateWrites() {
    for (const auto& it : std::exchange(late_, {})) {
      Apply(it.key, it.expected, it.value);
    }
  }

  /** Writes unconditionally, as another process. */
  void Overwrite(const std::string& key, const std::string& value) {
    const auto it = entries_.find(key);
    Apply(key, it == entries_.end() ? 0 : it->second.revision, value);
  }

  /** @return The value under `key`; empty if there is none. */
  [[nodiscard]] std::string Value(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? "" : it->second.value;
  }

  Task<bool> DeleteIf(std::string /*key*/, std::int64_t /*expected*/) override {
    co_return false;
  }
  Task<external::KvLease> GrantLease(Millis time_to_live) override {
    co_return external::KvLease{"lease", time_to_live};
  }
  Task<bool> KeepAlive(std::string /*lease*/) override { co_return true; }
  Task<external::WatchBatch> Watch(std::string /*prefix*/,
                                   std::int64_t /*revision*/,
                                   Millis /*wait*/) override {
    co_return external::WatchBatch{};
  }

 private:
  struct Write {
    std::string key;
    std::int64_t expected;
    std::string value;
  };

  void CheckUp() const {
    if (down) throw Error(ErrorCode::kPlatformUnavailable);
  }

  external::CasResult Apply(const std::string& key, std::int64_t expected,
                            const std::string& value) {
    const auto it = entries_.find(key);
    const std::int64_t stands = it == entries_.end() ? 0 : it->second.revision;
    external::CasResult result;
    if (stands != expected) {
      if (it != entries_.end()) result.current = it->second;
      return result;
    }
    entries_[key] = {key, value, ++revision_};
    on_change();
    result.swapped = true;
    result.revision = revision_;
    return result;
  }

  std::map<std::string, external::KvEntry> entries_;
  std::vector<Write> late_;
  std::int64_t revision_ = 0;
};

/** Counts the replicas of all engines, to check the replica limits. */
struct ReplicaCounter {
  std::map<core::ModelId, int> loaded;
  int max_per_model = 0;
  int max_total = 0;

  void Count(const core::ModelId& model, int change) {
    loaded[model] += change;
    int all = 0;
    for (const auto& [id, n] : loaded) {
      all += n;
      max_per_model = std::max(max_per_model, n);
    }
    max_total = std::max(max_total, all);
  }
};

/** An answer in parts, which ends in this way, or with a transport error if
 * there is none. */
class FakeStream final : public http::ResponseStream {
 public:
  FakeStream(std::vector<std::string> parts, std::optional<http::BodyEnd> end)
      : parts_(std::move(parts)), end_(end) {
    head_.headers.push_back({"Content-Type", "text/plain"});
  }

  [[nodiscard]] const http::ResponseHead& head() const override {
    return head_;
  }
  Task<http::BodyPart> Read(Millis /*timeout*/) override {
    co_await core::SleepFor(Millis(0));
    if (next_ < parts_.size()) co_return parts_[next_++];
    if (!end_) throw http::TransportError("cut", true, false);
    co_return *end_;
  }

 private:
  http::ResponseHead head_;
  std::vector<std::string> parts_;
  const std::optional<http::BodyEnd> end_;
  std::size_t next_ = 0;
};

/** A model engine that records its orders and runs, with injected faults. */
class FakeEngine final : public external::Engine {
 public:
  enum class Fault {
    kNone,
    kAnswerLost,    ///< Carried out, but without an answer.
    kNeverArrived,  ///< Not carried out, and without an answer.
    kArrivesLate,   ///< Carried out by DeliverLateOrders, without an answer.
    kLoadFails,
    kCrash,  ///< The engine crashes and restarts while carrying it out.
  };

  explicit FakeEngine(
      std::shared_ptr<ReplicaCounter> replica_counter_arg = nullptr)
      : replica_counter(std::move(replica_counter_arg)) {
    status.incarnation = 1;
    status.memory_bytes = 100;
  }

  external::EngineStatus status;
  std::shared_ptr<ReplicaCounter> replica_counter;
  std::function<Fault()> fault = [] { return Fault::kNone; };
  Millis order_time{1};
  bool down = false;
  bool overcommitted = false;
  bool orders_overlapped = false;
  int orders = 0;
  std::vector<std::string> ran;
  /** The engine crashes in the middle of the next answer. */
  bool crash_next_run = false;
  /** How answers of runs end that are not crashed. */
  http::BodyEnd body_end = http::BodyEnd::kStated;

  Task<external::EngineStatus> Status() override {
    co_await core::SleepFor(Millis(0));
    if (down) throw Error(ErrorCode::kEngineUnavailable);
    co_return status;
  }

  Task<> Order(external::EngineOrder order, Millis /*timeout*/) override {
    if (down) throw Error(ErrorCode::kEngineUnavailable);
    ++orders;
    if (status.order_in_progress) {
      orders_overlapped = true;
      throw Error(ErrorCode::kEngineRefusedOrder, "busy");
    }
    const Fault now = fault();
    if (now == Fault::kArrivesLate) late_.push_back(order);
    if (now == Fault::kArrivesLate || now == Fault::kNeverArrived) {
      throw Error(ErrorCode::kOutcomeUnknown);
    }
    if (!PassesFence(order)) {
      throw Error(ErrorCode::kEngineRefusedOrder, "stale_fence");
    }
    status.order_in_progress = true;
    co_await core::SleepFor(order_time);
    status.order_in_progress = false;
    if (now == Fault::kCrash) Crash();
    if (now == Fault::kLoadFails) throw Error(ErrorCode::kLoadFailed);
    if (now != Fault::kCrash) ApplyOrder(order);
    if (now == Fault::kAnswerLost || now == Fault::kCrash) {
      throw Error(ErrorCode::kOutcomeUnknown);
    }
  }

  Task<std::unique_ptr<http::ResponseStream>> Run(http::Request request,
                                                  Millis /*timeout*/) override {
    co_await core::SleepFor(Millis(0));
    if (down) throw http::TransportError("refused", false, false);
    ran.emplace_back(
        http::FindHeader(request.headers, "X-Request-Id").value_or(""));
    const bool crash = std::exchange(crash_next_run, false);
    if (crash) Crash();
    co_return MakeAnswer(crash);
  }

  /** Delivers the orders that were still in transit. */
  void DeliverLateOrders() {
    for (const auto& it : std::exchange(late_, {})) {
      if (PassesFence(it)) ApplyOrder(it);
    }
  }

  /** Restarts with no model loaded. */
  void Crash() {
    for (const auto& it : std::exchange(status.models, {})) {
      if (replica_counter) replica_counter->Count(it.model, -1);
    }
    ++status.incarnation;
    status.fence = 0;
  }

  [[nodiscard]] bool Holds(const std::string& model) const {
    return std::ranges::find(status.models, core::ModelId(model),
                             &external::EngineModel::model) !=
           status.models.end();
  }

  void ApplyOrder(const external::EngineOrder& order) {
    using external::OrderKind;
    auto it = std::ranges::find(status.models, order.model,
                                &external::EngineModel::model);
    const bool held = it != status.models.end();
    if (order.kind == OrderKind::kLoadModel && !held) {
      external::EngineModel model;
      model.model = order.model;
      model.version = order.version;
      model.state = external::EngineModelState::kReady;
      model.weight_bytes = order.bytes;
      model.kv_budget_bytes = order.kv_budget_bytes;
      status.models.push_back(model);
      if (replica_counter) replica_counter->Count(order.model, 1);
    } else if (order.kind == OrderKind::kUnloadModel && held) {
      status.models.erase(it);
      if (replica_counter) replica_counter->Count(order.model, -1);
    } else if (order.kind == OrderKind::kLoadAdapter && held) {
      it->adapters.push_back({order.adapter, order.bytes});
    } else if (order.kind == OrderKind::kUnloadAdapter && held) {
      std::erase_if(it->adapters, [&](const auto& adapter) {
        return adapter.adapter == order.adapter;
      });
    }
    if (HeldBytes() > status.memory_bytes) overcommitted = true;
  }

 private:
  [[nodiscard]] std::unique_ptr<http::ResponseStream> MakeAnswer(
      bool broken) const {
    const std::vector<std::string> parts = {"part one ", "part two"};
    return std::make_unique<FakeStream>(
        parts, broken ? std::nullopt : std::optional(body_end));
  }

  bool PassesFence(const external::EngineOrder& order) {
    if (status.honours_fencing && order.fence < status.fence) return false;
    status.fence = std::max(status.fence, order.fence);
    return true;
  }

  [[nodiscard]] std::int64_t HeldBytes() const {
    std::int64_t bytes = 0;
    for (const auto& it : status.models) {
      bytes += it.weight_bytes + it.kv_budget_bytes;
      for (const auto& adapter : it.adapters) bytes += adapter.bytes;
    }
    return bytes;
  }

  std::vector<external::EngineOrder> late_;
};

}  // namespace sapphire::endpoint::test

#endif  // SAPPHIRE_ENDPOINT_FAKE_PLATFORM_TEST_H_
