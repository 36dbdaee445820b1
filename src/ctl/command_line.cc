/** @file command_line.cc Reads the command line. */
#include <CLI/CLI.hpp>
#include <array>

#include "ctl/command_line_func.h"

namespace sapphire::ctl {

namespace {

struct CommandDef {
  const char* name;
  CommandKind kind;
  /** Name of the argument; null if the command takes none. */
  const char* argument;
  const char* help;
};

constexpr std::array kCommands = {
    CommandDef{"plan", CommandKind::kPlan, "FILE",
               "Show what an intent (TOML, or JSON by its name's end) would "
               "change; nothing changes"},
    CommandDef{"show", CommandKind::kShow, "ID", "Show a plan again"},
    CommandDef{"confirm", CommandKind::kConfirm, "ID",
               "Put a plan in force; safe to repeat"},
    CommandDef{"config", CommandKind::kConfig, nullptr,
               "Print the intent in force, as TOML or JSON"},
    CommandDef{"status", CommandKind::kStatus, nullptr,
               "Show the configuration version on each VM"},
    CommandDef{"endpoints", CommandKind::kEndpoints, nullptr,
               "Show the endpoints and what they hold"},
    CommandDef{"models", CommandKind::kModels, nullptr,
               "Show the models and their replicas"},
    CommandDef{"drain", CommandKind::kDrain, "VM",
               "Let an endpoint finish its work and take no more"},
};

constexpr const char* kFooter =
    "Exit codes: 0 ok, 2 usage, 3 refused or invalid, 4 conflict, "
    "5 unreachable, 6 unknown outcome (run the command again).";

constexpr int kMaxTimeoutMs = 600'000;

/** Adds a subcommand that sets the kind of `command` when it is parsed. */
void AddCommand(CLI::App& app, const CommandDef& def, Command& command) {
  CLI::App* sub = app.add_subcommand(def.name, def.help);
  if (def.argument != nullptr) {
    sub->add_option(def.argument, command.argument)->required();
  }
  sub->callback([&command, kind = def.kind] { command.kind = kind; });
}

}  // namespace

ParsedLine ParseCommandLine(int argc, char** argv) {
  CLI::App app{"Operates a sapphireyoke deployment"};
  app.footer(kFooter);
  ParsedLine line;
  std::string output = "text";
  int timeout_ms = static_cast<int>(line.command.timeout.count());
  app.add_option("--entry", line.command.entries,
                 "Entry \"ip:port\"; repeat for more, tried in turn")
      ->envname("SAPPHIRE_ENTRY")
      ->delimiter(',')
      ->required();
  app.add_option("--output", output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--timeout-ms", timeout_ms, "Longest wait for one entry")
      ->check(CLI::Range(1, kMaxTimeoutMs));
  app.require_subcommand(1);
  app.fallthrough();
  for (const CommandDef& def : kCommands) AddCommand(app, def, line.command);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    line.exit_code = app.exit(e) == 0 ? ExitCode::kOk : ExitCode::kUsage;
    return line;
  }
  line.command.output =
      output == "json" ? OutputFormat::kJson : OutputFormat::kText;
  line.command.timeout = std::chrono::milliseconds(timeout_ms);
  return line;
}

}  // namespace sapphire::ctl
