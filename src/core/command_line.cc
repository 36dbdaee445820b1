/** @file command_line.cc Command line shared by all daemons. */
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <sstream>

#include "core/error_type.h"
#include "core/settings_func.h"

namespace sapphire::core {

namespace {

constexpr int kExitBadSettings = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw Error(ErrorCode::kBadSettings, path + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

CommandLine ExitWith(int code) { return CommandLine{code, std::nullopt}; }

}  // namespace

Settings ReadSettings(std::span<const SettingDef> table,
                      const std::string& path) {
  return ParseSettings(table, ReadFile(path), path);
}

CommandLine ParseCommandLine(int argc, char** argv, std::string_view purpose,
                             std::span<const SettingDef> table) {
  CLI::App app{std::string(purpose)};
  std::string path;
  bool check = false;
  bool reference = false;
  app.add_option("--config", path, "Settings file (TOML)");
  app.add_flag("--check-config", check, "Check the settings file and end");
  app.add_flag("--settings-reference", reference,
               "Print every setting as Markdown and end");
  app.footer("Settings:\n" + SettingsReference(table));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return ExitWith(app.exit(e));
  }
  if (reference) {
    fmt::print("{}", SettingsReference(table));
    return ExitWith(0);
  }
  try {
    if (path.empty()) {
      throw Error(ErrorCode::kBadSettings, "--config FILE is required");
    }
    Settings settings = ReadSettings(table, path);
    if (check) {
      fmt::print("{}: ok\n", path);
      return ExitWith(0);
    }
    return CommandLine{std::nullopt, std::move(settings), path};
  } catch (const Error& e) {
    fmt::print(stderr, "{}\n", e.what());
    return ExitWith(kExitBadSettings);
  }
}

}  // namespace sapphire::core
