/** @file grant.cc Encodes, decodes and checks ledgers of grants. */
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "core/error_type.h"
#include "endpoint/grant_func.h"

namespace sapphire::endpoint {

namespace json = boost::json;
using core::Error;
using core::ErrorCode;

namespace {

/** Retry time when a limit is reached: another replica may be idle by then. */
constexpr std::chrono::milliseconds kLimitRetryAfter{2000};
/** Retry time when the ledger's configuration is newer, which usually arrives
 * within one heartbeat. */
constexpr std::chrono::milliseconds kConfigRetryAfter{1000};

Grant GrantFrom(const json::object& object) {
  return {core::ModelId(std::string(object.at("model").as_string())),
          core::VmId(std::string(object.at("vm").as_string())),
          object.at("fence").to_number<std::int64_t>()};
}

int CountOf(const LedgerValue& ledger, const core::ModelId& model) {
  return static_cast<int>(std::ranges::count(
      ledger.grants, model, [](const Grant& it) -> auto& { return it.model; }));
}

}  // namespace

std::string LedgerKey(const core::ServiceId& service) {
  return std::string(kLedgerPrefix) + service.value();
}

core::ServiceId ServiceOfLedgerKey(std::string_view key) {
  return core::ServiceId(std::string(key.substr(kLedgerPrefix.size())));
}

std::string EncodeLedger(const LedgerValue& ledger) {
  json::array grants;
  for (const Grant& it : ledger.grants) {
    grants.push_back(json::object{{"model", it.model.value()},
                                  {"vm", it.vm.value()},
                                  {"fence", it.fence}});
  }
  return json::serialize(json::object{{"grants", std::move(grants)},
                                      {"next_fence", ledger.next_fence},
                                      {"config", ledger.config_version}});
}

LedgerValue DecodeLedger(std::string_view text) {
  try {
    const json::value parsed = json::parse(json::string_view(text));
    const json::object& object = parsed.as_object();
    LedgerValue ledger;
    for (const json::value& it : object.at("grants").as_array()) {
      ledger.grants.push_back(GrantFrom(it.as_object()));
    }
    ledger.next_fence = object.at("next_fence").to_number<std::int64_t>();
    if (const json::value* version = object.if_contains("config")) {
      ledger.config_version = version->to_number<std::int64_t>();
    }
    return ledger;
  } catch (const std::exception& e) {
    throw Error(ErrorCode::kInternal,
                std::string("a ledger can't be read: ") + e.what());
  }
}

const Grant* FindGrant(const LedgerValue& ledger, const core::VmId& vm,
                       const core::ModelId& model) {
  const auto it = std::ranges::find_if(ledger.grants, [&](const Grant& grant) {
    return grant.vm == vm && grant.model == model;
  });
  return it == ledger.grants.end() ? nullptr : &*it;
}

void CheckLimits(const LedgerValue& ledger, const contract::Config& config,
                 const core::ModelId& model) {
  if (ledger.config_version > config.version) {
    throw Error(ErrorCode::kNotConfigured,
                "the ledger knows a newer configuration", kConfigRetryAfter);
  }
  const auto it = config.intent.models.find(model);
  if (it == config.intent.models.end()) {
    throw Error(ErrorCode::kUnknownModel, model.value());
  }
  const auto service = config.intent.services.find(it->second.service);
  if (service == config.intent.services.end()) {
    throw Error(ErrorCode::kUnknownService, it->second.service.value());
  }
  if (CountOf(ledger, model) >= it->second.max_replicas) {
    throw Error(ErrorCode::kReplicaLimit,
                fmt::format("model {}: {} replicas", model.value(),
                            it->second.max_replicas),
                kLimitRetryAfter);
  }
  if (static_cast<int>(ledger.grants.size()) >= service->second.max_replicas) {
    throw Error(
        ErrorCode::kReplicaLimit,
        fmt::format("service {}: {} replicas", it->second.service.value(),
                    service->second.max_replicas),
        kLimitRetryAfter);
  }
}

std::vector<Grant> SurplusGrants(const LedgerValue& ledger,
                                 const contract::Intent& intent,
                                 const core::ServiceId& service) {
  const auto limits = intent.services.find(service);
  const int service_limit =
      limits == intent.services.end() ? 0 : limits->second.max_replicas;
  std::vector<Grant> oldest_first = ledger.grants;
  std::ranges::sort(oldest_first, {}, &Grant::fence);
  std::map<core::ModelId, int> kept;
  int kept_in_all = 0;
  std::vector<Grant> surplus;
  for (const Grant& it : oldest_first) {
    const auto model = intent.models.find(it.model);
    const bool known =
        model != intent.models.end() && model->second.service == service;
    const int limit = known ? model->second.max_replicas : 0;
    if (kept[it.model] >= limit || kept_in_all >= service_limit) {
      surplus.push_back(it);
      continue;
    }
    ++kept[it.model];
    ++kept_in_all;
  }
  return surplus;
}

}  // namespace sapphire::endpoint
