/** @file engine_wire.cc JSON encoding of the model engine's API and records. */
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "external/json_func.h"
#include "standin/engine_wire_func.h"

namespace sapphire::standin {

namespace json = boost::json;
using external::EngineOrder;
using external::IntegerOr;
using external::OrderKind;
using external::StringAt;
using external::StringOr;

namespace {

constexpr int kDefaultMaxTokens = 16;
constexpr int kMaxTokens = 100'000;
constexpr std::string_view kChatPath = "/v1/chat/completions";

/** Wire names, in the order of the enumerators. */
constexpr std::array<std::string_view, 3> kStateNames = {"loading", "ready",
                                                         "unloading"};
constexpr std::array<std::string_view, 5> kOutcomeNames = {
    "running", "done", "cancelled", "crashed", "unloaded"};
constexpr std::array<std::string_view, 4> kEndNames = {
    "held", "unloaded", "load_failed", "crashed"};

[[noreturn]] void ThrowFieldError(std::string_view field,
                                  std::string_view why) {
  throw core::Error(core::ErrorCode::kMalformedRequest,
                    std::string(field) + ": " + std::string(why));
}

OrderKind ParseKind(const std::string& name) {
  if (name == "load_model") return OrderKind::kLoadModel;
  if (name == "unload_model") return OrderKind::kUnloadModel;
  if (name == "load_adapter") return OrderKind::kLoadAdapter;
  if (name == "unload_adapter") return OrderKind::kUnloadAdapter;
  ThrowFieldError("kind", "unknown value " + name);
}

/** @return The messages' contents, joined by newlines. */
std::string PromptOfChat(const json::object& body) {
  std::string prompt;
  for (const json::value& it : external::ArrayAt(body, "messages")) {
    if (!prompt.empty()) prompt += '\n';
    prompt += StringAt(external::AsObject(it, "messages"), "content");
  }
  return prompt;
}

void SetModel(GenerateCall& call, const std::string& name) {
  const std::size_t colon = name.find(':');
  call.model = name.substr(0, colon);
  if (colon != std::string::npos) call.adapter = name.substr(colon + 1);
}

json::array ToJson(const std::vector<core::ModelId>& ids) {
  json::array array;
  for (const core::ModelId& it : ids) array.emplace_back(it.value());
  return array;
}

json::object ToJson(const external::EngineModel& model) {
  json::array adapters;
  for (const external::EngineAdapter& it : model.adapters) {
    json::object adapter;
    adapter["adapter"] = it.adapter.value();
    adapter["bytes"] = it.bytes;
    adapters.push_back(std::move(adapter));
  }
  json::object object;
  object["model"] = model.model.value();
  object["version"] = model.version;
  object["state"] = kStateNames[static_cast<std::size_t>(model.state)];
  object["weight_bytes"] = model.weight_bytes;
  object["kv_budget_bytes"] = model.kv_budget_bytes;
  object["running"] = model.running;
  object["adapters"] = std::move(adapters);
  return object;
}

json::object ToJson(const RequestRecord& run) {
  json::object object;
  object["request_id"] = run.request_id;
  object["model"] = run.model;
  object["started"] = run.started_ms;
  object["ended"] = run.ended_ms;
  object["outcome"] = kOutcomeNames[static_cast<std::size_t>(run.outcome)];
  return object;
}

json::object ToJson(const ReplicaRecord& replica) {
  json::object object;
  object["model"] = replica.model;
  object["version"] = replica.version;
  object["fence"] = replica.fence;
  object["load_began"] = replica.load_began_ms;
  object["ready"] = replica.ready_ms;
  object["ended"] = replica.ended_ms;
  object["end"] = kEndNames[static_cast<std::size_t>(replica.end)];
  return object;
}

json::object ToJson(const Overcommit& overcommit) {
  json::object object;
  object["at"] = overcommit.at_ms;
  object["used_bytes"] = overcommit.used_bytes;
  object["cause"] = overcommit.cause;
  return object;
}

json::object ToJson(const RefusedOrder& order) {
  json::object object;
  object["at"] = order.at_ms;
  object["model"] = order.model;
  object["fence"] = order.fence;
  object["error"] = order.error;
  return object;
}

template <typename T>
json::array ToArray(const std::vector<T>& items) {
  json::array array;
  for (const T& it : items) array.push_back(ToJson(it));
  return array;
}

/** Number of replicas of a model that are loaded now, and its peak. */
struct ReplicaCount {
  int current = 0;
  int peak = 0;
};

/** @return True if `held` was in memory when the load of `began` started. */
bool WasLoadedAtStartOf(const ReplicaRecord& held, const ReplicaRecord& began) {
  const bool came_before = held.load_began_ms <= began.load_began_ms;
  const bool went_after =
      held.end == ReplicaEnd::kHeld || held.ended_ms > began.load_began_ms;
  return came_before && went_after;
}

json::object CountReplicas(const EngineRecord& record) {
  std::map<std::string, ReplicaCount> counts;
  for (const ReplicaRecord& it : record.replicas) {
    ReplicaCount& count = counts[it.model];
    if (it.end == ReplicaEnd::kHeld) ++count.current;
    const auto at_once =
        std::count_if(record.replicas.begin(), record.replicas.end(),
                      [&](const ReplicaRecord& other) {
                        return &other != &it && other.model == it.model &&
                               WasLoadedAtStartOf(other, it);
                      });
    count.peak = std::max(count.peak, 1 + static_cast<int>(at_once));
  }
  json::object object;
  for (const auto& [model, count] : counts) {
    object[model] = {{"current", count.current}, {"peak", count.peak}};
  }
  return object;
}

json::object Usage(const GenerateCall& call) {
  json::object usage;
  usage["prompt_tokens"] = call.prompt.size();
  usage["completion_tokens"] = call.max_tokens;
  usage["total_tokens"] =
      call.prompt.size() + static_cast<std::size_t>(call.max_tokens);
  return usage;
}

json::object AnswerHead(const GenerateCall& call, std::string_view object) {
  json::object answer;
  answer["id"] = call.request_id;
  answer["object"] = object;
  answer["model"] = call.model;
  return answer;
}

/** @return The answer with this single choice added. */
json::object WithChoice(json::object answer, json::object choice,
                        json::value finish_reason) {
  choice["index"] = 0;
  choice["finish_reason"] = std::move(finish_reason);
  json::array choices;
  choices.push_back(std::move(choice));
  answer["choices"] = std::move(choices);
  return answer;
}

json::object ChunkHead(const GenerateCall& call) {
  return AnswerHead(call,
                    call.chat ? "chat.completion.chunk" : "text_completion");
}

json::object ChunkChoice(const GenerateCall& call, const std::string& text) {
  json::object choice;
  if (call.chat) {
    json::object delta;
    if (!text.empty()) delta["content"] = text;
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = text;
  }
  return choice;
}

std::string Event(const json::object& data) {
  return "data: " + json::serialize(data) + "\n\n";
}

}  // namespace

EngineOrder ParseOrder(std::string_view body) {
  const json::object object = external::ParseObject(body);
  EngineOrder order;
  order.kind = ParseKind(StringAt(object, "kind"));
  order.model = core::ModelId(StringAt(object, "model"));
  order.version = StringOr(object, "version", "");
  order.adapter = core::AdapterId(StringOr(object, "adapter", ""));
  order.bytes = IntegerOr(object, "bytes", 0);
  order.kv_budget_bytes = IntegerOr(object, "kv_budget_bytes", 0);
  order.fence = IntegerOr(object, "fence", 0);
  return order;
}

GenerateCall ParseCall(const http::Request& request) {
  const json::object body = external::ParseObject(request.body.text());
  GenerateCall call;
  const auto id = http::FindHeader(request.headers, "X-Request-Id");
  call.request_id = id ? std::string(*id) : core::RandomHexId();
  SetModel(call, StringAt(body, "model"));
  call.chat = http::PathOf(request.target) == kChatPath;
  call.prompt = call.chat ? PromptOfChat(body) : StringAt(body, "prompt");
  const std::int64_t tokens = IntegerOr(body, "max_tokens", kDefaultMaxTokens);
  if (tokens < 1 || tokens > kMaxTokens) {
    ThrowFieldError("max_tokens", "is out of range");
  }
  call.max_tokens = static_cast<int>(tokens);
  call.stream = external::BooleanOr(body, "stream", false);
  return call;
}

std::string StatusJson(const external::EngineStatus& status) {
  json::object object;
  object["incarnation"] = status.incarnation;
  object["memory_bytes"] = status.memory_bytes;
  object["honours_fencing"] = status.honours_fencing;
  object["fence"] = status.fence;
  object["order_in_progress"] = status.order_in_progress;
  object["models"] = ToArray(status.models);
  object["memory_tier"] = ToJson(status.memory_tier);
  object["disk_tier"] = ToJson(status.disk_tier);
  return json::serialize(object);
}

std::string RecordJson(const EngineRecord& record) {
  json::object object;
  object["requests"] = ToArray(record.requests);
  object["replicas"] = ToArray(record.replicas);
  object["replica_counts"] = CountReplicas(record);
  object["overcommits"] = ToArray(record.overcommits);
  object["refused_orders"] = ToArray(record.refused_orders);
  object["crashes"] = json::value_from(record.crashes_ms);
  object["memory_bytes"] = record.memory_bytes;
  object["used_bytes"] = record.used_bytes;
  object["peak_used_bytes"] = record.peak_used_bytes;
  return json::serialize(object);
}

std::string ErrorJson(std::string_view name) {
  json::object object;
  object["error"] = name;
  return json::serialize(object);
}

std::string TokenText(const GenerateCall& call, int index) {
  const std::string token = call.request_id + "#" + std::to_string(index);
  return index == 0 ? call.prompt + " " + token : " " + token;
}

std::string WholeText(const GenerateCall& call) {
  std::string text;
  for (int i = 0; i < call.max_tokens; ++i) text += TokenText(call, i);
  return text;
}

std::string AnswerJson(const GenerateCall& call) {
  json::object choice;
  if (call.chat) {
    json::object message;
    message["role"] = "assistant";
    message["content"] = WholeText(call);
    choice["message"] = std::move(message);
  } else {
    choice["text"] = WholeText(call);
  }
  json::object answer = WithChoice(
      AnswerHead(call, call.chat ? "chat.completion" : "text_completion"),
      std::move(choice), "length");
  answer["usage"] = Usage(call);
  return json::serialize(answer);
}

std::string TokenEvent(const GenerateCall& call, int index) {
  return Event(WithChoice(ChunkHead(call),
                          ChunkChoice(call, TokenText(call, index)), nullptr));
}

std::string LastEvents(const GenerateCall& call) {
  json::object last =
      WithChoice(ChunkHead(call), ChunkChoice(call, ""), "length");
  last["usage"] = Usage(call);
  return Event(last) + "data: [DONE]\n\n";
}

}  // namespace sapphire::standin
