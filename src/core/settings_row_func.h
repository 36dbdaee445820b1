/** @file settings_row_func.h Builds rows of a settings table. */
#ifndef SAPPHIRE_CORE_SETTINGS_ROW_FUNC_H_
#define SAPPHIRE_CORE_SETTINGS_ROW_FUNC_H_

#include <string_view>

#include "core/settings_type.h"

namespace sapphire::core {

/** Maximum value of a time setting: one hour. */
constexpr double kMaxSettingMillis = 3'600'000;

/** @return A row for a string. @param value TOML default; empty: required. */
constexpr SettingDef TextRow(std::string_view name, std::string_view value,
                             std::string_view help) {
  return {name, SettingType::kString, value, "", 0, 0, help};
}

/** @return A row for a time from `min` ms to one hour. */
constexpr SettingDef TimeRow(std::string_view name, std::string_view value,
                             double min, std::string_view help) {
  return {name, SettingType::kInteger, value, "ms",
          min,  kMaxSettingMillis,     help};
}

/** @return A row for an integer. */
constexpr SettingDef CountRow(std::string_view name, std::string_view value,
                              std::string_view unit, double min, double max,
                              std::string_view help) {
  return {name, SettingType::kInteger, value, unit, min, max, help};
}

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_ROW_FUNC_H_
