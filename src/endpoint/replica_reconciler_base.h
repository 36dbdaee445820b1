/** @file replica_reconciler_base.h Reconciles replicas with the engine and the
 * ledgers, and unloads idle ones. */
#ifndef SAPPHIRE_ENDPOINT_REPLICA_RECONCILER_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICA_RECONCILER_BASE_H_

#include <atomic>
#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "endpoint/replica_worker_base.h"
#include "external/engine_base.h"

namespace sapphire::endpoint {

struct ReplicaReconcilerOptions {
  core::VmId vm;
  /** Keep-alive time of replicas found loaded, until a caller sets another. */
  std::chrono::milliseconds keep_alive{60'000};
  /** Time between two checks for replicas to unload. */
  std::chrono::milliseconds sweep_interval{250};
  /** Time between two comparisons with the ledgers. */
  std::chrono::milliseconds audit_interval{30'000};
  /** Time until the retry of a failed audit or grant release. */
  std::chrono::milliseconds audit_retry{2000};
};

/**
 * Compares the replica table with the engine's status and with the ledgers, and
 * unloads replicas that are idle, over a limit or no longer configured.
 */
class ReplicaReconciler {
 public:
  /** @pre `worker` outlives the object. */
  ReplicaReconciler(EndpointParts parts, ReplicaReconcilerOptions options,
                    ReplicaWorker& worker);

  /** Updates the replica table from a status of the engine; the listener of
   * EngineStatusPoller.
   * @param sequence OrderSender::IdleSequence at the start of the read. */
  void Reconcile(const external::EngineStatus& status, std::uint64_t sequence);

  /** Starts periodic sweeps and audits, which run until Stop. */
  void Start();
  void Stop();

  /** Requests an audit with the next sweep. */
  void RequestAudit() { audit_due_ = true; }

  /** Checks every replica and starts the unloads that are due. */
  void Sweep();

  /** Compares this VM's grants with the replicas, and both with the limits.
   * @throws core::Error kPlatformUnavailable. */
  core::Task<> Audit();

  /** Runs Audit and logs its failure. @return True if it succeeded. */
  core::Task<bool> TryAudit();

  /** @return True if nothing is loaded, granted or in progress. */
  [[nodiscard]] bool Empty() const;

 private:
  core::Task<> Run();
  core::Task<> AuditIfDue();
  core::Task<> RecordConfigVersions(
      std::map<core::ServiceId, LedgerValue> ledgers);
  core::Task<> FlushPendingIfDue();
  void AdoptModel(const external::EngineModel& model);
  void AdoptAdapters(Replica& replica, const external::EngineModel& model);
  void DropMissing(const external::EngineStatus& status);
  [[nodiscard]] std::set<ReplicaPtr> IdleToUnload(
      const std::vector<ReplicaPtr>& all) const;
  void SweepOne(const ReplicaPtr& replica, bool unwanted);
  bool ShouldStayLoaded(Replica& replica, bool unwanted) const;
  void ReleaseOrphans(const core::ServiceId& service,
                      const LedgerValue& ledger);
  void ClearLostGrants(const core::ServiceId& service,
                       const LedgerValue& ledger);
  void DrainSurplus(const core::ServiceId& service, const LedgerValue& ledger);

  EndpointParts parts_;
  const ReplicaReconcilerOptions options_;
  ReplicaWorker& worker_;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> audit_due_ = true;
  core::SteadyTime next_audit_;
  core::SteadyTime next_flush_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_RECONCILER_BASE_H_
