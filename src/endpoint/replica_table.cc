/** @file replica_table.cc The replicas and the memory of one engine. */
#include "endpoint/memory_ledger_func.h"
#include "endpoint/replica_table_base.h"

namespace sapphire::endpoint {

ReplicaPtr ReplicaTable::FindOrAdd(const core::ModelId& model) {
  const std::lock_guard lock(mutex_);
  ReplicaPtr& replica = replicas_[model];
  if (!replica) replica = std::make_shared<Replica>(model);
  return replica;
}

ReplicaPtr ReplicaTable::Find(const core::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  const auto it = replicas_.find(model);
  return it == replicas_.end() ? nullptr : it->second;
}

std::vector<ReplicaPtr> ReplicaTable::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<ReplicaPtr> all;
  all.reserve(replicas_.size());
  for (const auto& [model, replica] : replicas_) all.push_back(replica);
  return all;
}

void ReplicaTable::SetCapacity(std::int64_t bytes) {
  const std::lock_guard lock(memory_mutex_);
  memory_.capacity_bytes = bytes;
}

bool ReplicaTable::ReserveMemory(const MemoryHolder& holder,
                                 std::int64_t bytes) {
  const std::lock_guard lock(memory_mutex_);
  return Reserve(memory_, holder, bytes);
}

void ReplicaTable::RecordHeldMemory(const MemoryHolder& holder,
                                    std::int64_t bytes) {
  const std::lock_guard lock(memory_mutex_);
  RecordHeld(memory_, holder, bytes);
}

void ReplicaTable::ReleaseMemory(const MemoryHolder& holder) {
  const std::lock_guard lock(memory_mutex_);
  Release(memory_, holder);
}

MemoryLedger ReplicaTable::Memory() const {
  const std::lock_guard lock(memory_mutex_);
  return memory_;
}

}  // namespace sapphire::endpoint
