/** @file memory_plan_func.h What an engine drops so that an order fits. */
#ifndef SAPPHIRE_ORDERS_MEMORY_PLAN_FUNC_H_
#define SAPPHIRE_ORDERS_MEMORY_PLAN_FUNC_H_

#include <chrono>
#include <optional>
#include <vector>

#include "core/clock_base.h"
#include "fleet/usage_type.h"
#include "orders/engine_port_base.h"
#include "routing/route_type.h"

namespace sapphire::orders {

/** What a decision about an engine's memory rests on. */
struct MemoryState {
  const routing::EngineSpec* spec = nullptr;
  const EngineReport* report = nullptr;
  /** As far as the asking entry knows; what is missing is not used. */
  fleet::UsageByPart use;
  /** Loads that the report does not show yet: on their way, in progress, or of
   * unknown outcome. Each may still take its memory. */
  std::vector<EngineOrder> open_loads;
  core::SteadyTime now;
};

/** @return Bytes held, coming, or possibly still to come. */
std::int64_t BytesTaken(const MemoryState& state);

/** @return Bytes of a model; of an undeclared one, the largest declared. */
std::int64_t BytesOf(const routing::EngineSpec& spec,
                     const core::ModelId& model);

/** @return True if the model fits without an unload. */
bool ModelFits(const MemoryState& state, const core::ModelId& model);

/**
 * @param preferred Models that an entry, which sees the whole fleet, would
 * drop.
 * @param keep Never dropped.
 * @return The next model to unload: not in use, and not loaded a moment ago for
 *   somebody; nothing if there is none.
 */
std::optional<core::ModelId> ChooseUnload(
    const MemoryState& state, const std::vector<core::ModelId>& preferred,
    const core::ModelId& keep);

/** @return True if another adapter has a place and memory. */
bool AdapterFits(const MemoryState& state, const core::ModelId& model);

/** @return The adapter to unload: unused, and longest so; nothing if none is.
 */
std::optional<ComingAdapter> ChooseAdapterUnload(const MemoryState& state);

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_MEMORY_PLAN_FUNC_H_
