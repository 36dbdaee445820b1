/** @file engine_port_base.h An engine, as orders see it. */
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

/** An adapter on its way to the engine. */
struct ComingAdapter {
  core::ModelId model;
  core::AdapterId adapter;
};

/** What the engine says of itself now. */
struct EngineReport {
  /** When it started; nothing if it does not tell. */
  std::optional<fleet::EngineStartTime> born;
  bool order_in_progress = false;
  /** Orders accepted since the engine's start. */
  std::int64_t order_count = 0;
  std::vector<fleet::LoadedModel> models;
  std::vector<ComingAdapter> coming;
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
  /** Empty: the model itself. */
  core::AdapterId adapter;
  /** Carried out only while the engine has accepted just this many orders: a
   * late copy of an order finds another number and is void. */
  std::int64_t expected_count = 0;
  /** Carried out only by this start of the engine. */
  fleet::InstanceId instance;
  std::int64_t fence = 0;
};

enum class OrderAnswer {
  kAccepted,
  kAlreadyDone,
  /** Another order is in progress, or the count has moved. */
  kBusy,
  /** The engine has restarted since. */
  kOtherInstance,
};

class EnginePort {
 public:
  virtual ~EnginePort() = default;

  /** @throws core::Error kEngineUnavailable. */
  virtual core::Task<EngineReport> Report() = 0;

  /**
   * @throws core::Error kEngineRefusedOrder (never carried out),
   *   kEngineUnavailable (never sent), kOutcomeUnknown (it may be carried out,
   *   seconds later too).
   */
  virtual core::Task<OrderAnswer> Give(EngineOrder order) = 0;
};

/** Makes the port to the engine at an address, "ip:port". */
using MakeEnginePort =
    std::function<std::unique_ptr<EnginePort>(const std::string& address)>;

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENGINE_PORT_BASE_H_
