/** @file settings_func.h Reads and documents settings by their table. */
#ifndef SAPPHIRE_CORE_SETTINGS_FUNC_H_
#define SAPPHIRE_CORE_SETTINGS_FUNC_H_

#include <span>
#include <string>
#include <string_view>

#include "core/settings_type.h"

namespace sapphire::core {

/**
 * Reads a TOML text by a table.
 * @param table Every setting the program knows.
 * @param toml The text.
 * @param file_name For messages.
 * @return A value for every row.
 * @throws Error kBadSettings naming file, line and key: for text that is no
 *   TOML, an unknown key, a missing required key, a wrong type, a value out of
 *   range.
 */
Settings ParseSettings(std::span<const SettingDef> table, std::string_view toml,
                       std::string_view file_name);

/** Reads a settings file by a table. @throws Error kBadSettings */
Settings ReadSettings(std::span<const SettingDef> table,
                      const std::string& path);

/** @return The table as a Markdown reference. */
std::string SettingsReference(std::span<const SettingDef> table);

/**
 * The whole command line of a daemon: `--config FILE`, `--check-config`,
 * `--settings-reference`, `--help`. Bad settings are printed to standard error
 * and give exit code 2, before anything else happens.
 */
CommandLine ParseCommandLine(int argc, char** argv, std::string_view purpose,
                             std::span<const SettingDef> table);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_FUNC_H_
