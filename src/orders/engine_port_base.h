/** @file engine_port_base.h Interface for reading an engine's reports and
 * sending it orders. */
#ifndef SAPPHIRE_ORDERS_ENGINE_PORT_BASE_H_
#define SAPPHIRE_ORDERS_ENGINE_PORT_BASE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/task_type.h"
#include "fleet/engine_type.h"

namespace sapphire::orders {

/** An adapter that the engine is loading. */
struct LoadingAdapter {
  core::ModelId model;
  core::AdapterId adapter;
};

/** State of an engine, as it reports itself. */
struct EngineReport {
  /** When the engine started; empty if it does not report that. */
  std::optional<fleet::EngineStartTime> start_time;
  bool order_in_progress = false;
  /** It is about to stop: what it loads now is lost. */
  bool leaving = false;
  /** Orders accepted since the engine's start. */
  std::int64_t order_count = 0;
  std::vector<fleet::LoadedModel> models;
  std::vector<LoadingAdapter> loading;
  fleet::CachedCheckpoints copies;
  int running = 0;
  int waiting = 0;
  std::int64_t kv_used = 0;
  std::int64_t kv_total = 0;
};

enum class OrderKind { kLoad, kUnload };

struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  core::ModelId model;
  /** Empty if the order is for the model itself. */
  core::AdapterId adapter;
  /**
   * The engine carries the order out only while it has accepted exactly this
   * many orders: a late copy of an order finds another count and is void.
   */
  std::int64_t expected_count = 0;
  /** Only this instance of the engine carries the order out. */
  fleet::InstanceId instance;
  std::int64_t fence = 0;
};

enum class OrderAnswer {
  kAccepted,
  kAlreadyDone,
  /** Another order is in progress, or the order count has changed. */
  kBusy,
  /** The engine has restarted since the order was composed. */
  kOtherInstance,
};

class EnginePort {
 public:
  virtual ~EnginePort() = default;

  /** @throws core::Error kEngineUnavailable. */
  virtual core::Task<EngineReport> Report() = 0;

  /**
   * Sends an order to the engine.
   * @throws core::Error kEngineRefusedOrder (it is never carried out),
   *   kEngineUnavailable (it was never sent), kOutcomeUnknown (it may be
   *   carried out, possibly seconds later).
   */
  virtual core::Task<OrderAnswer> Submit(EngineOrder order) = 0;
};

/** Creates the port to the engine at an address, "ip:port". */
using MakeEnginePort =
    std::function<std::unique_ptr<EnginePort>(const std::string& address)>;

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENGINE_PORT_BASE_H_
