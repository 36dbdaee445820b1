/** @file memory_plan_func.h Chooses what an engine unloads so that an order
 * fits into its memory. */
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

/** Input of the decisions about an engine's memory. */
struct MemoryState {
  const routing::EngineSpec* spec = nullptr;
  const EngineReport* report = nullptr;
  /**
   * Usage as far as the requesting entry knows it; missing parts are unused.
   */
  fleet::UsageByPart usage;
  /**
   * Loads that the report does not show yet: not yet received, in progress, or
   * of unknown outcome. Each may still take up its memory.
   */
  std::vector<EngineOrder> pending_loads;
  core::SteadyTime now;
};

/** @return Bytes held, being loaded, or possibly still to be loaded. */
std::int64_t CommittedBytes(const MemoryState& state);

/**
 * @return Bytes of a model; for an undeclared one, those of the largest
 *   declared.
 */
std::int64_t ModelBytes(const routing::EngineSpec& spec,
                        const core::ModelId& model);

/** @return True if the model fits without an unload. */
bool ModelFits(const MemoryState& state, const core::ModelId& model);

/**
 * @param preferred Models that the requesting entry, which sees the whole
 *   fleet, would unload.
 * @param keep Never unloaded.
 * @return The next model to unload: unused, and not loaded for a caller a
 *   moment ago; empty if there is none.
 */
std::optional<core::ModelId> ChooseModelToUnload(
    const MemoryState& state, const std::vector<core::ModelId>& preferred,
    const core::ModelId& keep);

/**
 * @return True if the engine has a slot and memory for another adapter of the
 *   model.
 */
bool AdapterFits(const MemoryState& state, const core::ModelId& model);

/**
 * @return The least recently used adapter that is currently unused; empty if
 *   there is none.
 */
std::optional<LoadingAdapter> ChooseAdapterToUnload(const MemoryState& state);

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_MEMORY_PLAN_FUNC_H_
