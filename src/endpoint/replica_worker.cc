/** @file replica_worker.cc Loads and unloads models. */
#include <algorithm>
#include <boost/asio/post.hpp>
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

/** Longest delay caused by a missed notification. */
constexpr Millis kRecheck{1000};
constexpr Millis kRoomRetryAfter{2000};
constexpr Millis kLaneRetryAfter{3000};
constexpr std::string_view kRemote = "remote";
/** Time limit of a background grant check. */
constexpr Millis kGrantCheckTimeout{5000};

Millis Between(core::SteadyTime from, core::SteadyTime to) {
  return std::chrono::duration_cast<Millis>(to - from);
}

/** A separate function, because GCC 12 destroys a lambda that is a temporary
 * inside a co_await twice, and the replica with it. */
std::function<void()> OutcomeLostHook(const ReplicaPtr& replica) {
  return [replica] {
    const std::lock_guard lock(replica->mutex);
    replica->life.Apply(ReplicaEvent::kOutcomeLost);
  };
}

}  // namespace

contract::Model ReplicaWorker::SpecOf(const core::ModelId& model) const {
  const auto config = parts_.config.Current();
  if (!config) throw Error(ErrorCode::kNotConfigured);
  const auto it = config->intent.models.find(model);
  if (it == config->intent.models.end()) {
    throw Error(ErrorCode::kUnknownModel, model.value());
  }
  return it->second;
}

std::string_view ReplicaWorker::TierOf(const core::ModelId& model) const {
  const auto status = parts_.status_poller.Latest();
  const auto holds = [&](const std::vector<core::ModelId>& tier) {
    return std::ranges::find(tier, model) != tier.end();
  };
  if (status && holds(status->memory_tier)) return "memory";
  if (status && holds(status->disk_tier)) return "disk";
  return kRemote;
}

/** Posts the spawn, because callers hold a replica's lock and core::Spawn may
 * run a task's first steps before it returns: the task would deadlock on that
 * lock. */
void ReplicaWorker::StartTask(std::string_view name,
                              std::function<Task<>()> task) {
  boost::asio::post(parts_.executor, [this, name, task = std::move(task)] {
    core::Spawn(parts_.executor, parts_.log, name, task);
  });
}

void ReplicaWorker::StartLoad(const ReplicaPtr& replica, LoadRequest request) {
  StartTask("load",
            [this, replica, request] { return Load(replica, request); });
}

Task<> ReplicaWorker::Load(ReplicaPtr replica, LoadRequest request) {
  std::optional<Error> failure;
  try {
    co_await LoadSteps(replica, std::move(request));
  } catch (const Error& e) {
    failure = e;
  }
  if (failure) {
    parts_.metrics.LoadFailed(failure->code());
    parts_.log.Event(
        LogLevel::kWarning, LogCategory::kReplica, "load_failed",
        {{"model", replica->model}, {"error", std::string(failure->what())}});
  }
  {
    const std::lock_guard lock(replica->mutex);
    if (failure) {
      ++replica->failures;
      replica->last_failure = failure;
    }
    replica->task_active = false;
  }
  parts_.table.changed().Notify();
  // Ends the replica's own grant if its load failed, and the grants of models
  // that were evicted for it.
  co_await parts_.ledger.FlushPending();
}

Task<> ReplicaWorker::LoadSteps(ReplicaPtr replica, LoadRequest request) {
  const core::SteadyTime begun = parts_.clock.Now();
  const contract::Model spec = SpecOf(replica->model);
  const std::string_view tier = TierOf(replica->model);
  CheckRoom(spec, request.evict);
  {
    const std::lock_guard lock(replica->mutex);
    replica->life.Apply(ReplicaEvent::kStarted);
    replica->service = spec.service;
    replica->version = spec.version;
    replica->max_concurrent = spec.max_concurrent;
  }
  parts_.table.changed().Notify();
  std::optional<Error> failure;
  try {
    co_await TakeGrant(replica, request.deadline);
    if (tier == kRemote) {
      co_await LoadThroughLane(replica, spec, std::move(request));
    } else {
      co_await OrderLoad(replica, spec, std::move(request));
    }
  } catch (const Error& e) {
    failure = e;
  }
  if (failure) {
    const std::lock_guard lock(replica->mutex);
    ReleaseGrant(*replica);
    throw *failure;
  }
  const Millis took = Between(begun, parts_.clock.Now());
  parts_.metrics.RecordColdLoad(tier, took);
  parts_.log.Event(
      LogLevel::kInfo, LogCategory::kReplica, "model_loaded",
      {{"model", replica->model}, {"tier", tier}, {"took_ms", took}});
}

