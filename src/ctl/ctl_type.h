/** @file ctl_type.h Types of the operators' command line. */
#ifndef SAPPHIRE_CTL_CTL_TYPE_H_
#define SAPPHIRE_CTL_CTL_TYPE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sapphire::ctl {

/** Exit codes, as documented in docs/OPERATORS.md. */
enum class ExitCode {
  kOk = 0,
  kUsage = 2,           ///< The command line or a local file can't be used.
  kRefused = 3,         ///< Invalid intent, unknown plan; nothing was changed.
  kConflict = 4,        ///< Another plan came first; nothing was changed.
  kUnreachable = 5,     ///< No entry, or the platform behind it, answered.
  kUnknownOutcome = 6,  ///< May have taken effect: run the command again.
};

enum class CommandKind {
  kPlan,
  kShow,
  kConfirm,
  kConfig,
  kStatus,
  kEndpoints,
  kModels,
  kDrain,
};

enum class OutputFormat { kText, kJson };

/** A parsed command. */
struct Command {
  CommandKind kind = CommandKind::kStatus;
  /** File, plan id or VM, where the command takes one. */
  std::string argument;
  /** Entries to try in turn, each "ip:port". */
  std::vector<std::string> entries;
  OutputFormat output = OutputFormat::kText;
  std::chrono::milliseconds timeout{20'000};
};

/** Result of parsing: a command, or the code to exit with at once. */
struct ParsedLine {
  std::optional<ExitCode> exit_code;
  Command command;
};

/** What to print, and the exit code. */
struct Report {
  ExitCode exit_code = ExitCode::kOk;
  /** For standard output; may be empty. */
  std::string output;
  /** For standard error; may be empty. */
  std::string error;
};

}  // namespace sapphire::ctl

#endif  // SAPPHIRE_CTL_CTL_TYPE_H_
