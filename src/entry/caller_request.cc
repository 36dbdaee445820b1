/** @file caller_request.cc Parses callers' HTTP requests. */
#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>

#include "core/error_type.h"
#include "core/random_func.h"
#include "entry/caller_request_func.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxTokenLength = 128;
constexpr int kMaxPriority = 100;
/** Prompts that share this many leading bytes likely share a cached prefix. */
constexpr std::size_t kPrefixBytes = 256;

[[noreturn]] void BadHeader(std::string_view name, const std::string& what) {
  throw Error(ErrorCode::kBadHeader, std::string(name) + ": " + what);
}

bool IsTokenCharacter(char c) { return c > ' ' && c < '\x7f'; }

/** @return A header that must be a short printable token; "" if absent. */
std::string TokenHeader(const http::Request& request, std::string_view name) {
  const auto value = http::FindHeader(request.headers, name);
  if (!value) return "";
  if (value->empty() || value->size() > kMaxTokenLength ||
      !std::all_of(value->begin(), value->end(), IsTokenCharacter)) {
    BadHeader(name, "must be 1 to 128 printable characters without spaces");
  }
  return std::string(*value);
}

/** @return A header that must be a whole number; `fallback` if absent. */
std::int64_t IntegerHeader(const http::Request& request, std::string_view name,
                           std::int64_t min, std::int64_t max,
                           std::int64_t fallback) {
  const auto value = http::FindHeader(request.headers, name);
  if (!value) return fallback;
  std::int64_t number = 0;
  const char* end = value->data() + value->size();
  const auto result = std::from_chars(value->data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < min ||
      number > max) {
    BadHeader(name, "must be a whole number from " + std::to_string(min) +
                        " to " + std::to_string(max));
  }
  return number;
}

boost::json::object ParseBody(const std::string& body) {
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(body, ec);
  if (ec) throw Error(ErrorCode::kMalformedRequest, "body: " + ec.message());
  if (!value.is_object()) {
    throw Error(ErrorCode::kMalformedRequest, "body: must be a JSON object");
  }
  return value.get_object();
}

std::string StringField(const boost::json::object& body,
                        std::string_view name) {
  const boost::json::value* value = body.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    throw Error(ErrorCode::kMalformedRequest,
                std::string(name) + ": must be a string");
  }
  return std::string(value->get_string());
}

bool StreamField(const boost::json::object& body) {
  const boost::json::value* value = body.if_contains("stream");
  if (value == nullptr) return false;
  if (!value->is_bool()) {
    throw Error(ErrorCode::kMalformedRequest, "stream: must be a boolean");
  }
  return value->get_bool();
}

/** @return The text whose prefixes engines cache: the prompt or the messages.
 */
std::string PromptText(const boost::json::object& body,
                       std::string_view field) {
  const boost::json::value* value = body.if_contains(field);
  if (value == nullptr) {
    throw Error(ErrorCode::kMalformedRequest,
                std::string(field) + ": is required");
  }
  return boost::json::serialize(*value);
}

void FindModel(CallerRequest& out, const std::string& name,
               const contract::Intent& intent) {
  const std::size_t colon = name.find(':');
  out.model = core::ModelId(name.substr(0, colon));
  const auto it = intent.models.find(out.model);
  if (it == intent.models.end()) {
    throw Error(ErrorCode::kUnknownModel, "model: " + out.model.value());
  }
  out.service = it->second.service;
  out.non_idempotent = it->second.non_idempotent;
  if (colon == std::string::npos) return;
  out.adapter = core::AdapterId(name.substr(colon + 1));
  const auto& adapters = it->second.adapters;
  const bool known = std::any_of(
      adapters.begin(), adapters.end(),
      [&](const auto& adapter) { return adapter.name == out.adapter; });
  if (!known) {
    throw Error(ErrorCode::kUnknownAdapter, "model: " + name);
  }
}

void ReadModelCall(CallerRequest& out, const contract::Intent& intent,
                   bool chat) {
  if (out.method != "POST") {
    throw Error(ErrorCode::kMalformedRequest, "method: must be POST");
  }
  const boost::json::object body = ParseBody(out.body);
  FindModel(out, StringField(body, "model"), intent);
  out.stream = StreamField(body);
  const std::string prompt = PromptText(body, chat ? "messages" : "prompt");
  const std::string prefix =
      out.model.value() + '\n' + prompt.substr(0, kPrefixBytes);
  out.prefix_hash = static_cast<std::int64_t>(core::HashOf(prefix) >> 1);
}

/** @return True if the call matches a "METHOD /prefix" pattern. */
bool MatchesPattern(const std::string& pattern, const std::string& method,
                    std::string_view path) {
  const std::string_view text = pattern;
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) return false;
  const std::string_view prefix = text.substr(space + 1);
  return text.substr(0, space) == method && path.starts_with(prefix);
}

