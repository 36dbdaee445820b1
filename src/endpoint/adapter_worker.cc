/** @file adapter_worker.cc Loads and unloads adapters beside their models. */
#include <algorithm>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "endpoint/memory_ledger_func.h"
#include "endpoint/replica_worker_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Millis;
using core::Task;

namespace {

constexpr Millis kAdapterRetryAfter{1000};

contract::Adapter AdapterSpec(const contract::Model& model,
                              const core::AdapterId& adapter) {
  const auto it =
      std::ranges::find(model.adapters, adapter, &contract::Adapter::name);
  if (it == model.adapters.end()) {
    throw Error(ErrorCode::kUnknownAdapter, adapter.value());
  }
  return *it;
}

external::EngineOrder AdapterOrder(external::OrderKind kind,
                                   const core::ModelId& model,
                                   const core::AdapterId& adapter) {
  external::EngineOrder order;
  order.kind = kind;
  order.model = model;
  order.adapter = adapter;
  return order;
}

/**
 * Counts a waiter of an adapter while in scope. An adapter with waiters is not
 * evicted, so that each load serves at least one request.
 * Failure: memory has room for one adapter and several are requested. Each load
 * evicted the adapter loaded before it, before its waiter had resumed and used
 * it; the waiter then started the same load again. This livelock lasted until
 * all deadlines had passed, and meanwhile the models counted as in use.
 */
class AdapterWaiter {
 public:
  AdapterWaiter(ReplicaPtr replica, core::AdapterId adapter)
      : replica_(std::move(replica)), adapter_(std::move(adapter)) {
    const std::lock_guard lock(replica_->mutex);
    ++replica_->adapter_waiters[adapter_];
  }
  ~AdapterWaiter() {
    const std::lock_guard lock(replica_->mutex);
    const auto it = replica_->adapter_waiters.find(adapter_);
    if (--it->second == 0) replica_->adapter_waiters.erase(it);
  }
  AdapterWaiter(const AdapterWaiter&) = delete;
  AdapterWaiter& operator=(const AdapterWaiter&) = delete;

 private:
  const ReplicaPtr replica_;
  const core::AdapterId adapter_;
};

/** @return True if the adapter is loaded and has no users or waiters.
 * @pre The replica's lock is held. */
bool IsIdle(const Replica& replica, const core::AdapterId& adapter,
            const AdapterSlot& slot) {
  return slot.loaded && slot.running == 0 &&
         !replica.adapter_waiters.contains(adapter);
}

}  // namespace

Task<> ReplicaWorker::EnsureAdapter(ReplicaPtr replica, core::AdapterId adapter,
                                    LoadRequest request) {
  const contract::Adapter spec = AdapterSpec(SpecOf(replica->model), adapter);
  const AdapterWaiter waits(replica, adapter);
  std::optional<int> failures;
  while (true) {
    const auto epoch = parts_.table.changed().epoch();
    {
      const std::lock_guard lock(replica->mutex);
      if (!failures) failures = replica->adapter_failures;
      if (UseAdapter(*replica, spec, request, *failures)) co_return;
    }
    const auto left = std::chrono::duration_cast<Millis>(request.deadline -
                                                         parts_.clock.Now());
    if (left.count() <= 0) {
      throw Error(ErrorCode::kDeadlineTooShort, "adapter " + adapter.value(),
                  kAdapterRetryAfter);
    }
    co_await parts_.table.changed().Wait(epoch, left);
  }
}

/**
 * Increments the use count of a loaded adapter, or starts its load.
 * @return True if the adapter is loaded.
 * @throws Error of the last load, if one failed since `failures_before`.
 * @pre The replica's lock is held.
 */
bool ReplicaWorker::UseAdapter(Replica& replica, const contract::Adapter& spec,
                               const LoadRequest& request,
                               int failures_before) {
  if (replica.adapter_failures > failures_before) {
    throw Error(*replica.last_adapter_failure);
  }
  const auto [it, added] = replica.adapters.try_emplace(spec.name);
  if (it->second.loaded) {
    it->second.last_used = parts_.clock.Now();
    ++it->second.running;
    return true;
  }
  if (!added) return false;
  // The load runs in its own task, because a caller that gives up must not
  // cancel an order whose outcome has to be known.
  const std::vector<core::ModelId> evict = request.evict;
  const ReplicaPtr held = parts_.table.Find(replica.model);
  StartTask("load_adapter", [this, held, spec, evict] {
    return LoadAdapter(held, spec, evict);
  });
  return false;
}

