/** @file intent_write.cc Writes an intent as JSON and TOML. */
#include <fmt/format.h>

#include <boost/json.hpp>
#include <iterator>

#include "contract/byte_size_func.h"
#include "contract/intent_json_func.h"

namespace sapphire::contract {

namespace json = boost::json;

namespace {

json::object ToJsonObject(const Adapter& adapter) {
  return {{"name", adapter.name.value()},
          {"version", adapter.version},
          {"bytes", adapter.bytes}};
}

template <typename Map>
json::array ListOf(const Map& map) {
  json::array list;
  for (const auto& [name, thing] : map) list.push_back(ToJsonObject(thing));
  return list;
}

/** Quotes a text for TOML. Names and calls of a valid intent need no escaping,
 * but the intent may not have been validated. */
std::string Quoted(std::string_view text) {
  return json::serialize(json::string(text));
}

std::string Quoted(const std::vector<std::string>& texts) {
  json::array list;
  for (const std::string& text : texts) list.emplace_back(text);
  return json::serialize(list);
}

using Out = std::back_insert_iterator<std::string>;

void WriteToml(Out out, const Service& service) {
  fmt::format_to(out, "\n[[service]]\nname = {}\n",
                 Quoted(service.name.value()));
  if (service.kind == ServiceKind::kModel) {
    fmt::format_to(out, "kind = \"model\"\nmax_replicas = {}\n",
                   service.max_replicas);
    return;
  }
  fmt::format_to(out,
                 "kind = \"plain\"\nmax_concurrent = {}\n"
                 "non_idempotent = {}\n",
                 service.max_concurrent, Quoted(service.non_idempotent));
}

void WriteToml(Out out, const Adapter& adapter) {
  fmt::format_to(out, "  {{ name = {}, version = {}, bytes = \"{}\" }},\n",
                 Quoted(adapter.name.value()), Quoted(adapter.version),
                 FormatByteSize(adapter.bytes));
}

void WriteToml(Out out, const Model& model) {
  fmt::format_to(out,
                 "\n[[model]]\nname = {}\nservice = {}\nversion = {}\n"
                 "weight_bytes = \"{}\"\nkv_budget_bytes = \"{}\"\n"
                 "max_replicas = {}\nmax_concurrent = {}\n",
                 Quoted(model.name.value()), Quoted(model.service.value()),
                 Quoted(model.version), FormatByteSize(model.weight_bytes),
                 FormatByteSize(model.kv_budget_bytes), model.max_replicas,
                 model.max_concurrent);
  if (model.non_idempotent) fmt::format_to(out, "non_idempotent = true\n");
  if (model.adapters.empty()) return;
  fmt::format_to(out, "adapters = [\n");
  for (const Adapter& adapter : model.adapters) WriteToml(out, adapter);
  fmt::format_to(out, "]\n");
}

void WriteToml(Out out, const Owner& owner) {
  fmt::format_to(out, "\n[[owner]]\nname = {}\nshare = {}\n",
                 Quoted(owner.name.value()), owner.share);
}

}  // namespace

json::object ToJsonObject(const Service& service) {
  json::object object{{"name", service.name.value()}};
  if (service.kind == ServiceKind::kModel) {
    object["kind"] = "model";
    object["max_replicas"] = service.max_replicas;
    return object;
  }
  object["kind"] = "plain";
  object["max_concurrent"] = service.max_concurrent;
  json::array& calls = object["non_idempotent"].emplace_array();
  for (const std::string& call : service.non_idempotent) {
    calls.emplace_back(call);
  }
  return object;
}

json::object ToJsonObject(const Model& model) {
  json::object object{{"name", model.name.value()},
                      {"service", model.service.value()},
                      {"version", model.version},
                      {"weight_bytes", model.weight_bytes},
                      {"kv_budget_bytes", model.kv_budget_bytes},
                      {"max_replicas", model.max_replicas},
                      {"max_concurrent", model.max_concurrent},
                      {"non_idempotent", model.non_idempotent}};
  json::array& adapters = object["adapters"].emplace_array();
  for (const Adapter& adapter : model.adapters) {
    adapters.push_back(ToJsonObject(adapter));
  }
  return object;
}

json::object ToJsonObject(const Owner& owner) {
  return {{"name", owner.name.value()}, {"share", owner.share}};
}

json::object ScalarsToJson(const Intent& intent) {
  return {{"deployment", intent.deployment},
          {"weights",
           {{"cold_start", intent.weights.cold_start},
            {"idle", intent.weights.idle}}},
          {"weight_store",
           {{"loads_per_second", intent.loads_per_second},
            {"at_once", intent.loads_at_once}}}};
}

std::string ToJson(const Intent& intent) {
  json::object object = ScalarsToJson(intent);
  object["service"] = ListOf(intent.services);
  object["model"] = ListOf(intent.models);
  object["owner"] = ListOf(intent.owners);
  return json::serialize(object);
}

std::string ToToml(const Intent& intent) {
  std::string text;
  const Out out(text);
  fmt::format_to(out,
                 "deployment = {}\n\n[weights]\ncold_start = {}\nidle = {}\n"
                 "\n[weight_store]\nloads_per_second = {}\nat_once = {}\n",
                 Quoted(intent.deployment), intent.weights.cold_start,
                 intent.weights.idle, intent.loads_per_second,
                 intent.loads_at_once);
  for (const auto& [name, service] : intent.services) WriteToml(out, service);
  for (const auto& [name, model] : intent.models) WriteToml(out, model);
  for (const auto& [name, owner] : intent.owners) WriteToml(out, owner);
  return text;
}

}  // namespace sapphire::contract
