/** @file settings_type.h The declarative table of a program's settings. */
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
  /** As it would stand in the TOML file; empty: the setting is required. */
  std::string_view default_toml;
  /** "ms", "bytes", "1/s" and the like; empty for a bare value. */
  std::string_view unit;
  double min = std::numeric_limits<double>::lowest();
  double max = std::numeric_limits<double>::max();
  std::string_view help;
};

/** Checked values of every row of a table. */
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

  /** @return The names whose values differ. @pre Both are of one table. */
  [[nodiscard]] std::vector<std::string> Changes(const Settings& other) const;

  /** @pre The row's unit is "ms". */
  [[nodiscard]] std::chrono::milliseconds Millis(std::string_view name) const;

 private:
  std::map<std::string, SettingValue, std::less<>> values_;
};

/** What the command line asked for. */
struct CommandLine {
  /** Set if the program has to end now, with this exit code. */
  std::optional<int> exit_code;
  std::optional<Settings> settings;
  /** The settings file. */
  std::string path;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_TYPE_H_
