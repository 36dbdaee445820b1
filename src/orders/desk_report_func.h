/** @file desk_report_func.h What entries are told of an engine. */
#ifndef SAPPHIRE_ORDERS_DESK_REPORT_FUNC_H_
#define SAPPHIRE_ORDERS_DESK_REPORT_FUNC_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>

#include "core/clock_base.h"
#include "fleet/model_usage_base.h"
#include "gen/link_types.h"
#include "orders/engine_port_base.h"
#include "policy/placement_type.h"
#include "routing/route_type.h"

namespace sapphire::orders {

/** A model that somebody waits for. */
struct OpenWish {
  core::ModelId model;
  core::SteadyTime began;
  core::SteadyTime ready;
};

/** The latest load from the weight store. */
struct StoreLoad {
  std::chrono::milliseconds took{0};
  core::SteadyTime at;
};

/** What a report is made of. */
struct DeskView {
  std::string holder;
  fleet::InstanceId instance;
  bool engine_up = false;
  const EngineReport* engine = nullptr;
  const fleet::ModelUsage* usage = nullptr;
  /** Null while the service is not configured. */
  const routing::EngineSpec* spec = nullptr;
  std::span<const OpenWish> wishes;
  std::optional<StoreLoad> store_load;
  /** Since when the engine carries out an order that is not the desk's. */
  std::optional<core::SteadyTime> foreign_order;
  core::SteadyTime now;
};

/** @return The state of the engine, for entries. */
gen::EndpointReport MakeReport(const DeskView& view);

/**
 * @return How long an order that the desk did not give may still hold up its
 *   own: first taken for a load from disk, which most are, then for one from
 *   the weight store.
 */
std::chrono::milliseconds ForeignOrderLeft(
    std::optional<core::SteadyTime> since, const routing::EngineSpec* spec,
    core::SteadyTime now);

/** @return The nearest copy of a model that is not held. */
policy::Tier TierOf(const EngineReport& engine, const core::ModelId& model);

/** @return How long a load of the model usually takes; 0 if it is not
 * configured. */
std::chrono::milliseconds LoadTime(const EngineReport& engine,
                                   const routing::EngineSpec* spec,
                                   const core::ModelId& model);

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_DESK_REPORT_FUNC_H_
