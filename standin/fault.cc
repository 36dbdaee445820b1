/** @file fault.cc Fault switches of a stand-in. */
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "core/error_type.h"
#include "external/json_func.h"
#include "standin/fault_base.h"

namespace sapphire::standin {

namespace json = boost::json;

namespace {

/** Switches that every stand-in has. */
constexpr std::array kCommonFaults = {
    FaultDef{.name = "down", .kind = FaultKind::kFlag},
    FaultDef{.name = "delay_ms", .kind = FaultKind::kNumber},
};

[[noreturn]] void ThrowSwitchError(std::string_view name,
                                   const std::string& why) {
  throw core::Error(core::ErrorCode::kMalformedRequest,
                    std::string(name) + ": " + why);
}

double ToNumber(std::string_view name, const json::value& value) {
  if (value.is_bool()) return value.get_bool() ? 1 : 0;
  if (!value.is_number()) {
    ThrowSwitchError(name, "must be a number or a boolean");
  }
  return value.to_number<double>();
}

std::string ToText(std::string_view name, const json::value& value) {
  if (!value.is_string()) ThrowSwitchError(name, "must be a string");
  return std::string(value.get_string());
}

/** @return The number as a JSON integer if it is whole, for readability. */
json::value ToJson(double number) {
  const auto whole = static_cast<std::int64_t>(number);
  if (static_cast<double>(whole) == number) return whole;
  return number;
}

}  // namespace

Faults::Faults(std::span<const FaultDef> table) {
  for (const FaultDef& def : kCommonFaults) {
    switches_[std::string(def.name)] = {def.kind, def.initial, {}};
  }
  for (const FaultDef& def : table) {
    switches_[std::string(def.name)] = {def.kind, def.initial, {}};
  }
}

void Faults::SetJson(std::string_view text) {
  const json::object object = external::ParseObject(text);
  const std::lock_guard lock(mutex_);
  auto changed = switches_;
  for (const auto& [name, value] : object) {
    const auto it = changed.find(std::string(name));
    if (it == changed.end()) {
      ThrowSwitchError(name, "is no switch of this stand-in");
    }
    if (it->second.kind == FaultKind::kText) {
      it->second.text = ToText(name, value);
    } else {
      it->second.number = ToNumber(name, value);
    }
  }
  switches_ = std::move(changed);
}

std::string Faults::AsJson() const {
  const std::lock_guard lock(mutex_);
  json::object object;
  for (const auto& [name, it] : switches_) {
    switch (it.kind) {
      case FaultKind::kFlag:
        object[name] = it.number != 0;
        break;
      case FaultKind::kText:
        object[name] = it.text;
        break;
      case FaultKind::kCount:
      case FaultKind::kNumber:
        object[name] = ToJson(it.number);
        break;
    }
  }
  return json::serialize(object);
}

bool Faults::Flag(std::string_view name) const { return Number(name) != 0; }

double Faults::Number(std::string_view name) const {
  const std::lock_guard lock(mutex_);
  return switches_.find(name)->second.number;
}

std::chrono::milliseconds Faults::Duration(std::string_view name) const {
  return std::chrono::milliseconds(static_cast<std::int64_t>(Number(name)));
}

std::string Faults::Text(std::string_view name) const {
  const std::lock_guard lock(mutex_);
  return switches_.find(name)->second.text;
}

bool Faults::ConsumeOne(std::string_view name) {
  const std::lock_guard lock(mutex_);
  Switch& it = switches_.find(name)->second;
  if (it.number < 1) return false;
  it.number -= 1;
  return true;
}

}  // namespace sapphire::standin
