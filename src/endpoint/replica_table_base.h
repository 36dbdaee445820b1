/** @file replica_table_base.h The replicas and the memory of one engine. */
#ifndef SAPPHIRE_ENDPOINT_REPLICA_TABLE_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICA_TABLE_BASE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "core/signal_base.h"
#include "endpoint/memory_ledger_type.h"
#include "endpoint/replica_type.h"

namespace sapphire::endpoint {

using ReplicaPtr = std::shared_ptr<Replica>;

/**
 * The replicas and memory reservations of one engine. Each replica has its own
 * lock and the memory ledger another. Lock order: a replica's lock before the
 * memory ledger's.
 */
class ReplicaTable {
 public:
  /** @return The model's replica, added if it is new; never removed. */
  ReplicaPtr FindOrAdd(const core::ModelId& model);
  /** @return The model's replica, or null if there is none. */
  [[nodiscard]] ReplicaPtr Find(const core::ModelId& model) const;
  [[nodiscard]] std::vector<ReplicaPtr> All() const;

  void SetCapacity(std::int64_t bytes);
  bool ReserveMemory(const MemoryHolder& holder, std::int64_t bytes);
  void RecordHeldMemory(const MemoryHolder& holder, std::int64_t bytes);
  void ReleaseMemory(const MemoryHolder& holder);
  [[nodiscard]] MemoryLedger Memory() const;

  /** Notified on every change of a replica or of the flags. */
  [[nodiscard]] core::Signal& changed() { return *changed_; }
  [[nodiscard]] std::shared_ptr<core::Signal> shared_changed() const {
    return changed_;
  }

  /** True once the VM is leaving: new loads and runs are refused. */
  std::atomic<bool> leaving = false;
  /** True once the models that the engine held at process start are known. */
  std::atomic<bool> recovered = false;

 private:
  const std::shared_ptr<core::Signal> changed_ =
      std::make_shared<core::Signal>();
  mutable std::mutex mutex_;
  std::map<core::ModelId, ReplicaPtr> replicas_;
  mutable std::mutex memory_mutex_;
  MemoryLedger memory_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_TABLE_BASE_H_
