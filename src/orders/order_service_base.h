/** @file order_service_base.h Answers calls for the engines that this process
 * orders. */
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

/** @return The load request as told at `now`. */
LoadRequest ReadLoadRequest(const gen::EnsureModel& told, core::SteadyTime now);

/** What the service answers from. */
struct OrderServiceParts {
  /** @throws core::Error kNotHolder */
  std::function<std::shared_ptr<EngineController>(const fleet::InstanceId&)>
      find;
  /** Gives an engine's lease back. */
  std::function<core::Task<>(std::string engine)> release;
};

/** One thread. */
class OrderService {
 public:
  /** @pre What the parts call, and `clock`, outlive the service and its calls.
   */
  OrderService(OrderServiceParts parts, const core::Clock& clock);

  /** The handler of a link: takes EnsureModel and ReleaseEngine. */
  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first);

 private:
  core::Task<gen::Message> AnswerTo(gen::Message first);

  const OrderServiceParts parts_;
  const core::Clock& clock_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ORDER_SERVICE_BASE_H_
