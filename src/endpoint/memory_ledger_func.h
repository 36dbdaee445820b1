/** @file memory_ledger_func.h Reserves and releases an engine's memory. */
#ifndef SAPPHIRE_ENDPOINT_MEMORY_LEDGER_FUNC_H_
#define SAPPHIRE_ENDPOINT_MEMORY_LEDGER_FUNC_H_

#include <cstdint>

#include "endpoint/memory_ledger_type.h"

namespace sapphire::endpoint {

/** @return Bytes that can still be reserved; never negative. */
std::int64_t FreeBytes(const MemoryLedger& ledger);

/**
 * Reserves memory for one holder.
 * @return False, and changes nothing, if it doesn't fit, if the holder has a
 *   reservation already, or if `bytes` is negative.
 */
bool Reserve(MemoryLedger& ledger, const MemoryHolder& holder,
             std::int64_t bytes);

/**
 * Records memory that the engine uses without an order of this process. It is
 * reserved even if that exceeds the capacity, so that nothing else is loaded
 * there. Replaces an earlier reservation of the holder if that was smaller.
 */
void RecordHeld(MemoryLedger& ledger, const MemoryHolder& holder,
                std::int64_t bytes);

/** Ends the reservation of one holder; a model's ends its adapters' too. */
void Release(MemoryLedger& ledger, const MemoryHolder& holder);

/** @return Bytes reserved for a model together with its adapters. */
std::int64_t BytesOf(const MemoryLedger& ledger, const core::ModelId& model);

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_MEMORY_LEDGER_FUNC_H_