void ReadServiceCall(CallerRequest& out, const contract::Intent& intent) {
  const std::string rest = out.path.substr(kServicesPrefix.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  out.service = core::ServiceId(rest.substr(0, end));
  const auto it = intent.services.find(out.service);
  if (it == intent.services.end() ||
      it->second.kind != contract::ServiceKind::kPlain) {
    throw Error(ErrorCode::kUnknownService, out.service.value());
  }
  out.path = rest.substr(end);
  if (out.path.empty() || out.path.front() != '/') out.path.insert(0, "/");
  const std::string_view path = http::PathOf(out.path);
  const auto& patterns = it->second.non_idempotent;
  out.non_idempotent =
      std::any_of(patterns.begin(), patterns.end(), [&](const auto& pattern) {
        return MatchesPattern(pattern, out.method, path);
      });
}

std::int64_t FingerprintOf(const CallerRequest& request) {
  std::string work = request.service.value();
  for (const std::string& part :
       {request.model.value(), request.adapter.value(), request.method,
        request.path, request.body}) {
    work += '\0';
    work += part;
  }
  return static_cast<std::int64_t>(core::HashOf(work) >> 1);
}

void ReadHeaders(CallerRequest& out, const http::Request& request,
                 const CallerLimits& limits) {
  out.id = core::RequestId(TokenHeader(request, "X-Request-Id"));
  out.idempotency_key = TokenHeader(request, "Idempotency-Key");
  if (out.idempotency_key.empty()) out.idempotency_key = out.id.value();
  if (out.id.empty()) out.id = core::RequestId(core::RandomHexId());
  if (out.idempotency_key.empty()) out.idempotency_key = out.id.value();
  out.owner = core::OwnerId(TokenHeader(request, "X-Owner"));
  out.priority = static_cast<int>(
      IntegerHeader(request, "X-Priority", -kMaxPriority, kMaxPriority, 0));
  out.timeout = std::chrono::milliseconds(IntegerHeader(
      request, "X-Request-Timeout-Ms", 1, limits.max_timeout.count(),
      limits.default_timeout.count()));
  const auto type = http::FindHeader(request.headers, "Content-Type");
  out.content_type = std::string(type.value_or(""));
}

}  // namespace

CallerRequest ReadCallerRequest(const http::Request& request,
                                const contract::Intent& intent,
                                const CallerLimits& limits) {
  CallerRequest out;
  out.method = request.method;
  out.path = request.target;
  out.body = request.body.text();
  ReadHeaders(out, request, limits);
  const std::string_view path = http::PathOf(request.target);
  if (path == "/v1/completions") {
    ReadModelCall(out, intent, false);
  } else if (path == "/v1/chat/completions") {
    ReadModelCall(out, intent, true);
  } else if (path.starts_with(kServicesPrefix)) {
    ReadServiceCall(out, intent);
  } else {
    throw Error(ErrorCode::kUnknownPath, std::string(path));
  }
  out.fingerprint = FingerprintOf(out);
  return out;
}

gen::Run ToRun(const CallerRequest& request) {
  gen::Run run;
  run.request_id = request.id.value();
  run.service_id = request.service.value();
  run.model = request.model.value();
  run.adapter = request.adapter.value();
  run.priority = request.priority;
  run.owner = request.owner.value();
  run.fingerprint = request.fingerprint;
  run.non_idempotent = request.non_idempotent;
  if (request.non_idempotent) run.idempotency_key = request.idempotency_key;
  run.method = request.method;
  run.path = request.path;
  run.content_type = request.content_type;
  run.body = request.body;
  run.prefix_hash = request.prefix_hash;
  return run;
}

gen::Place ToPlace(const gen::Run& run) {
  gen::Place place;
  place.request_id = run.request_id;
  place.model = run.model;
  place.adapter = run.adapter;
  place.priority = run.priority;
  place.owner = run.owner;
  place.fingerprint = run.fingerprint;
  place.prefix_hash = run.prefix_hash;
  return place;
}

std::string ModelsJson(const contract::Intent& intent) {
  boost::json::array list;
  const auto add = [&](const std::string& id, const core::ServiceId& service) {
    list.push_back(boost::json::object{
        {"id", id}, {"object", "model"}, {"owned_by", service.value()}});
  };
  for (const auto& [name, model] : intent.models) {
    add(name.value(), model.service);
    for (const auto& adapter : model.adapters) {
      add(name.value() + ":" + adapter.name.value(), model.service);
    }
  }
  return boost::json::serialize(
      boost::json::object{{"object", "list"}, {"data", std::move(list)}});
}

}  // namespace sapphire::entry
