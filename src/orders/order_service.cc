/** @file order_service.cc Handles link calls for the engines that this process
 * controls. */
#include <chrono>
#include <utility>

#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "orders/order_service_base.h"

namespace sapphire::orders {

using std::chrono::milliseconds;

LoadRequest ReadLoadRequest(const gen::EnsureModel& message,
                            core::SteadyTime now) {
  LoadRequest load_request;
  load_request.model = core::ModelId(message.model);
  load_request.adapter = core::AdapterId(message.adapter);
  load_request.instance = fleet::InstanceId(message.engine_instance);
  for (const std::string& it : message.evict) {
    load_request.evict.emplace_back(it);
  }
  for (const gen::ResidentUse& it : message.resident_use) {
    load_request.usage[fleet::PartOf(it)] = fleet::ParseResidentUse(it, now);
  }
  load_request.deadline = now + milliseconds(message.remaining_ms);
  return load_request;
}

OrderService::OrderService(OrderServiceCallbacks callbacks,
                           const core::Clock& clock)
    : callbacks_(std::move(callbacks)), clock_(clock) {}

core::Task<> OrderService::HandleCall(std::shared_ptr<link::Call> call,
                                      gen::Message first) {
  gen::Message answer = co_await HandleMessage(std::move(first));
  co_await call->Send(std::move(answer));
}

core::Task<gen::Message> OrderService::HandleMessage(gen::Message first) {
  gen::Message answer;
  if (first.__isset.release_engine) {
    co_await callbacks_.release(first.release_engine.engine_address);
    answer.__set_engine_released(gen::EngineReleased());
    co_return answer;
  }
  if (!first.__isset.ensure_model) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      link::KindOf(first) + " is not for who orders engines");
  }
  const gen::EnsureModel& message = first.ensure_model;
  const auto controller =
      callbacks_.find(fleet::InstanceId(message.engine_instance));
  co_await controller->EnsureLoaded(ReadLoadRequest(message, clock_.Now()));
  gen::ModelReady ready;
  ready.model = message.model;
  ready.adapter = message.adapter;
  answer.__set_model_ready(ready);
  co_return answer;
}

}  // namespace sapphire::orders
