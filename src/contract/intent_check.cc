/** @file intent_check.cc Validates an intent as a whole. */
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "contract/intent_json_func.h"

namespace sapphire::contract {

using core::ErrorCode;

namespace {

constexpr std::array<std::string_view, 6> kMethods = {
    "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"};
constexpr std::int64_t kMaxBytes = 1LL << 50;
constexpr double kMaxWeight = 1e9;
constexpr double kMaxLoadsPerSecond = 1e6;
constexpr std::size_t kMaxCallBytes = 256;

[[noreturn]] void Reject(std::string field, std::string reason) {
  throw FieldError(ErrorCode::kBadIntent, std::move(field), std::move(reason));
}

template <typename Number>
void CheckRange(const std::string& field, Number value, Number min,
                Number max) {
  if (value < min) Reject(field, fmt::format("must be at least {}", min));
  if (value > max) {
    throw FieldError(ErrorCode::kIntentOverLimit, field,
                     fmt::format("{} is over the limit of {}", value, max));
  }
}

void CheckCount(const std::string& field, std::size_t n, std::size_t max) {
  if (n <= max) return;
  throw FieldError(ErrorCode::kIntentOverLimit, field,
                   fmt::format("{} entries are over the limit of {}", n, max));
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

/** Names are used in paths, keys and "model:adapter" without escaping. */
void CheckName(const std::string& field, const std::string& name,
               std::size_t max_bytes) {
  if (name.empty()) Reject(field, "must not be empty");
  if (!std::ranges::all_of(name, IsNameCharacter)) {
    Reject(field, "may hold letters, digits, '.', '_' and '-' only");
  }
  if (name.size() > max_bytes) {
    throw FieldError(ErrorCode::kIntentOverLimit, field,
                     fmt::format("is longer than {} bytes", max_bytes));
  }
}

/** @param call "METHOD /path-prefix". */
void CheckCall(const std::string& field, const std::string& call) {
  const std::size_t space = call.find(' ');
  const std::string method = call.substr(0, space);
  if (std::ranges::find(kMethods, method) == kMethods.end() ||
      space == std::string::npos || !call.substr(space + 1).starts_with('/')) {
    Reject(field, fmt::format("\"{}\" must be like \"POST /path\"", call));
  }
  CheckRange<std::size_t>(field, call.size(), 0, kMaxCallBytes);
}

void CheckService(const Service& service, const IntentLimits& limits) {
  const std::string path = "service." + service.name.value();
  CheckName(path + ".name", service.name.value(), limits.name_bytes);
  CheckRange(path + ".max_replicas", service.max_replicas, 0, limits.replicas);
  CheckRange(path + ".max_concurrent", service.max_concurrent, 1,
             limits.concurrent);
  const std::string calls = path + ".non_idempotent";
  CheckCount(calls, service.non_idempotent.size(), limits.non_idempotent_calls);
  for (const std::string& call : service.non_idempotent) CheckCall(calls, call);
}

void CheckAdapters(const Model& model, const std::string& path,
                   const IntentLimits& limits) {
  CheckCount(path + ".adapters", model.adapters.size(),
             limits.adapters_per_model);
  const Adapter* previous = nullptr;
  for (const Adapter& adapter : model.adapters) {
    const std::string own = path + ".adapters." + adapter.name.value();
    CheckName(own + ".name", adapter.name.value(), limits.name_bytes);
    CheckName(own + ".version", adapter.version, limits.name_bytes);
    CheckRange<std::int64_t>(own + ".bytes", adapter.bytes, 1, kMaxBytes);
    if (previous != nullptr && previous->name == adapter.name) {
      Reject(own + ".name", "stands twice");
    }
    if (previous != nullptr && previous->name > adapter.name) {
      Reject(path + ".adapters", "must be sorted by name");
    }
    previous = &adapter;
  }
}

void CheckServiceOf(const Model& model, const std::string& path,
                    const Intent& intent) {
  const auto it = intent.services.find(model.service);
  if (it == intent.services.end()) {
    Reject(path + ".service",
           fmt::format("no service is named \"{}\"", model.service.value()));
  }
  if (it->second.kind != ServiceKind::kModel) {
    Reject(path + ".service",
           fmt::format("\"{}\" is a plain service", model.service.value()));
  }
}

void CheckModel(const Model& model, const Intent& intent,
                const IntentLimits& limits) {
  const std::string path = "model." + model.name.value();
  CheckName(path + ".name", model.name.value(), limits.name_bytes);
  CheckName(path + ".version", model.version, limits.name_bytes);
  CheckServiceOf(model, path, intent);
  CheckRange<std::int64_t>(path + ".weight_bytes", model.weight_bytes, 1,
                           kMaxBytes);
  CheckRange<std::int64_t>(path + ".kv_budget_bytes", model.kv_budget_bytes, 0,
                           kMaxBytes);
  CheckRange(path + ".max_replicas", model.max_replicas, 0, limits.replicas);
  CheckRange(path + ".max_concurrent", model.max_concurrent, 1,
             limits.concurrent);
  CheckAdapters(model, path, limits);
}

void CheckOwner(const Owner& owner, const IntentLimits& limits) {
  const std::string path = "owner." + owner.name.value();
  CheckName(path + ".name", owner.name.value(), limits.name_bytes);
  CheckRange(path + ".share", owner.share, 0.0, kMaxWeight);
}

void CheckSizes(const Intent& intent, const IntentLimits& limits) {
  CheckCount("service", intent.services.size(), limits.services);
  CheckCount("model", intent.models.size(), limits.models);
  CheckCount("owner", intent.owners.size(), limits.owners);
  std::size_t adapters = 0;
  for (const auto& [name, model] : intent.models) {
    adapters += model.adapters.size();
  }
  CheckCount("model.adapters", adapters, limits.adapters);
}

void CheckScalars(const Intent& intent, const IntentLimits& limits) {
  CheckName("deployment", intent.deployment, limits.name_bytes);
  CheckRange("weights.cold_start", intent.weights.cold_start, 0.0, kMaxWeight);
  CheckRange("weights.idle", intent.weights.idle, 0.0, kMaxWeight);
  CheckRange("weight_store.at_once", intent.loads_at_once, 1,
             limits.concurrent);
  if (!(intent.loads_per_second > 0)) {
    Reject("weight_store.loads_per_second", "must be above 0");
  }
  CheckRange("weight_store.loads_per_second", intent.loads_per_second, 0.0,
             kMaxLoadsPerSecond);
}

}  // namespace

void CheckIntent(const Intent& intent, const IntentLimits& limits) {
  CheckSizes(intent, limits);
  CheckScalars(intent, limits);
  for (const auto& [name, service] : intent.services) {
    CheckService(service, limits);
  }
  for (const auto& [name, model] : intent.models) {
    CheckModel(model, intent, limits);
  }
  for (const auto& [name, owner] : intent.owners) CheckOwner(owner, limits);
}

void Validate(const Intent& intent, const IntentLimits& limits) {
  try {
    CheckIntent(intent, limits);
  } catch (const FieldError& error) {
    throw error.ToError("");
  }
}

}  // namespace sapphire::contract
