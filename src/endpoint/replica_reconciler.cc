/** @file replica_reconciler.cc Reconciles replicas with the engine and the
 * ledgers, and unloads idle ones. */
#include <algorithm>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "endpoint/grant_func.h"
#include "endpoint/replica_reconciler_base.h"
#include "policy/keep_alive_func.h"

namespace sapphire::endpoint {

using core::Error;
using core::LogCategory;
using core::LogLevel;
using core::Millis;
using core::Task;

namespace {

/** Converts a replica for the keep-alive policy: one that is being loaded
 * counts as in use, one that is being unloaded as past its keep-alive time. */
policy::LoadedReplica ToLoadedReplica(Replica& replica, core::SteadyTime now) {
  const std::lock_guard lock(replica.mutex);
  const ReplicaPhase phase = replica.life.phase();
  if (phase == ReplicaPhase::kReady) {
    const auto idle =
        std::chrono::duration_cast<core::Millis>(now - replica.idle_since);
    return {replica.running, idle, replica.keep_alive};
  }
  const bool coming =
      phase == ReplicaPhase::kGranted || phase == ReplicaPhase::kLoading;
  return {coming ? 1 : 0, core::Millis::zero(), core::Millis::zero()};
}

}  // namespace
using external::EngineModel;
using external::EngineModelState;
using external::EngineStatus;

ReplicaReconciler::ReplicaReconciler(EndpointParts parts,
                                     ReplicaReconcilerOptions options,
                                     ReplicaWorker& worker)
    : parts_(parts), options_(std::move(options)), worker_(worker) {}

void ReplicaReconciler::Reconcile(const EngineStatus& status,
                                  std::uint64_t sequence) {
  parts_.table.SetCapacity(status.memory_bytes);
  // While an order is in progress, from this process or its predecessor, the
  // status may show the engine before or after it. Acting on it could drop the
  // records of a model that is being loaded.
  const bool quiet =
      sequence != 0 && sequence == parts_.order_sender.IdleSequence();
  if (!quiet || status.order_in_progress) return;
  parts_.order_sender.RaiseFence(status.fence);
  for (const EngineModel& it : status.models) {
    if (it.state == EngineModelState::kReady) AdoptModel(it);
  }
  DropMissing(status);
  if (!parts_.table.recovered.exchange(true)) {
    parts_.log.Event(
        LogLevel::kInfo, LogCategory::kReplica, "recovered",
        {{"models", status.models.size()}, {"fence", status.fence}});
    RequestAudit();
  }
  parts_.table.changed().Notify();
}

/** Records a loaded model that this process has no replica of: a predecessor of
 * this process loaded it, or an order arrived late. */
void ReplicaReconciler::AdoptModel(const EngineModel& model) {
  const ReplicaPtr replica = parts_.table.FindOrAdd(model.model);
  const std::lock_guard lock(replica->mutex);
  const ReplicaPhase phase = replica->life.phase();
  if (phase == ReplicaPhase::kReady) AdoptAdapters(*replica, model);
  if (phase != ReplicaPhase::kAbsent || replica->task_active) return;
  replica->life.Apply(ReplicaEvent::kFoundLoaded);
  parts_.table.RecordHeldMemory({model.model, {}},
                                model.weight_bytes + model.kv_budget_bytes);
  replica->version = model.version;
  replica->keep_alive = options_.keep_alive;
  replica->idle_since = parts_.clock.Now();
  if (const auto config = parts_.config.Current()) {
    const auto it = config->intent.models.find(model.model);
    if (it != config->intent.models.end()) {
      replica->service = it->second.service;
      replica->max_concurrent = it->second.max_concurrent;
    }
  }
  AdoptAdapters(*replica, model);
  parts_.log.Event(LogLevel::kInfo, LogCategory::kReplica, "model_found_loaded",
                   {{"model", model.model}});
}

/** @pre The replica's lock is held. */
void ReplicaReconciler::AdoptAdapters(Replica& replica,
                                      const EngineModel& model) {
  for (const external::EngineAdapter& it : model.adapters) {
    const auto [slot, added] = replica.adapters.try_emplace(it.adapter);
    if (!added) continue;
    slot->second = {true, 0, parts_.clock.Now()};
    parts_.table.RecordHeldMemory({model.model, it.adapter}, it.bytes);
  }
}

/** Frees the memory and grants of replicas that the status doesn't list: the
 * engine restarted, or dropped a model on its own. */
void ReplicaReconciler::DropMissing(const EngineStatus& status) {
  for (const ReplicaPtr& it : parts_.table.All()) {
    if (std::ranges::find(status.models, it->model, &EngineModel::model) !=
        status.models.end()) {
      continue;
    }
    const std::lock_guard lock(it->mutex);
    const ReplicaPhase phase = it->life.phase();
    if (phase != ReplicaPhase::kReady && phase != ReplicaPhase::kDraining) {
      continue;
    }
    worker_.MarkUnloaded(*it);
    parts_.log.Event(LogLevel::kWarning, LogCategory::kFault, "model_lost",
                     {{"model", it->model}});
  }
}

void ReplicaReconciler::Start() {
  core::Spawn(parts_.executor, parts_.log, "replica_keeper",
              [this] { return Run(); });
}

void ReplicaReconciler::Stop() {
  stopped_ = true;
  parts_.table.changed().Notify();
}

Task<> ReplicaReconciler::Run() {
  while (!stopped_) {
    if (parts_.table.recovered) {
      Sweep();
      co_await AuditIfDue();
      co_await FlushPendingIfDue();
    }
    co_await core::SleepFor(options_.sweep_interval);
  }
}

Task<> ReplicaReconciler::AuditIfDue() {
  const core::SteadyTime now = parts_.clock.Now();
  const bool due = audit_due_.exchange(false) || now >= next_audit_;
  if (!due || !parts_.config.Current()) {
    if (due) audit_due_ = true;
    co_return;
  }
  const bool done = co_await TryAudit();
  next_audit_ = now + (done ? options_.audit_interval : options_.audit_retry);
}

Task<bool> ReplicaReconciler::TryAudit() {
  try {
    co_await Audit();
  } catch (const Error& e) {
    parts_.log.Event(LogLevel::kWarning, LogCategory::kLedger, "audit_failed",
                     {{"error", std::string(e.what())}});
    co_return false;
  }
  co_return true;
}

/** Retries the release of grants, such as those handed back in an outage. */
Task<> ReplicaReconciler::FlushPendingIfDue() {
  const core::SteadyTime now = parts_.clock.Now();
  if (parts_.ledger.pending() == 0 || now < next_flush_) co_return;
  next_flush_ = now + options_.audit_retry;
  co_await parts_.ledger.FlushPending();
}

void ReplicaReconciler::Sweep() {
  const std::vector<ReplicaPtr> all = parts_.table.All();
  const std::set<ReplicaPtr> unwanted = IdleToUnload(all);
  for (const ReplicaPtr& it : all) SweepOne(it, unwanted.contains(it));
}

/** @return The replicas whose keep-alive has expired, by the policy for
 * replicas that share an accelerator. */
std::set<ReplicaPtr> ReplicaReconciler::IdleToUnload(
    const std::vector<ReplicaPtr>& all) const {
  const core::SteadyTime now = parts_.clock.Now();
  std::vector<policy::LoadedReplica> held;
  held.reserve(all.size());
  for (const ReplicaPtr& it : all) held.push_back(ToLoadedReplica(*it, now));
  std::set<ReplicaPtr> unwanted;
  for (const std::size_t i : policy::ReplicasToUnload(held)) {
    unwanted.insert(all[i]);
  }
  return unwanted;
}

void ReplicaReconciler::SweepOne(const ReplicaPtr& replica, bool unwanted) {
  const std::lock_guard lock(replica->mutex);
  if (replica->task_active) return;
  if (replica->life.phase() == ReplicaPhase::kReady) {
    if (ShouldStayLoaded(*replica, unwanted)) return;
    replica->life.Apply(ReplicaEvent::kDrainStarted);
  }
  // An unload that failed leaves the replica draining; it is retried here.
  if (replica->life.phase() != ReplicaPhase::kDraining) return;
  replica->task_active = true;
  worker_.StartUnload(replica);
}

/** Updates the replica from the configuration and decides whether it stays
 * loaded. @pre The replica's lock is held. */
bool ReplicaReconciler::ShouldStayLoaded(Replica& replica,
                                         bool unwanted) const {
  const auto config = parts_.config.Current();
  if (config) {
    const auto it = config->intent.models.find(replica.model);
    if (it == config->intent.models.end() ||
        it->second.version != replica.version) {
      replica.must_unload = true;
    } else {
      replica.max_concurrent = it->second.max_concurrent;
    }
  }
  if (parts_.table.leaving) replica.must_unload = true;
  if (replica.must_unload) return false;
  if (replica.running > 0) return true;
  // While the key-value service is down, an unloaded model could not be loaded
  // on any other VM, so it stays loaded until its memory is needed.
  if (!parts_.ledger.reachable()) return true;
  if (!unwanted) return true;
  // The replica may have served a request since the policy ran.
  return parts_.clock.Now() - replica.idle_since < replica.keep_alive;
}

// Writes the configuration's version to each model service's ledger, unless a
// version at least as new is there. Without it a lowered replica limit could be
// exceeded: an endpoint and an entry that were suspended, or have restarted and
// read the older head, would still agree on the earlier limit. The first
// endpoint with the newer configuration writes its version; grants are taken by
// a swap of the same key, so no endpoint can miss it.
Task<> ReplicaReconciler::RecordConfigVersions(
    std::map<core::ServiceId, LedgerValue> ledgers) {
  const auto config = parts_.config.Current();
  if (!config) co_return;
  for (const auto& [id, service] : config->intent.services) {
    if (service.kind != contract::ServiceKind::kModel) continue;
    const auto it = ledgers.find(id);
    const bool known =
        it != ledgers.end() && it->second.config_version >= config->version;
    if (known) continue;
    co_await parts_.ledger.RecordConfigVersion(id, config->version);
  }
}

Task<> ReplicaReconciler::Audit() {
  const auto ledgers = co_await parts_.ledger.ReadAll();
  co_await RecordConfigVersions(ledgers);
  for (const auto& [service, ledger] : ledgers) {
    ReleaseOrphans(service, ledger);
    ClearLostGrants(service, ledger);
    DrainSurplus(service, ledger);
  }
  for (const ReplicaPtr& it : parts_.table.All()) {
    const std::lock_guard lock(it->mutex);
    if (it->life.phase() != ReplicaPhase::kReady || it->grant ||
        it->task_active) {
      continue;
    }
    it->task_active = true;
    worker_.StartGrantCheck(it);
  }
}

/** Releases this VM's grants of models that aren't loaded here: a predecessor
 * took them, or a swap took effect after it was given up. */
void ReplicaReconciler::ReleaseOrphans(const core::ServiceId& service,
                                       const LedgerValue& ledger) {
  for (const Grant& it : ledger.grants) {
    if (it.vm != options_.vm) continue;
    const ReplicaPtr replica = parts_.table.FindOrAdd(it.model);
    const std::lock_guard lock(replica->mutex);
    // A grant taken since the ledger was read has another fence, so releasing
    // the one that was read doesn't release it.
    if (replica->task_active ||
        replica->life.phase() != ReplicaPhase::kAbsent) {
      continue;
    }
    parts_.log.Event(LogLevel::kInfo, LogCategory::kLedger, "grant_orphaned",
                     {{"model", it.model}, {"fence", it.fence}});
    parts_.ledger.Release(service, it);
  }
}

/** Clears grants that are no longer in the ledger: they were ended because the
 * platform listed this VM as gone, though the model is still loaded. The audit
 * takes new grants, and replicas that are over the limit by then are unloaded.
 */
void ReplicaReconciler::ClearLostGrants(const core::ServiceId& service,
                                        const LedgerValue& ledger) {
  for (const ReplicaPtr& it : parts_.table.All()) {
    const std::lock_guard lock(it->mutex);
    if (!it->grant || it->service != service || it->task_active) continue;
    // A grant taken after the ledger was read can't be in it.
    if (it->grant->fence >= ledger.next_fence) continue;
    if (std::ranges::find(ledger.grants, *it->grant) != ledger.grants.end()) {
      continue;
    }
    parts_.log.Event(LogLevel::kWarning, LogCategory::kLedger, "grant_lost",
                     {{"model", it->model}, {"fence", it->grant->fence}});
    it->grant.reset();
  }
}

void ReplicaReconciler::DrainSurplus(const core::ServiceId& service,
                                     const LedgerValue& ledger) {
  const auto config = parts_.config.Current();
  if (!config || ledger.config_version > config->version) return;
  for (const Grant& it : SurplusGrants(ledger, config->intent, service)) {
    if (it.vm != options_.vm) continue;
    const ReplicaPtr replica = parts_.table.FindOrAdd(it.model);
    const std::lock_guard lock(replica->mutex);
    if (replica->grant == it) replica->must_unload = true;
  }
}

bool ReplicaReconciler::Empty() const {
  return std::ranges::all_of(parts_.table.All(), [](const ReplicaPtr& it) {
    const std::lock_guard lock(it->mutex);
    return it->life.phase() == ReplicaPhase::kAbsent && !it->task_active;
  });
}

}  // namespace sapphire::endpoint
