/** @file order_time_func.h Estimates how long engine orders take. */
#ifndef SAPPHIRE_ORDERS_ORDER_TIME_FUNC_H_
#define SAPPHIRE_ORDERS_ORDER_TIME_FUNC_H_

#include <chrono>
#include <optional>
#include <span>

#include "core/clock_base.h"
#include "orders/engine_port_base.h"
#include "policy/placement_type.h"
#include "routing/route_type.h"

namespace sapphire::orders {

/**
 * A load request in progress, with the times at which its load is expected to
 * begin and to be ready.
 */
struct OpenLoadRequest {
  core::ModelId model;
  core::SteadyTime began;
  core::SteadyTime ready;
};

/**
 * @return How much longer an order of another process may delay the orders of
 *   this controller. The order counts as a load from disk at first, as most
 *   are, and later as one from the weight store.
 */
std::chrono::milliseconds ForeignOrderTimeLeft(
    std::optional<core::SteadyTime> since, const routing::EngineSpec* spec,
    core::SteadyTime now);

/**
 * @return Time until the last of these requests is expected to be fulfilled.
 */
std::chrono::milliseconds LoadRequestsTimeLeft(
    std::span<const OpenLoadRequest> load_requests, core::SteadyTime now);

/** @return The nearest tier from which the engine can load the model. */
policy::Tier NearestTier(const EngineReport& engine,
                         const core::ModelId& model);

/** @return How long a load of the model usually takes; 0 if it is not
 * configured. */
std::chrono::milliseconds ExpectedLoadTime(const EngineReport& engine,
                                           const routing::EngineSpec* spec,
                                           const core::ModelId& model);

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ORDER_TIME_FUNC_H_
