/** @file replicas.cc Load requests and request admission for the replicas of a
 * model engine. */
#include <algorithm>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "endpoint/memory_ledger_func.h"
#include "endpoint/replicas_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;
using core::Millis;
using core::Task;

namespace {

constexpr Millis kStartRetryAfter{1000};
constexpr Millis kBusyRetryAfter{500};
/** Longest delay caused by a missed notification. */
constexpr Millis kRecheck{1000};

Millis Between(core::SteadyTime from, core::SteadyTime to) {
  return std::chrono::duration_cast<Millis>(to - from);
}

/** @return The state to report; none if the model is neither loaded nor being
 * loaded. */
std::optional<gen::ReplicaState::type> ReportedState(const Replica& replica) {
  switch (replica.life.phase()) {
    case ReplicaPhase::kAbsent:
      return std::nullopt;
    case ReplicaPhase::kGranted:
    case ReplicaPhase::kLoading:
      return gen::ReplicaState::LOADING;
    case ReplicaPhase::kReady:
      return gen::ReplicaState::READY;
    case ReplicaPhase::kDraining:
      return gen::ReplicaState::DRAINING;
    case ReplicaPhase::kUnloading:
    case ReplicaPhase::kUnknown:
      return gen::ReplicaState::UNLOADING;
  }
  return std::nullopt;
}

gen::ReplicaReport ReportOf(const Replica& replica,
                            gen::ReplicaState::type state,
                            core::SteadyTime now) {
  gen::ReplicaReport report;
  report.model = replica.model.value();
  report.state = state;
  report.running = replica.running;
  const bool idle = state == gen::ReplicaState::READY && replica.running == 0;
  report.idle_ms = idle ? Between(replica.idle_since, now).count() : 0;
  for (const auto& [adapter, slot] : replica.adapters) {
    if (slot.loaded) report.adapters.push_back(adapter.value());
  }
  return report;
}

std::vector<std::string> NamesOf(const std::vector<core::ModelId>& models) {
  std::vector<std::string> names;
  names.reserve(models.size());
  for (const core::ModelId& it : models) names.push_back(it.value());
  return names;
}

}  // namespace

void Replicas::CheckAcceptsWork() const {
  if (parts_.table.leaving) throw Error(ErrorCode::kLeaving);
  if (!parts_.table.recovered) {
    throw Error(ErrorCode::kNoCapacity, "the engine isn't known yet",
                kStartRetryAfter);
  }
  if (!parts_.config.Current()) {
    throw Error(ErrorCode::kNotConfigured, "", kStartRetryAfter);
  }
}

Task<> Replicas::Ensure(gen::EnsureModel request) {
  CheckAcceptsWork();
  const core::SteadyTime deadline =
      parts_.clock.Now() + Millis(request.remaining_ms);
  LoadRequest load{deadline, {}};
  for (const std::string& it : request.evict) load.evict.emplace_back(it);
  const ReplicaPtr replica =
      parts_.table.FindOrAdd(core::ModelId(request.model));
  int failures = 0;
  {
    const std::lock_guard lock(replica->mutex);
    failures = replica->failures;
  }
  while (true) {
    const auto epoch = parts_.table.changed().epoch();
    CheckAcceptsWork();
    if (StartOrCheck(replica, load, failures)) break;
    const Millis left = Between(parts_.clock.Now(), deadline);
    if (left <= Millis::zero()) {
      throw Error(ErrorCode::kDeadlineTooShort, request.model,
                  kStartRetryAfter);
    }
    co_await parts_.table.changed().Wait(epoch, std::min(left, kRecheck));
  }
  ApplyKeepAlive(replica, Millis(request.keep_alive_ms));
  if (request.adapter.empty()) co_return;
  gen::Run use;
  use.model = request.model;
  const RunSlot slot = TakeSlot(replica, use);
  const core::AdapterId adapter(request.adapter);
  co_await worker_.EnsureAdapter(replica, adapter, std::move(load));
  TakeAdapterSlot(replica, slot, adapter);
}

/**
 * @return True if the replica is ready.
 * @throws Error of the load that this request waited for, if it failed.
 */
bool Replicas::StartOrCheck(const ReplicaPtr& replica,
                            const LoadRequest& request, int failures_before) {
  const std::lock_guard lock(replica->mutex);
  if (replica->failures > failures_before) throw *replica->last_failure;
  switch (replica->life.phase()) {
    case ReplicaPhase::kReady:
      return true;
    case ReplicaPhase::kDraining:
      // The drain is cancelled if the model is needed again, unless the model
      // must be unloaded (no grant, over a limit or no longer configured).
      if (replica->must_unload) {
        throw Error(ErrorCode::kNoCapacity, replica->model.value(),
                    kBusyRetryAfter);
      }
      return replica->life.Apply(ReplicaEvent::kDrainCancelled);
    case ReplicaPhase::kAbsent:
      if (!std::exchange(replica->task_active, true)) {
        worker_.StartLoad(replica, request);
      }
      return false;
    default:
      return false;
  }
}

