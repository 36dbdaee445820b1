/** @file order_service_base.h Handles link calls for the engines that this
 * process controls. */
#ifndef SAPPHIRE_ORDERS_ORDER_SERVICE_BASE_H_
#define SAPPHIRE_ORDERS_ORDER_SERVICE_BASE_H_

#include <functional>
#include <memory>
#include <string>

#include "core/clock_base.h"
#include "core/task_type.h"
#include "link/link_base.h"
#include "orders/engine_controller_base.h"

namespace sapphire::orders {

/** @return The load request in a message that was received at `now`. */
LoadRequest ReadLoadRequest(const gen::EnsureModel& message,
                            core::SteadyTime now);

/** Callbacks of the service. */
struct OrderServiceCallbacks {
  /**
   * Returns the controller of an engine.
   * @throws core::Error kNotHolder if this process does not control the engine.
   */
  std::function<std::shared_ptr<EngineController>(const fleet::InstanceId&)>
      find;
  /** Gives an engine's lease back. */
  std::function<core::Task<>(std::string engine)> release;
};

/** Handles the calls EnsureModel and ReleaseEngine. Used on one thread. */
class OrderService {
 public:
  /**
   * @pre The objects behind the callbacks, and `clock`, outlive the service and
   *   its calls.
   */
  OrderService(OrderServiceCallbacks callbacks, const core::Clock& clock);

  /** Handles a call on a link: EnsureModel or ReleaseEngine. */
  core::Task<> HandleCall(std::shared_ptr<link::Call> call, gen::Message first);

 private:
  core::Task<gen::Message> HandleMessage(gen::Message first);

  const OrderServiceCallbacks callbacks_;
  const core::Clock& clock_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ORDER_SERVICE_BASE_H_
