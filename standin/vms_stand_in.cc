/** @file vms_stand_in.cc Stand-in of the platform's lagging VM list. */
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "core/error_type.h"
#include "external/json_func.h"
#include "standin/vms_stand_in_base.h"

namespace sapphire::standin {

namespace json = boost::json;

namespace {

constexpr int kOk = 200;
constexpr std::array kFaults = {
    FaultDef{.name = "lag_ms", .kind = FaultKind::kNumber},
};
constexpr std::string_view kEmptyList = R"({"vms":[]})";

/** @throws core::Error kMalformedRequest if a field of a VM is missing. */
void CheckList(const std::string& list) {
  const json::object object = external::ParseObject(list);
  for (const json::value& it : external::ArrayAt(object, "vms")) {
    const json::object& vm = external::AsObject(it, "vms");
    for (const char* field : {"vm", "zone", "role", "state", "link_address"}) {
      external::StringAt(vm, field);
    }
  }
}

}  // namespace

VmsStandIn::VmsStandIn(StandInContext context)
    : StandIn(std::move(context), kFaults) {
  versions_.push_back({core::SteadyTime::min(), std::string(kEmptyList)});
}

core::Task<> VmsStandIn::Serve(const http::Request& request,
                               http::ResponseWriter& writer) {
  if (http::PathOf(request.target) != "/vms") {
    throw core::Error(core::ErrorCode::kUnknownPath, request.target);
  }
  if (request.method == "POST") {
    const std::string body(request.body.text());
    CheckList(body);
    Set(body);
    co_await SendJson(writer, kOk, "{}");
    co_return;
  }
  std::string list =
      ListAsOf(context_.clock.Now() - faults_.Duration("lag_ms"));
  co_await SendJson(writer, kOk, std::move(list));
}

void VmsStandIn::Set(const std::string& list) {
  const std::lock_guard lock(mutex_);
  versions_.push_back({context_.clock.Now(), list});
  ++changes_;
}

std::string VmsStandIn::ListAsOf(core::SteadyTime time) {
  const std::lock_guard lock(mutex_);
  ++reads_;
  auto it = versions_.end() - 1;
  while (it != versions_.begin() && it->since > time) --it;
  return it->list;
}

std::string VmsStandIn::RecordJson() const {
  const std::lock_guard lock(mutex_);
  json::object record;
  record["reads"] = reads_;
  record["changes"] = changes_;
  return json::serialize(record);
}

}  // namespace sapphire::standin
