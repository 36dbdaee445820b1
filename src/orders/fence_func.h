/** @file fence_func.h Fencing numbers for the orders of one process. */
#ifndef SAPPHIRE_ORDERS_FENCE_FUNC_H_
#define SAPPHIRE_ORDERS_FENCE_FUNC_H_

#include <cstdint>
#include <string>

#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::orders {

/**
 * Takes a fencing number above every one taken for this engine before: the
 * revision of a write to a key of its own. Revisions only grow, so a process
 * that was restarted, or put in another one's place, goes before its
 * predecessor.
 * @param engine_address Names the engine.
 * @throws core::Error kPlatformUnavailable, kPlatformUnknownOutcome
 */
core::Task<std::int64_t> TakeFence(external::KeyValueStore& store,
                                   std::string engine_address,
                                   std::string holder);

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_FENCE_FUNC_H_