/** Loads from the weight store, whose lanes are shared by the whole fleet. */
Task<> ReplicaWorker::LoadThroughLane(ReplicaPtr replica, contract::Model spec,
                                      LoadRequest request) {
  const auto config = parts_.config.Current();
  const int at_once = config ? config->intent.loads_at_once : 1;
  const bool entered =
      co_await parts_.lanes.Enter(replica->model, at_once, request.deadline);
  if (!entered) {
    throw Error(ErrorCode::kDeadlineTooShort,
                "no lane of the weight store for " + replica->model.value(),
                kLaneRetryAfter);
  }
  std::optional<Error> failure;
  try {
    co_await OrderLoad(replica, std::move(spec), std::move(request));
  } catch (const Error& e) {
    failure = e;
  }
  // The lane is freed in the background, so that the caller need not wait for
  // it.
  StartTask("leave_lane", [this, model = replica->model] {
    return parts_.lanes.Leave(model);
  });
  if (failure) throw Error(*failure);
}

Task<> ReplicaWorker::TakeGrant(ReplicaPtr replica, core::SteadyTime deadline) {
  const auto config = parts_.config.Current();
  if (!config) throw Error(ErrorCode::kNotConfigured);
  const Grant grant = co_await parts_.ledger.Take(
      config, replica->model, parts_.order_sender.NextFence(), deadline);
  parts_.order_sender.RaiseFence(grant.fence);
  const std::lock_guard lock(replica->mutex);
  replica->grant = grant;
  replica->grant_seen = parts_.clock.Now();
  // A model that was found loaded before the first configuration arrived has no
  // service yet; without one its grant would be released in a ledger that
  // doesn't exist.
  replica->service = config->intent.models.at(replica->model).service;
}

/**
 * Takes the grant again if it is older than max_grant_age_. If the process is
 * suspended between its grant and its order, the platform may list its VM as
 * gone and another VM may get the grant. On resuming, the process would load
 * one replica too many.
 */
Task<> ReplicaWorker::RefreshStaleGrant(ReplicaPtr replica,
                                        core::SteadyTime deadline) {
  core::SteadyTime seen;
  {
    const std::lock_guard lock(replica->mutex);
    seen = replica->grant_seen;
  }
  if (parts_.clock.Now() - seen <= max_grant_age_) co_return;
  {
    const std::lock_guard lock(replica->mutex);
    replica->grant.reset();
  }
  co_await TakeGrant(replica, deadline);
}

Task<> ReplicaWorker::OrderLoad(ReplicaPtr replica, contract::Model spec,
                                LoadRequest request) {
  const OrderLock order_lock = co_await parts_.order_sender.Enter();
  if (parts_.table.leaving) throw Error(ErrorCode::kLeaving);
  co_await RefreshStaleGrant(replica, request.deadline);
  const MemoryHolder holder{replica->model, {}};
  co_await MakeRoom(holder, spec.weight_bytes + spec.kv_budget_bytes,
                    std::move(request.evict));
  {
    const std::lock_guard lock(replica->mutex);
    replica->life.Apply(ReplicaEvent::kLoadOrdered);
  }
  external::EngineOrder order;
  order.kind = external::OrderKind::kLoadModel;
  order.model = replica->model;
  order.version = spec.version;
  order.bytes = spec.weight_bytes;
  order.kv_budget_bytes = spec.kv_budget_bytes;
  std::function<void()> outcome_lost = OutcomeLostHook(replica);
  const OrderResult result = co_await parts_.order_sender.Execute(
      std::move(order), std::move(outcome_lost));
  const std::lock_guard lock(replica->mutex);
  if (!result.carried_out) {
    replica->life.Apply(ReplicaEvent::kSeenAbsent);
    parts_.table.ReleaseMemory(holder);
    throw *result.error;
  }
  replica->life.Apply(ReplicaEvent::kSeenLoaded);
  // From kUnknown the state machine goes to kDraining, but the replica is still
  // needed.
  replica->life.Apply(ReplicaEvent::kDrainCancelled);
  replica->idle_since = parts_.clock.Now();
}

