/** @file endpoint_service.cc Answers the entries' calls for one engine. */
#include <chrono>
#include <utility>

#include "core/error_type.h"
#include "fleet/entry_message_func.h"
#include "orders/endpoint_service_base.h"

namespace sapphire::orders {

using std::chrono::milliseconds;

namespace {

ModelWish ReadWish(const gen::EnsureModel& told, core::SteadyTime now) {
  ModelWish wish;
  wish.model = core::ModelId(told.model);
  wish.adapter = core::AdapterId(told.adapter);
  wish.instance = fleet::InstanceId(told.engine_instance);
  for (const std::string& it : told.evict) wish.evict.emplace_back(it);
  for (const gen::ResidentUse& it : told.resident_use) {
    wish.use[fleet::PartOf(it)] = fleet::ReadUse(it, now);
  }
  wish.deadline = now + milliseconds(told.remaining_ms);
  return wish;
}

}  // namespace

EndpointService::EndpointService(EngineDesk& desk, const core::Clock& clock)
    : desk_(desk), clock_(clock) {}

core::Task<> EndpointService::Answer(std::shared_ptr<link::Call> call,
                                     gen::Message first) {
  if (!first.__isset.ensure_model) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      link::KindOf(first) + " is not for an endpoint");
  }
  const gen::EnsureModel& told = first.ensure_model;
  co_await desk_.Ensure(ReadWish(told, clock_.Now()));
  gen::ModelReady ready;
  ready.model = told.model;
  ready.adapter = told.adapter;
  gen::Message message;
  message.__set_model_ready(ready);
  co_await call->Send(std::move(message));
}

}  // namespace sapphire::orders
