/** @file settings_func.h Reads and documents the settings of a table. */
#ifndef SAPPHIRE_CORE_SETTINGS_FUNC_H_
#define SAPPHIRE_CORE_SETTINGS_FUNC_H_

#include <span>
#include <string>
#include <string_view>

#include "core/settings_type.h"

namespace sapphire::core {

/**
 * Parses a TOML text according to a settings table.
 * @param table Every setting the program knows.
 * @param toml The text.
 * @param file_name Used in error messages.
 * @return A value for every row.
 * @throws Error kBadSettings naming file, line and key: for invalid TOML, an
 *   unknown key, a missing required key, a wrong type, or a value out of
 *   range.
 */
Settings ParseSettings(std::span<const SettingDef> table, std::string_view toml,
                       std::string_view file_name);

/** Like ParseSettings, for a file. @throws Error kBadSettings */
Settings ReadSettings(std::span<const SettingDef> table,
                      const std::string& path);

/** @return The table as a Markdown reference. */
std::string SettingsReference(std::span<const SettingDef> table);

/**
 * Parses the command line of a daemon: `--config FILE`, `--check-config`,
 * `--settings-reference`, `--help`. Invalid settings are reported on standard
 * error with exit code 2 before anything else happens.
 */
CommandLine ParseCommandLine(int argc, char** argv, std::string_view purpose,
                             std::span<const SettingDef> table);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_FUNC_H_
