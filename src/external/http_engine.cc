/** @file http_engine.cc HTTP client of a model engine. */
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "core/error_type.h"
#include "external/external_func.h"
#include "external/json_func.h"

namespace sapphire::external {

namespace json = boost::json;
using core::ErrorCode;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kInsufficientStorage = 507;

/** Names on the wire, in the order of OrderKind. */
constexpr std::array<std::string_view, 4> kOrderKindNames = {
    "load_model", "unload_model", "load_adapter", "unload_adapter"};

EngineModelState ToState(const std::string& name) {
  if (name == "loading") return EngineModelState::kLoading;
  if (name == "ready") return EngineModelState::kReady;
  if (name == "unloading") return EngineModelState::kUnloading;
  throw core::Error(ErrorCode::kMalformedRequest,
                    "state: unknown value " + name);
}

EngineAdapter ToAdapter(const json::value& value) {
  const json::object& object = AsObject(value, "adapters");
  EngineAdapter adapter;
  adapter.adapter = core::AdapterId(StringAt(object, "adapter"));
  adapter.bytes = IntegerAt(object, "bytes");
  return adapter;
}

EngineModel ToModel(const json::value& value) {
  const json::object& object = AsObject(value, "models");
  EngineModel model;
  model.model = core::ModelId(StringAt(object, "model"));
  model.version = StringAt(object, "version");
  model.state = ToState(StringAt(object, "state"));
  model.weight_bytes = IntegerAt(object, "weight_bytes");
  model.kv_budget_bytes = IntegerAt(object, "kv_budget_bytes");
  model.running = static_cast<int>(IntegerAt(object, "running"));
  for (const json::value& it : ArrayAt(object, "adapters")) {
    model.adapters.push_back(ToAdapter(it));
  }
  return model;
}

std::vector<core::ModelId> ToModelIds(const json::object& object,
                                      std::string_view field) {
  std::vector<core::ModelId> ids;
  for (const json::value& it : ArrayAt(object, field)) {
    if (!it.is_string()) {
      throw core::Error(ErrorCode::kMalformedRequest,
                        std::string(field) + ": must hold strings");
    }
    ids.emplace_back(std::string(it.get_string()));
  }
  return ids;
}

EngineStatus ToStatus(const std::string& body) {
  const json::object object = ParseObject(body);
  EngineStatus status;
  status.incarnation = IntegerAt(object, "incarnation");
  status.memory_bytes = IntegerAt(object, "memory_bytes");
  status.honours_fencing = BooleanAt(object, "honours_fencing");
  status.fence = IntegerAt(object, "fence");
  status.order_in_progress = BooleanAt(object, "order_in_progress");
  for (const json::value& it : ArrayAt(object, "models")) {
    status.models.push_back(ToModel(it));
  }
  status.memory_tier = ToModelIds(object, "memory_tier");
  status.disk_tier = ToModelIds(object, "disk_tier");
  return status;
}

std::string ToJson(const EngineOrder& order) {
  json::object object;
  object["kind"] = kOrderKindNames[static_cast<std::size_t>(order.kind)];
  object["model"] = order.model.value();
  object["version"] = order.version;
  object["adapter"] = order.adapter.value();
  object["bytes"] = order.bytes;
  object["kv_budget_bytes"] = order.kv_budget_bytes;
  object["fence"] = order.fence;
  return json::serialize(object);
}

/** @throws core::Error unless the answer reports that the order was completed.
 */
void CheckOrderAnswer(const http::Response& response) {
  switch (response.head.status) {
    case kOk:
      return;
    case kConflict:
      throw core::Error(ErrorCode::kEngineRefusedOrder, response.body);
    case kBadGateway:
    case kInsufficientStorage:
      throw core::Error(ErrorCode::kLoadFailed, response.body);
    default:
      throw core::Error(ErrorCode::kOutcomeUnknown,
                        "order: status " +
                            std::to_string(response.head.status) + " " +
                            response.body);
  }
}

class HttpEngine final : public Engine {
 public:
  HttpEngine(const std::string& address, std::chrono::milliseconds timeout)
      : client_(address), timeout_(timeout) {}

  core::Task<EngineStatus> Status() override {
    http::Request request;
    request.target = "/engine/status";
    try {
      const http::Response response = co_await client_.Fetch(
          std::move(request),
          http::SmallAnswer(timeout_, http::UnstatedEnd::kRefuse));
      if (response.head.status == kOk) co_return ToStatus(response.body);
      throw core::Error(
          ErrorCode::kEngineUnavailable,
          "status: answer " + std::to_string(response.head.status));
    } catch (const std::runtime_error& e) {
      throw core::Error(ErrorCode::kEngineUnavailable, e.what());
    }
  }

  core::Task<> Order(EngineOrder order,
                     std::chrono::milliseconds timeout) override {
    http::Request request;
    request.method = "POST";
    request.target = "/engine/orders";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = ToJson(order);
    http::Response response;
    try {
      response = co_await client_.Fetch(
          std::move(request),
          http::SmallAnswer(timeout, http::UnstatedEnd::kRefuse));
    } catch (const http::TransportError& e) {
      // The answer may be lost after the engine has loaded the model, so only
      // an order that was not sent certainly had no effect.
      throw core::Error(e.may_have_run() ? ErrorCode::kOutcomeUnknown
                                         : ErrorCode::kEngineUnavailable,
                        e.what());
    }
    CheckOrderAnswer(response);
  }

  core::Task<std::unique_ptr<http::ResponseStream>> Run(
      http::Request request, std::chrono::milliseconds timeout) override {
    co_return co_await client_.Open(std::move(request), timeout);
  }

 private:
  http::Client client_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace

std::unique_ptr<Engine> MakeHttpEngine(const std::string& address,
                                       std::chrono::milliseconds timeout) {
  return std::make_unique<HttpEngine>(address, timeout);
}

}  // namespace sapphire::external
