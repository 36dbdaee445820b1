/** @file plan_show.cc Formats plans as text and JSON. */
#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>

#include "contract/plan_func.h"

namespace sapphire::contract {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> kChangeNames = {"added", "removed",
                                                          "changed"};
constexpr std::array<std::string_view, 7> kSubjectNames = {
    "deployment", "weights", "weight_store", "service",
    "model",      "adapter", "owner"};
constexpr std::array<std::string_view, 5> kEffectNames = {
    "unload_replica", "unload_adapter", "reload", "refuse", "accept"};

std::string SubjectText(const Change& change) {
  const std::string_view subject = NameOf(change.subject);
  if (change.name.empty()) return std::string(subject);
  return fmt::format("{} {}", subject, change.name);
}

std::string LineOf(const Change& change) {
  switch (change.kind) {
    case ChangeKind::kAdded:
      return fmt::format("  + {}: {}\n", SubjectText(change), change.after);
    case ChangeKind::kRemoved:
      return fmt::format("  - {}: {}\n", SubjectText(change), change.before);
    case ChangeKind::kChanged:
      return fmt::format("  ~ {}: {}: {} -> {}\n", SubjectText(change),
                         change.field, change.before, change.after);
  }
  return {};
}

std::string TargetOf(const Effect& effect) {
  if (effect.model.empty()) return "service " + effect.service.value();
  if (effect.adapter.empty()) return "model " + effect.model.value();
  return fmt::format("adapter {}:{}", effect.model.value(),
                     effect.adapter.value());
}

std::string LineOf(const Effect& effect) {
  std::string line =
      fmt::format("  {} {}", NameOf(effect.kind), TargetOf(effect));
  if (!effect.endpoint.empty()) {
    line += fmt::format(" at {}", effect.endpoint.value());
  }
  if (effect.running > 0) {
    line += fmt::format(", after the {} requests in progress", effect.running);
  }
  return fmt::format("{} ({})\n", line, effect.reason);
}

json::object ToJsonObject(const Change& change) {
  return {{"kind", NameOf(change.kind)}, {"subject", NameOf(change.subject)},
          {"name", change.name},         {"field", change.field},
          {"before", change.before},     {"after", change.after}};
}

json::object ToJsonObject(const Effect& effect) {
  return {{"kind", NameOf(effect.kind)},
          {"service", effect.service.value()},
          {"model", effect.model.value()},
          {"adapter", effect.adapter.value()},
          {"endpoint", effect.endpoint.value()},
          {"running", effect.running},
          {"reason", effect.reason}};
}

}  // namespace

std::string_view NameOf(ChangeKind kind) {
  return kChangeNames.at(static_cast<std::size_t>(kind));
}

std::string_view NameOf(Subject subject) {
  return kSubjectNames.at(static_cast<std::size_t>(subject));
}

std::string_view NameOf(EffectKind kind) {
  return kEffectNames.at(static_cast<std::size_t>(kind));
}

std::string RenderText(const Plan& plan) {
  std::string text = fmt::format("plan {} against version {}\n",
                                 plan.id.value(), plan.base_version);
  if (plan.changes.empty()) return text + "no changes\n";
  text += "changes:\n";
  for (const Change& change : plan.changes) text += LineOf(change);
  if (plan.effects.empty()) return text;
  text += "effects on the fleet as it is now:\n";
  for (const Effect& effect : plan.effects) text += LineOf(effect);
  return text;
}

std::string ToJson(const Plan& plan) {
  json::object object{{"id", plan.id.value()},
                      {"base_version", plan.base_version}};
  json::array& changes = object["changes"].emplace_array();
  for (const Change& change : plan.changes) {
    changes.push_back(ToJsonObject(change));
  }
  json::array& effects = object["effects"].emplace_array();
  for (const Effect& effect : plan.effects) {
    effects.push_back(ToJsonObject(effect));
  }
  return json::serialize(object);
}

}  // namespace sapphire::contract
