/** @file settings.cc Reads and documents the settings of a table. */
#include <fmt/format.h>
#include <toml++/toml.h>

#include "core/error_type.h"
#include "core/settings_func.h"

namespace sapphire::core {

namespace {

/** Throws an error that names the file, line and key. */
[[noreturn]] void Fail(std::string_view file, const toml::source_region& at,
                       std::string_view key, std::string_view what) {
  throw Error(ErrorCode::kBadSettings,
              fmt::format("{}:{}: {}: {}", file, at.begin.line, key, what));
}

toml::table ParseToml(std::string_view text, std::string_view file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    Fail(file, e.source(), "syntax", e.description());
  }
}

std::string_view TypeName(SettingType type) {
  switch (type) {
    case SettingType::kString:
      return "string";
    case SettingType::kInteger:
      return "integer";
    case SettingType::kNumber:
      return "number";
    case SettingType::kBoolean:
      return "boolean";
    case SettingType::kStringList:
      return "list of strings";
  }
  return "";
}

std::optional<SettingValue> ListFrom(const toml::node& node) {
  const toml::array* array = node.as_array();
  if (array == nullptr) return std::nullopt;
  std::vector<std::string> list;
  for (const toml::node& item : *array) {
    const auto text = item.value_exact<std::string>();
    if (!text) return std::nullopt;
    list.push_back(*text);
  }
  return list;
}

/** @return The node's value as `type`, or nothing if it is of another type. */
std::optional<SettingValue> ValueFrom(const toml::node& node,
                                      SettingType type) {
  const auto wrap = [](const auto& value) -> std::optional<SettingValue> {
    if (!value) return std::nullopt;
    return SettingValue(*value);
  };
  switch (type) {
    case SettingType::kString:
      return wrap(node.value_exact<std::string>());
    case SettingType::kInteger:
      return wrap(node.value_exact<std::int64_t>());
    case SettingType::kNumber:
      return node.is_number() ? wrap(node.value<double>()) : std::nullopt;
    case SettingType::kBoolean:
      return wrap(node.value_exact<bool>());
    case SettingType::kStringList:
      return ListFrom(node);
  }
  return std::nullopt;
}

bool InRange(const SettingDef& def, const SettingValue& value) {
  if (const auto* n = std::get_if<std::int64_t>(&value)) {
    const auto number = static_cast<double>(*n);
    return number >= def.min && number <= def.max;
  }
  if (const auto* number = std::get_if<double>(&value)) {
    return *number >= def.min && *number <= def.max;
  }
  return true;
}

SettingValue CheckedValue(const SettingDef& def, const toml::node& node,
                          std::string_view file) {
  const auto value = ValueFrom(node, def.type);
  if (!value) {
    Fail(file, node.source(), def.name,
         fmt::format("must be of type {}", TypeName(def.type)));
  }
  if (!InRange(def, *value)) {
    Fail(file, node.source(), def.name,
         fmt::format("must be from {} to {}", def.min, def.max));
  }
  return *value;
}

const SettingDef* Find(std::span<const SettingDef> table,
                       std::string_view name) {
  for (const SettingDef& def : table) {
    if (def.name == name) return &def;
  }
  return nullptr;
}

SettingValue DefaultOf(const SettingDef& def, std::string_view file) {
  if (def.default_toml.empty()) {
    throw Error(ErrorCode::kBadSettings,
                fmt::format("{}:1: {}: is required", file, def.name));
  }
  const toml::table parsed =
      toml::parse(fmt::format("value = {}", def.default_toml));
  return CheckedValue(def, *parsed.get("value"), "default");
}

std::string RangeText(const SettingDef& def) {
  if (def.type != SettingType::kInteger && def.type != SettingType::kNumber) {
    return "";
  }
  return fmt::format("{} to {}", def.min, def.max);
}

}  // namespace

std::vector<std::string> Settings::Changes(const Settings& other) const {
  std::vector<std::string> names;
  for (const auto& [name, value] : values_) {
    const auto it = other.values_.find(name);
    if (it == other.values_.end() || it->second != value) names.push_back(name);
  }
  return names;
}

Settings ParseSettings(std::span<const SettingDef> table, std::string_view text,
                       std::string_view file) {
  const toml::table parsed = ParseToml(text, file);
  std::map<std::string, SettingValue, std::less<>> values;
  for (const auto& [key, node] : parsed) {
    const SettingDef* def = Find(table, key.str());
    if (def == nullptr) {
      Fail(file, key.source(), key.str(), "is not a setting of this program");
    }
    values.emplace(def->name, CheckedValue(*def, node, file));
  }
  for (const SettingDef& def : table) {
    if (values.find(def.name) != values.end()) continue;
    values.emplace(def.name, DefaultOf(def, file));
  }
  return Settings(std::move(values));
}

std::string SettingsReference(std::span<const SettingDef> table) {
  std::string text =
      "| setting | type | default | unit | range | meaning |\n"
      "|---|---|---|---|---|---|\n";
  for (const SettingDef& def : table) {
    text += fmt::format(
        "| `{}` | {} | {} | {} | {} | {} |\n", def.name, TypeName(def.type),
        def.default_toml.empty() ? "required"
                                 : fmt::format("`{}`", def.default_toml),
        def.unit, RangeText(def), def.help);
  }
  return text;
}

namespace {

template <typename T>
const T& Get(const std::map<std::string, SettingValue, std::less<>>& values,
             std::string_view name) {
  const auto it = values.find(name);
  if (it == values.end() || !std::holds_alternative<T>(it->second)) {
    throw Error(
        ErrorCode::kInternal,
        fmt::format("the settings table has no setting {} of this type", name));
  }
  return std::get<T>(it->second);
}

}  // namespace

const std::string& Settings::String(std::string_view name) const {
  return Get<std::string>(values_, name);
}
std::int64_t Settings::Integer(std::string_view name) const {
  return Get<std::int64_t>(values_, name);
}
double Settings::Number(std::string_view name) const {
  return Get<double>(values_, name);
}
bool Settings::Boolean(std::string_view name) const {
  return Get<bool>(values_, name);
}
const std::vector<std::string>& Settings::StringList(
    std::string_view name) const {
  return Get<std::vector<std::string>>(values_, name);
}
std::chrono::milliseconds Settings::Millis(std::string_view name) const {
  return std::chrono::milliseconds(Integer(name));
}

}  // namespace sapphire::core
