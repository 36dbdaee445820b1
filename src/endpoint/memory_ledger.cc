/** @file memory_ledger.cc Reserves and releases an engine's memory. */
#include <algorithm>

#include "endpoint/memory_ledger_func.h"

namespace sapphire::endpoint {

std::int64_t FreeBytes(const MemoryLedger& ledger) {
  return std::max<std::int64_t>(0,
                                ledger.capacity_bytes - ledger.reserved_bytes);
}

bool Reserve(MemoryLedger& ledger, const MemoryHolder& holder,
             std::int64_t bytes) {
  if (bytes < 0 || bytes > FreeBytes(ledger)) return false;
  const bool added = ledger.reservations.emplace(holder, bytes).second;
  if (added) ledger.reserved_bytes += bytes;
  return added;
}

void RecordHeld(MemoryLedger& ledger, const MemoryHolder& holder,
                std::int64_t bytes) {
  std::int64_t& recorded = ledger.reservations[holder];
  if (bytes <= recorded) return;
  ledger.reserved_bytes += bytes - recorded;
  recorded = bytes;
}

void Release(MemoryLedger& ledger, const MemoryHolder& holder) {
  const auto first = ledger.reservations.lower_bound(holder);
  auto it = first;
  while (it != ledger.reservations.end() && it->first.model == holder.model &&
         (holder.adapter.empty() || it->first.adapter == holder.adapter)) {
    ledger.reserved_bytes -= it->second;
    ++it;
  }
  ledger.reservations.erase(first, it);
}

std::int64_t BytesOf(const MemoryLedger& ledger, const core::ModelId& model) {
  std::int64_t bytes = 0;
  for (auto it = ledger.reservations.lower_bound({model, {}});
       it != ledger.reservations.end() && it->first.model == model; ++it) {
    bytes += it->second;
  }
  return bytes;
}

}  // namespace sapphire::endpoint
