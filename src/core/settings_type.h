/** @file settings_type.h Table of a program's settings, and their values. */
#ifndef SAPPHIRE_CORE_SETTINGS_TYPE_H_
#define SAPPHIRE_CORE_SETTINGS_TYPE_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphire::core {

enum class SettingType { kString, kInteger, kNumber, kBoolean, kStringList };

using SettingValue = std::variant<std::string, std::int64_t, double, bool,
                                  std::vector<std::string>>;

/** One row of a program's settings table. */
struct SettingDef {
  std::string_view name;
  SettingType type;
  /** Default as written in the TOML file; empty: the setting is required. */
  std::string_view default_toml;
  /** Such as "ms", "bytes" or "1/s"; empty for a value without a unit. */
  std::string_view unit;
  double min = std::numeric_limits<double>::lowest();
  double max = std::numeric_limits<double>::max();
  std::string_view help;
};

/** Validated values of all settings of a table. */
class Settings {
 public:
  explicit Settings(std::map<std::string, SettingValue, std::less<>> values)
      : values_(std::move(values)) {}

  /** @pre The table has a row of this name and type. */
  [[nodiscard]] const std::string& String(std::string_view name) const;
  [[nodiscard]] std::int64_t Integer(std::string_view name) const;
  [[nodiscard]] double Number(std::string_view name) const;
  [[nodiscard]] bool Boolean(std::string_view name) const;
  [[nodiscard]] const std::vector<std::string>& StringList(
      std::string_view name) const;
  friend bool operator==(const Settings&, const Settings&) = default;

  /** @return Names whose values differ. @pre Both have the same table. */
  [[nodiscard]] std::vector<std::string> Changes(const Settings& other) const;

  /** @pre The row's unit is "ms". */
  [[nodiscard]] std::chrono::milliseconds Millis(std::string_view name) const;

 private:
  std::map<std::string, SettingValue, std::less<>> values_;
};

/** Result of parsing the command line. */
struct CommandLine {
  /** Set if the program must exit at once, with this code. */
  std::optional<int> exit_code;
  std::optional<Settings> settings;
  /** Path of the settings file. */
  std::string path;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_TYPE_H_
