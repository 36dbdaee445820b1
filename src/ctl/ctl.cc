/** @file ctl.cc Runs one command against the entries. */
#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "core/error_type.h"
#include "ctl/ctl_func.h"
#include "http/client_base.h"

namespace sapphire::ctl {

namespace json = boost::json;
using core::ErrorCode;

namespace {

constexpr std::string_view kBase = "/admin/v1/";
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

struct Advice {
  ErrorCode code;
  std::string_view text;
};

constexpr std::array kAdvice = {
    Advice{ErrorCode::kBadIntent, "correct the named field and plan again"},
    Advice{ErrorCode::kIntentOverLimit,
           "reduce the named field and plan again; the limits are in "
           "docs/OPERATORS.md"},
    Advice{ErrorCode::kUnknownPlan, "make the plan again: plan FILE"},
    Advice{ErrorCode::kPlanConflict,
           "nothing was changed; make the plan again (plan FILE), read its "
           "changes anew and confirm the new id"},
    Advice{ErrorCode::kPlatformUnavailable,
           "nothing was changed; the key-value service can't be reached, run "
           "the command again once it is back"},
    Advice{ErrorCode::kPlatformUnknownOutcome,
           "run the same command again: it tells the outcome and never acts "
           "twice"},
    Advice{ErrorCode::kNoEndpoint, "see the VMs there are: endpoints"},
    Advice{ErrorCode::kLinkLost,
           "the VM can't be reached from this entry; run the command again or "
           "try another --entry"},
    Advice{ErrorCode::kTimedOut, "run the command again"},
    Advice{ErrorCode::kNotConfigured,
           "nothing is in force yet; make a first plan: plan FILE"},
    Advice{ErrorCode::kUnknownPath,
           "the entry doesn't know this command; compare the versions of "
           "sapphirectl and sapphire-entry"},
    Advice{ErrorCode::kBodyTooLarge,
           "the entry's limit on bodies is too low for this intent"},
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

http::Request PlanRequest(const std::string& path) {
  http::Request request;
  request.method = "POST";
  request.body = ReadFile(path);
  const bool is_json = path.ends_with(".json");
  request.headers.push_back(
      {"Content-Type", is_json ? "application/json" : "application/toml"});
  const std::string name = std::filesystem::path(path).filename().string();
  request.target = fmt::format("{}plans?file={}", kBase, http::UrlEncode(name));
  return request;
}

http::Request MakeRequest(std::string method, std::string_view path) {
  http::Request request;
  request.method = std::move(method);
  request.target = fmt::format("{}{}", kBase, path);
  return request;
}

ExitCode ExitCodeFor(ErrorCode code, int status, bool not_run) {
  if (code == ErrorCode::kPlanConflict) return ExitCode::kConflict;
  if (!not_run) return ExitCode::kUnknownOutcome;
  if (status >= kFirstServerErrorStatus) return ExitCode::kUnreachable;
  return ExitCode::kRefused;
}

/** The fields of a problem+json response that are used here. */
struct Problem {
  std::string name;
  std::string detail;
  bool not_run = false;
};

std::string TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::optional<Problem> ProblemFrom(std::string_view body) {
  boost::system::error_code ec;
  const json::value value = json::parse(body, ec);
  if (ec || !value.is_object()) return std::nullopt;
  const json::object& object = value.get_object();
  std::string type = TextAt(object, "type");
  const std::string name = type.substr(type.rfind(':') + 1);
  return Problem{name, TextAt(object, "detail"),
                 TextAt(object, "outcome") == "not_run"};
}

Report ErrorReport(const Command& command, const http::Response& response) {
  Report report;
  const std::optional<Problem> problem = ProblemFrom(response.body);
  if (!problem || problem->name.empty()) {
    report.exit_code = ExitCode::kUnknownOutcome;
    report.error = fmt::format(
        "error: status {} without a problem+json body; is --entry an entry's "
        "address?\n",
        response.head.status);
    return report;
  }
  report.exit_code = ExitCodeFor(core::CodeNamed(problem->name),
                                 response.head.status, problem->not_run);
  if (command.output == OutputFormat::kJson) {
    report.output = response.body + "\n";
  }
  report.error = fmt::format("error: {}: {}\n", problem->name, problem->detail);
  const std::string_view advice = AdviceFor(problem->name);
  if (!advice.empty()) report.error += fmt::format("next: {}\n", advice);
  return report;
}

Report UsageReport(const std::exception& error) {
  return {ExitCode::kUsage, "", fmt::format("error: {}\n", error.what())};
}

/** Collects the reasons why no entry answered. */
class FailureList {
 public:
  void Add(const std::string& entry, const http::TransportError& error) {
    text_ += fmt::format("error: entry {}: {}\n", entry, error.what());
    if (error.may_have_run()) may_have_run_ = true;
  }

  /** Only commands that change something can have an unknown outcome; others
   * can simply be repeated. */
  [[nodiscard]] Report ToReport(CommandKind kind) const {
    const bool changes =
        kind == CommandKind::kConfirm || kind == CommandKind::kDrain;
    Report report;
    report.error = text_;
    if (changes && may_have_run_) {
      report.exit_code = ExitCode::kUnknownOutcome;
      report.error +=
          "next: it may have taken effect; run the same command "
          "again: it tells the outcome and never acts twice\n";
    } else {
      report.exit_code = ExitCode::kUnreachable;
      report.error +=
          "next: nothing was changed; give another --entry or "
          "check that the entries run\n";
    }
    return report;
  }

 private:
  std::string text_;
  bool may_have_run_ = false;
};

}  // namespace

std::string_view AdviceFor(std::string_view error_name) {
  const ErrorCode code = core::CodeNamed(error_name);
  for (const Advice& advice : kAdvice) {
    if (advice.code == code) return advice.text;
  }
  return {};
}

http::Request RequestFor(const Command& command) {
  switch (command.kind) {
    case CommandKind::kPlan:
      return PlanRequest(command.argument);
    case CommandKind::kShow:
      return MakeRequest("GET", "plans/" + http::UrlEncode(command.argument));
    case CommandKind::kConfirm:
      return MakeRequest(
          "POST",
          fmt::format("plans/{}/confirm", http::UrlEncode(command.argument)));
    case CommandKind::kConfig:
      return MakeRequest("GET", command.output == OutputFormat::kText
                                    ? "config?format=toml"
                                    : "config");
    case CommandKind::kStatus:
      return MakeRequest("GET", "status");
    case CommandKind::kEndpoints:
      return MakeRequest("GET", "endpoints");
    case CommandKind::kModels:
      return MakeRequest("GET", "models");
    case CommandKind::kDrain:
      return MakeRequest(
          "POST",
          fmt::format("endpoints/{}/drain", http::UrlEncode(command.argument)));
  }
  throw std::runtime_error("unknown command");
}

Report ReportFor(const Command& command, const http::Response& response) {
  if (response.head.status >= kFirstErrorStatus) {
    return ErrorReport(command, response);
  }
  Report report;
  if (command.output == OutputFormat::kJson) {
    report.output = response.body + "\n";
    return report;
  }
  try {
    report.output = RenderText(command.kind, response.body);
  } catch (const std::exception& e) {
    report.exit_code = ExitCode::kUnknownOutcome;
    report.error = fmt::format(
        "error: the answer can't be shown ({}); try --output json\n", e.what());
  }
  return report;
}

// After a lost connection the command is sent to the next entry. This is safe
// because all commands are idempotent: reading and planning change nothing, a
// confirmation is identified by the plan's id, and draining twice has the same
// effect as draining once.
core::Task<Report> RunCommand(Command command) {
  http::Request request;
  try {
    request = RequestFor(command);
  } catch (const std::exception& e) {
    co_return UsageReport(e);
  }
  FailureList failures;
  for (const std::string& entry : command.entries) {
    try {
      http::Client client(entry);
      const http::Response response =
          co_await client.Fetch(request, command.timeout);
      co_return ReportFor(command, response);
    } catch (const http::TransportError& e) {
      failures.Add(entry, e);
    } catch (const core::Error& e) {
      // The address is invalid; nothing was sent.
      co_return UsageReport(e);
    }
  }
  co_return failures.ToReport(command.kind);
}

}  // namespace sapphire::ctl
