/** @file replica_keeper_base.h Keeps the books true and idle replicas few. */
#ifndef SAPPHIRE_ENDPOINT_REPLICA_KEEPER_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICA_KEEPER_BASE_H_

#include <atomic>
#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "endpoint/replica_worker_base.h"
#include "external/engine_base.h"

namespace sapphire::endpoint {

struct ReplicaKeeperOptions {
  core::VmId vm;
  /** Of replicas found loaded, until a caller names another. */
  std::chrono::milliseconds keep_alive{60'000};
  /** Between two looks at idle replicas. */
  std::chrono::milliseconds sweep_interval{250};
  /** Between two comparisons with the ledgers. */
  std::chrono::milliseconds audit_interval{30'000};
  /** After an audit or a settlement that failed. */
  std::chrono::milliseconds audit_retry{2000};
};

/**
 * Compares the books with what the engine shows and with the ledgers, and
 * unloads what is idle, over a limit or not configured any more.
 */
class ReplicaKeeper {
 public:
  /** @pre `worker` outlives the keeper. */
  ReplicaKeeper(EndpointParts parts, ReplicaKeeperOptions options,
                ReplicaWorker& worker);

  /** Takes over what the engine shows. For EngineFollower.
   * @param mark OrderDesk::QuietMark at the start of the read. */
  void Reconcile(const external::EngineStatus& status, std::uint64_t mark);

  /** Sweeps and audits until Stop. */
  void Start();
  void Stop();

  /** Has the ledgers compared at the next sweep. */
  void AuditSoon() { audit_due_ = true; }

  /** One look at every replica: starts the unloads that are due. */
  void Sweep();

  /** Compares this VM's grants with the replicas, and both with the limits.
   * @throws core::Error kPlatformUnavailable. */
  core::Task<> Audit();

  /** Audit, with its failure logged. @return True if it was done. */
  core::Task<bool> TryAudit();

  /** @return True if nothing is loaded, granted or under way. */
  [[nodiscard]] bool Empty() const;

 private:
  core::Task<> Run();
  core::Task<> AuditIfDue();
  core::Task<> NoteVersions(std::map<core::ServiceId, LedgerValue> ledgers);
  core::Task<> SettleIfDue();
  void AdoptModel(const external::EngineModel& model);
  void AdoptAdapters(Replica& replica, const external::EngineModel& model);
  void DropMissing(const external::EngineStatus& status);
  [[nodiscard]] std::set<ReplicaPtr> IdleToUnload(
      const std::vector<ReplicaPtr>& all) const;
  void SweepOne(const ReplicaPtr& replica, bool unwanted);
  bool MayStay(Replica& replica, bool unwanted) const;
  void ReleaseOrphans(const core::ServiceId& service,
                      const LedgerValue& ledger);
  void ForgetLostGrants(const core::ServiceId& service,
                        const LedgerValue& ledger);
  void DrainSurplus(const core::ServiceId& service, const LedgerValue& ledger);

  EndpointParts parts_;
  const ReplicaKeeperOptions options_;
  ReplicaWorker& worker_;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> audit_due_ = true;
  core::SteadyTime next_audit_;
  core::SteadyTime next_settle_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_KEEPER_BASE_H_
