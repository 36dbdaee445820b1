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
 * The books of one engine. Each replica has a lock of its own, the memory
 * ledger another; a replica's lock may be held while the memory's is taken,
 * never the other way round.
 */
class ReplicaTable {
 public:
  /** @return The replica's entry, added if it is new; it is never removed. */
  ReplicaPtr FindOrAdd(const core::ModelId& model);
  /** @return Null if the model was never wanted here. */
  [[nodiscard]] ReplicaPtr Find(const core::ModelId& model) const;
  [[nodiscard]] std::vector<ReplicaPtr> All() const;

  void SetCapacity(std::int64_t bytes);
  bool ReserveMemory(const MemoryHolder& holder, std::int64_t bytes);
  void BookHeldMemory(const MemoryHolder& holder, std::int64_t bytes);
  void ReleaseMemory(const MemoryHolder& holder);
  [[nodiscard]] MemoryLedger Memory() const;

  /** Notified on every change of a replica or of the flags. */
  [[nodiscard]] core::Signal& changed() { return *changed_; }
  [[nodiscard]] std::shared_ptr<core::Signal> shared_changed() const {
    return changed_;
  }

  /** The VM is leaving: nothing new is loaded or run. */
  std::atomic<bool> leaving = false;
  /** What the engine held at the start of this process is known. */
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