/** @pre The replica's lock is held; phase kGranted. */
void ReplicaWorker::ReleaseGrant(Replica& replica) {
  if (replica.grant) parts_.ledger.Release(replica.service, *replica.grant);
  replica.grant.reset();
  replica.must_unload = false;
  replica.life.Apply(ReplicaEvent::kGrantReleased);
}

void ReplicaWorker::MarkUnloaded(Replica& replica) {
  replica.life.Apply(ReplicaEvent::kSeenAbsent);
  parts_.table.ReleaseMemory({replica.model, {}});
  replica.adapters.clear();
  if (replica.running == 0) {
    parts_.metrics.AddIdleTime(Between(replica.idle_since, parts_.clock.Now()));
  }
  ReleaseGrant(replica);
}

void ReplicaWorker::StartUnload(const ReplicaPtr& replica) {
  StartTask("unload", [this, replica] { return Unload(replica); });
}

Task<> ReplicaWorker::Unload(ReplicaPtr replica) {
  if (co_await WaitUntilIdle(replica)) {
    const OrderLock order_lock = co_await parts_.order_sender.Enter();
    co_await OrderUnload(replica);
  }
  {
    const std::lock_guard lock(replica->mutex);
    replica->task_active = false;
  }
  parts_.table.changed().Notify();
  co_await parts_.ledger.FlushPending();
}

/** @return False if the drain was cancelled or another task unloaded it. */
Task<bool> ReplicaWorker::WaitUntilIdle(ReplicaPtr replica) {
  while (true) {
    const auto epoch = parts_.table.changed().epoch();
    {
      const std::lock_guard lock(replica->mutex);
      if (replica->life.phase() != ReplicaPhase::kDraining) co_return false;
      if (replica->running == 0) co_return true;
    }
    co_await parts_.table.changed().Wait(epoch, kRecheck);
  }
}

/**
 * Unloads a replica that is draining and idle.
 * @return True if the unload is confirmed.
 * @pre The caller holds the engine's order lock.
 */
Task<bool> ReplicaWorker::OrderUnload(ReplicaPtr replica) {
  {
    const std::lock_guard lock(replica->mutex);
    if (replica->running > 0 ||
        !replica->life.Apply(ReplicaEvent::kUnloadOrdered)) {
      co_return false;
    }
  }
  parts_.table.changed().Notify();
  external::EngineOrder order;
  order.kind = external::OrderKind::kUnloadModel;
  order.model = replica->model;
  order.version = replica->version;
  std::function<void()> outcome_lost = OutcomeLostHook(replica);
  const OrderResult result = co_await parts_.order_sender.Execute(
      std::move(order), std::move(outcome_lost));
  {
    const std::lock_guard lock(replica->mutex);
    if (!result.carried_out) {
      replica->life.Apply(ReplicaEvent::kSeenLoaded);
    } else {
      MarkUnloaded(*replica);
    }
  }
  parts_.table.changed().Notify();
  if (!result.carried_out) co_return false;
  parts_.metrics.Unloaded();
  parts_.log.Event(LogLevel::kInfo, LogCategory::kReplica, "model_unloaded",
                   {{"model", replica->model}});
  co_return true;
}

void ReplicaWorker::StartGrantCheck(const ReplicaPtr& replica) {
  StartTask("grant_check", [this, replica] { return CheckGrant(replica); });
}

