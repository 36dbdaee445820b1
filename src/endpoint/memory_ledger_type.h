/** @file memory_ledger_type.h Reservations of an engine's memory. */
#ifndef SAPPHIRE_ENDPOINT_MEMORY_LEDGER_TYPE_H_
#define SAPPHIRE_ENDPOINT_MEMORY_LEDGER_TYPE_H_

#include <cstdint>
#include <map>
#include <tuple>

#include "core/id_type.h"

namespace sapphire::endpoint {

/** Owner of a reservation: a model, or one of its adapters. */
struct MemoryHolder {
  core::ModelId model;
  /** Empty for the model's own weights and KV cache budget. */
  core::AdapterId adapter;

  friend bool operator==(const MemoryHolder&, const MemoryHolder&) = default;
  friend bool operator<(const MemoryHolder& a, const MemoryHolder& b) {
    return std::tie(a.model, a.adapter) < std::tie(b.model, b.adapter);
  }
};

/**
 * Reservations of one engine's memory. A reservation is made before the order
 * that takes the memory and ends after a confirmed unload, so the engine never
 * holds more than is reserved, whatever the outcome of the orders.
 */
struct MemoryLedger {
  std::int64_t capacity_bytes = 0;
  std::int64_t reserved_bytes = 0;
  std::map<MemoryHolder, std::int64_t> reservations;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_MEMORY_LEDGER_TYPE_H_