Millis Replicas::KeepAliveFor(Millis wanted) const {
  if (wanted < Millis::zero()) return keep_alive_;
  return std::max(wanted, min_keep_alive_);
}

void Replicas::ApplyKeepAlive(const ReplicaPtr& replica, Millis wanted) const {
  const std::lock_guard lock(replica->mutex);
  replica->keep_alive = KeepAliveFor(wanted);
  if (replica->running == 0) {
    const core::SteadyTime now = parts_.clock.Now();
    parts_.metrics.AddIdleTime(Between(replica->idle_since, now));
    replica->idle_since = now;
  }
}

Task<RunSlot> Replicas::Admit(const gen::Run& run, core::SteadyTime deadline) {
  CheckAcceptsWork();
  const ReplicaPtr replica = parts_.table.Find(core::ModelId(run.model));
  if (!replica) {
    throw Error(ErrorCode::kNoCapacity, run.model + " isn't loaded",
                kBusyRetryAfter);
  }
  RunSlot slot = TakeSlot(replica, run);
  if (run.adapter.empty()) co_return slot;
  const core::AdapterId adapter(run.adapter);
  LoadRequest request{deadline, {}};
  co_await worker_.EnsureAdapter(replica, adapter, std::move(request));
  co_return TakeAdapterSlot(replica, std::move(slot), adapter);
}

RunSlot Replicas::TakeSlot(const ReplicaPtr& replica, const gen::Run& run) {
  {
    const std::lock_guard lock(replica->mutex);
    if (replica->life.phase() != ReplicaPhase::kReady) {
      throw Error(ErrorCode::kNoCapacity, run.model + " isn't ready",
                  kBusyRetryAfter);
    }
    if (replica->running >= replica->max_concurrent) {
      throw Error(ErrorCode::kQueueFull, run.model, kBusyRetryAfter);
    }
    if (replica->running++ == 0) {
      parts_.metrics.AddIdleTime(
          Between(replica->idle_since, parts_.clock.Now()));
    }
    if (run.keep_alive_ms >= 0) {
      replica->keep_alive = KeepAliveFor(Millis(run.keep_alive_ms));
    }
  }
  parts_.table.changed().Notify();
  // The slot may outlive this object at process exit, so it shares ownership
  // of the replica and the signal.
  return RunSlot(nullptr, [replica, &clock = parts_.clock,
                           changed = parts_.table.shared_changed()](void*) {
    {
      const std::lock_guard lock(replica->mutex);
      if (--replica->running == 0) replica->idle_since = clock.Now();
    }
    changed->Notify();
  });
}

/** @return A slot that ends the adapter's use before the model's. */
RunSlot Replicas::TakeAdapterSlot(const ReplicaPtr& replica, RunSlot slot,
                                  const core::AdapterId& adapter) const {
  return RunSlot(nullptr, [replica, slot = std::move(slot), adapter,
                           &clock = parts_.clock](void*) {
    const std::lock_guard lock(replica->mutex);
    const auto it = replica->adapters.find(adapter);
    if (it == replica->adapters.end()) return;
    --it->second.running;
    it->second.last_used = clock.Now();
  });
}

void Replicas::Leave() {
  parts_.table.leaving = true;
  parts_.table.changed().Notify();
}

void Replicas::Describe(gen::EndpointReport& report) const {
  const MemoryLedger memory = parts_.table.Memory();
  const core::SteadyTime now = parts_.clock.Now();
  report.memory_bytes = memory.capacity_bytes;
  report.reserved_bytes = memory.reserved_bytes;
  for (const ReplicaPtr& it : parts_.table.All()) {
    const std::lock_guard lock(it->mutex);
    const auto state = ReportedState(*it);
    if (!state) continue;
    gen::ReplicaReport replica = ReportOf(*it, *state, now);
    replica.bytes = BytesOf(memory, it->model);
    report.running += replica.running;
    report.max_running += it->max_concurrent;
    report.replicas.push_back(std::move(replica));
  }
  if (const auto status = parts_.status_poller.Latest()) {
    report.memory_tier = NamesOf(status->memory_tier);
    report.disk_tier = NamesOf(status->disk_tier);
  }
  report.engine_up = parts_.status_poller.up() && parts_.table.recovered;
}

}  // namespace sapphire::endpoint
