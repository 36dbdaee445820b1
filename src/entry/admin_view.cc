/** @file admin_view.cc Formats the answers to operators as JSON. */
#include <array>
#include <boost/json.hpp>
#include <map>

#include "contract/intent_func.h"
#include "contract/plan_func.h"
#include "entry/admin_view_func.h"

namespace sapphire::entry {

namespace json = boost::json;

namespace {

std::string_view NameOf(gen::ReplicaState::type state) {
  switch (state) {
    case gen::ReplicaState::LOADING:
      return "loading";
    case gen::ReplicaState::READY:
      return "ready";
    case gen::ReplicaState::DRAINING:
      return "draining";
    case gen::ReplicaState::UNLOADING:
      return "unloading";
  }
  return "unknown";
}

json::object PlanObject(const contract::Plan& plan) {
  json::object object = json::parse(contract::ToJson(plan)).as_object();
  object["text"] = contract::RenderText(plan);
  return object;
}

json::object ToObject(const VmVersion& vm) {
  json::object object{{"vm", vm.vm.value()},
                      {"zone", vm.zone.value()},
                      {"role", vm.is_entry ? "entry" : "endpoint"},
                      {"linked", vm.linked},
                      {"leaving", vm.leaving}};
  if (vm.linked) {
    object["version"] = vm.version;
  } else {
    object["version"] = nullptr;
  }
  return object;
}

json::array ToArray(std::span<const VmVersion> vms) {
  json::array list;
  for (const VmVersion& vm : vms) list.push_back(ToObject(vm));
  return list;
}

json::array ToArray(const std::vector<std::string>& texts) {
  json::array list;
  for (const std::string& text : texts) list.emplace_back(text);
  return list;
}

json::object ToObject(const gen::ReplicaReport& replica) {
  return {{"model", replica.model},
          {"state", NameOf(replica.state)},
          {"running", replica.running},
          {"idle_ms", replica.idle_ms},
          {"adapters", ToArray(replica.adapters)},
          {"bytes", replica.bytes}};
}

json::object ToObject(const KnownEndpoint& endpoint, core::SteadyTime now) {
  const gen::EndpointReport& report = endpoint.report;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - endpoint.reported_at);
  json::object object{{"vm", endpoint.id.value()},
                      {"zone", report.zone},
                      {"kind", report.kind},
                      {"connected", endpoint.connected},
                      {"leaving", endpoint.leaving || report.leaving},
                      {"engine_up", report.engine_up},
                      {"report_age_ms", age.count()},
                      {"memory_bytes", report.memory_bytes},
                      {"reserved_bytes", report.reserved_bytes},
                      {"running", report.running},
                      {"max_running", report.max_running}};
  json::array& replicas = object["replicas"].emplace_array();
  for (const gen::ReplicaReport& replica : report.replicas) {
    replicas.push_back(ToObject(replica));
  }
  return object;
}

/** @return Each model's replicas as JSON, by model name. */
std::map<std::string, json::array> ReplicasByModel(
    std::span<const KnownEndpoint> endpoints) {
  std::map<std::string, json::array> by_model;
  for (const KnownEndpoint& endpoint : endpoints) {
    for (const gen::ReplicaReport& replica : endpoint.report.replicas) {
      by_model[replica.model].push_back(
          json::object{{"vm", endpoint.id.value()},
                       {"state", NameOf(replica.state)},
                       {"running", replica.running}});
    }
  }
  return by_model;
}

json::object ToObject(const contract::Model& model) {
  return {{"model", model.name.value()},
          {"service", model.service.value()},
          {"version", model.version},
          {"max_replicas", model.max_replicas},
          {"adapters", model.adapters.size()},
          {"non_idempotent", model.non_idempotent}};
}

}  // namespace

std::string PlanJson(const contract::Plan& plan) {
  return json::serialize(PlanObject(plan));
}

std::string SavedPlanJson(const SavedPlan& saved) {
  json::object object = PlanObject(saved.plan);
  object["stale"] = saved.stale;
  object["confirmed_version"] = saved.confirmed_version;
  return json::serialize(object);
}

std::string ConfirmJson(const core::PlanId& plan, std::int64_t version,
                        std::span<const VmVersion> not_yet) {
  return json::serialize(json::object{{"plan", plan.value()},
                                      {"version", version},
                                      {"not_yet", ToArray(not_yet)}});
}

std::string ConfigJson(const contract::Config* config) {
  if (config == nullptr) {
    return json::serialize(
        json::object{{"version", 0}, {"plan", nullptr}, {"intent", nullptr}});
  }
  return json::serialize(
      json::object{{"version", config->version},
                   {"plan", config->plan.value()},
                   {"intent", json::parse(contract::ToJson(config->intent))}});
}

std::string StatusJson(std::int64_t version, std::span<const VmVersion> vms,
                       std::span<const KnownEndpoint> endpoints) {
  int replicas = 0;
  int running = 0;
  for (const KnownEndpoint& endpoint : endpoints) {
    replicas += static_cast<int>(endpoint.report.replicas.size());
    running += endpoint.report.running;
  }
  return json::serialize(json::object{{"version", version},
                                      {"vms", ToArray(vms)},
                                      {"endpoints", endpoints.size()},
                                      {"replicas", replicas},
                                      {"running", running}});
}

std::string EndpointsJson(std::span<const KnownEndpoint> endpoints,
                          core::SteadyTime now) {
  json::array list;
  for (const KnownEndpoint& endpoint : endpoints) {
    list.push_back(ToObject(endpoint, now));
  }
  return json::serialize(json::object{{"endpoints", std::move(list)}});
}

std::string ModelsJson(const contract::Config* config,
                       std::span<const KnownEndpoint> endpoints) {
  json::array list;
  if (config != nullptr) {
    std::map<std::string, json::array> by_model = ReplicasByModel(endpoints);
    for (const auto& [name, model] : config->intent.models) {
      json::object object = ToObject(model);
      object["replicas"] = std::move(by_model[name.value()]);
      list.push_back(std::move(object));
    }
  }
  return json::serialize(
      json::object{{"version", config == nullptr ? 0 : config->version},
                   {"models", std::move(list)}});
}

std::string DrainJson(const core::EndpointId& endpoint, int running) {
  return json::serialize(json::object{
      {"vm", endpoint.value()}, {"leaving", true}, {"running", running}});
}

}  // namespace sapphire::entry
