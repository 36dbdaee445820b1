/** @file plan_record.cc Encodes plans for the key-value service. */
#include <fmt/format.h>

#include <boost/json.hpp>

#include "core/error_type.h"
#include "entry/plan_record_func.h"

namespace sapphire::entry {

namespace json = boost::json;

namespace {

PlanRecord FromValue(const json::value& value) {
  PlanRecord record;
  record.id = core::PlanId(std::string(value.at("id").as_string()));
  record.base_version = value.at("base_version").as_int64();
  for (const json::value& hash : value.at("parts").as_array()) {
    record.part_hashes.emplace_back(hash.as_string());
  }
  record.lease_id = value.at("lease").as_string();
  record.confirmed_version = value.at("confirmed_version").as_int64();
  return record;
}

}  // namespace

std::string ToJson(const PlanRecord& record) {
  json::object object{{"id", record.id.value()},
                      {"base_version", record.base_version},
                      {"lease", record.lease_id},
                      {"confirmed_version", record.confirmed_version}};
  json::array& parts = object["parts"].emplace_array();
  for (const std::string& hash : record.part_hashes) parts.emplace_back(hash);
  return json::serialize(object);
}

PlanRecord PlanRecordFromJson(std::string_view text) {
  try {
    return FromValue(json::parse(text));
  } catch (const std::exception& e) {
    throw core::Error(core::ErrorCode::kUnknownPlan,
                      std::string("the plan can't be read: ") + e.what());
  }
}

std::string PlanKey(const core::PlanId& id) { return "plans/" + id.value(); }

std::string PlanPartKey(const core::PlanId& id, std::string_view hash) {
  return fmt::format("plans/{}/parts/{}", id.value(), hash);
}

}  // namespace sapphire::entry
