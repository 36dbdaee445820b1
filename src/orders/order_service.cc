/** @file order_service.cc Answers calls for the engines that this process
 * orders. */
#include <chrono>
#include <utility>

#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "orders/order_service_base.h"

namespace sapphire::orders {

using std::chrono::milliseconds;

LoadRequest ReadLoadRequest(const gen::EnsureModel& told,
                            core::SteadyTime now) {
  LoadRequest load_request;
  load_request.model = core::ModelId(told.model);
  load_request.adapter = core::AdapterId(told.adapter);
  load_request.instance = fleet::InstanceId(told.engine_instance);
  for (const std::string& it : told.evict) load_request.evict.emplace_back(it);
  for (const gen::ResidentUse& it : told.resident_use) {
    load_request.use[fleet::PartOf(it)] = fleet::ParseResidentUse(it, now);
  }
  load_request.deadline = now + milliseconds(told.remaining_ms);
  return load_request;
}

OrderService::OrderService(OrderServiceParts parts, const core::Clock& clock)
    : parts_(std::move(parts)), clock_(clock) {}

core::Task<> OrderService::Answer(std::shared_ptr<link::Call> call,
                                  gen::Message first) {
  gen::Message answer = co_await AnswerTo(std::move(first));
  co_await call->Send(std::move(answer));
}

core::Task<gen::Message> OrderService::AnswerTo(gen::Message first) {
  gen::Message answer;
  if (first.__isset.release_engine) {
    co_await parts_.release(first.release_engine.engine_address);
    answer.__set_engine_released(gen::EngineReleased());
    co_return answer;
  }
  if (!first.__isset.ensure_model) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      link::KindOf(first) + " is not for who orders engines");
  }
  const gen::EnsureModel& told = first.ensure_model;
  const auto controller = parts_.find(fleet::InstanceId(told.engine_instance));
  co_await controller->Ensure(ReadLoadRequest(told, clock_.Now()));
  gen::ModelReady ready;
  ready.model = told.model;
  ready.adapter = told.adapter;
  answer.__set_model_ready(ready);
  co_return answer;
}

}  // namespace sapphire::orders