Task<> ReplicaWorker::CheckGrant(ReplicaPtr replica) {
  std::optional<Error> failure;
  try {
    co_await TakeGrant(replica, parts_.clock.Now() + kGrantCheckTimeout);
  } catch (const Error& e) {
    failure = e;
  }
  {
    const std::lock_guard lock(replica->mutex);
    replica->task_active = false;
    // The engine has lost the model in the meantime, so the grant is released.
    if (replica->life.phase() == ReplicaPhase::kAbsent) ReleaseGrant(*replica);
    // Other errors, such as an outage, say nothing about the limit; the next
    // audit checks again.
    if (failure && (failure->code() == ErrorCode::kReplicaLimit ||
                    failure->code() == ErrorCode::kUnknownModel)) {
      replica->must_unload = true;
    }
  }
  parts_.table.changed().Notify();
}

/** Checks the memory before a grant is taken or anything is unloaded.
 * @throws Error kOverMemory if even eviction can't free enough. */
void ReplicaWorker::CheckRoom(const contract::Model& spec,
                              const std::vector<core::ModelId>& evict) const {
  const MemoryLedger memory = parts_.table.Memory();
  std::int64_t possible = FreeBytes(memory);
  for (const ReplicaPtr& it : parts_.table.All()) {
    const std::lock_guard lock(it->mutex);
    const bool named = std::ranges::find(evict, it->model) != evict.end();
    const ReplicaPhase phase = it->life.phase();
    const bool going =
        phase == ReplicaPhase::kDraining || phase == ReplicaPhase::kUnloading;
    const bool idle = phase == ReplicaPhase::kReady && it->running == 0;
    if (going || (named && idle)) possible += BytesOf(memory, it->model);
  }
  if (spec.weight_bytes + spec.kv_budget_bytes > possible) {
    throw Error(ErrorCode::kOverMemory, spec.name.value(), kRoomRetryAfter);
  }
}

/**
 * Reserves memory, unloading idle adapters and the idle models of `evict` as
 * far as needed.
 * @throws Error kOverMemory
 * @pre The caller holds the engine's order lock.
 */
Task<> ReplicaWorker::MakeRoom(MemoryHolder holder, std::int64_t bytes,
                               std::vector<core::ModelId> evict) {
  std::set<core::ModelId> tried;
  while (!parts_.table.ReserveMemory(holder, bytes)) {
    // Adapters are evicted first, because they load far faster than models, but
    // only if that frees enough without evicting a model as well.
    if (IdleAdaptersMakeRoomFor(bytes) && co_await EvictAdapter()) continue;
    if (co_await EvictModel(evict, holder.model, tried)) continue;
    if (co_await EvictAdapter()) continue;
    throw Error(ErrorCode::kOverMemory, holder.model.value(), kRoomRetryAfter);
  }
}

/** Unloads the longest idle of the models that are draining or listed in
 * `evict`. @return False if there is none. */
Task<bool> ReplicaWorker::EvictModel(std::vector<core::ModelId> evict,
                                     core::ModelId keep,
                                     std::set<core::ModelId>& tried) {
  ReplicaPtr victim;
  core::SteadyTime longest = core::SteadyTime::max();
  for (const ReplicaPtr& it : parts_.table.All()) {
    if (it->model == keep || tried.contains(it->model)) continue;
    const std::lock_guard lock(it->mutex);
    const bool named = std::ranges::find(evict, it->model) != evict.end();
    const ReplicaPhase phase = it->life.phase();
    const bool may_go =
        phase == ReplicaPhase::kDraining ||
        (phase == ReplicaPhase::kReady && named && !it->task_active);
    if (!may_go || it->running > 0 || it->idle_since >= longest) continue;
    longest = it->idle_since;
    victim = it;
  }
  if (!victim) co_return false;
  tried.insert(victim->model);
  {
    const std::lock_guard lock(victim->mutex);
    if (victim->running > 0) co_return true;
    victim->life.Apply(ReplicaEvent::kDrainStarted);
  }
  co_await OrderUnload(victim);
  co_return true;
}

}  // namespace sapphire::endpoint