Task<> ReplicaWorker::LoadAdapter(ReplicaPtr replica, contract::Adapter spec,
                                  std::vector<core::ModelId> evict) {
  const MemoryHolder holder{replica->model, spec.name};
  std::optional<Error> failure;
  bool reserved = false;
  try {
    const OrderLock order_lock = co_await parts_.order_sender.Enter();
    co_await MakeRoom(holder, spec.bytes, std::move(evict));
    reserved = true;
    auto order = AdapterOrder(external::OrderKind::kLoadAdapter, replica->model,
                              spec.name);
    order.version = spec.version;
    order.bytes = spec.bytes;
    const OrderResult result =
        co_await parts_.order_sender.Execute(std::move(order), [] {});
    if (!result.carried_out) failure = result.error;
  } catch (const Error& e) {
    failure = e;
  }
  {
    const std::lock_guard lock(replica->mutex);
    if (failure) {
      replica->adapters.erase(spec.name);
      ++replica->adapter_failures;
      replica->last_adapter_failure =
          failure->WithOutcome(core::Outcome::kNotRun);
      if (reserved) parts_.table.ReleaseMemory(holder);
    } else {
      replica->adapters[spec.name] = {true, 0, parts_.clock.Now()};
    }
  }
  parts_.table.changed().Notify();
  if (failure) throw Error(*failure);
  parts_.log.Event(LogLevel::kInfo, LogCategory::kReplica, "adapter_loaded",
                   {{"model", replica->model}, {"adapter", spec.name}});
}

/** @return True if `bytes` fit once every idle adapter is unloaded. */
bool ReplicaWorker::IdleAdaptersMakeRoomFor(std::int64_t bytes) const {
  const MemoryLedger memory = parts_.table.Memory();
  std::int64_t possible = FreeBytes(memory);
  for (const ReplicaPtr& it : parts_.table.All()) {
    const std::lock_guard lock(it->mutex);
    for (const auto& [adapter, slot] : it->adapters) {
      if (!IsIdle(*it, adapter, slot)) continue;
      const auto held = memory.reservations.find({it->model, adapter});
      if (held != memory.reservations.end()) possible += held->second;
    }
  }
  return bytes <= possible;
}

/** Unloads the least recently used idle adapter of all models.
 * @return False if there is none or its unload failed. */
Task<bool> ReplicaWorker::EvictAdapter() {
  ReplicaPtr owner;
  core::AdapterId victim;
  core::SteadyTime longest = core::SteadyTime::max();
  for (const ReplicaPtr& it : parts_.table.All()) {
    const std::lock_guard lock(it->mutex);
    for (const auto& [adapter, slot] : it->adapters) {
      if (!IsIdle(*it, adapter, slot) || slot.last_used >= longest) continue;
      longest = slot.last_used;
      owner = it;
      victim = adapter;
    }
  }
  if (!owner) co_return false;
  {
    const std::lock_guard lock(owner->mutex);
    AdapterSlot& slot = owner->adapters[victim];
    if (!IsIdle(*owner, victim, slot)) co_return true;
    slot.loaded = false;
  }
  const OrderResult result = co_await parts_.order_sender.Execute(
      AdapterOrder(external::OrderKind::kUnloadAdapter, owner->model, victim),
      [] {});
  const std::lock_guard lock(owner->mutex);
  if (!result.carried_out) {
    owner->adapters[victim].loaded = true;
    co_return false;
  }
  owner->adapters.erase(victim);
  parts_.table.ReleaseMemory({owner->model, victim});
  parts_.log.Event(LogLevel::kInfo, LogCategory::kReplica, "adapter_unloaded",
                   {{"model", owner->model}, {"adapter", victim}});
  co_return true;
}

}  // namespace sapphire::endpoint
