/** @file ctl_test.cc Tests of the operators' command line with fake entries. */
#define BOOST_TEST_MODULE ctl
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "core/error_type.h"
#include "ctl/command_line_func.h"
#include "ctl/ctl_func.h"
#include "http/server_base.h"

namespace sapphire::ctl {
namespace {

namespace asio = boost::asio;
using core::ErrorCode;

http::Response Refusal(ErrorCode code) {
  return http::MakeResponse(core::InfoOf(code).http_status,
                            "application/problem+json",
                            core::ProblemJson(core::Error(code, "why"), ""));
}

ExitCode CodeFor(const http::Response& response) {
  Command command;
  command.kind = CommandKind::kConfirm;
  return ReportFor(command, response).exit_code;
}

BOOST_AUTO_TEST_CASE(ErrorsHaveTheirExitCodes) {
  const auto check = [](ErrorCode code, ExitCode expected) {
    BOOST_TEST_CONTEXT(core::InfoOf(code).name) {
      BOOST_CHECK(CodeFor(Refusal(code)) == expected);
    }
  };
  check(ErrorCode::kBadIntent, ExitCode::kRefused);
  check(ErrorCode::kIntentOverLimit, ExitCode::kRefused);
  check(ErrorCode::kUnknownPlan, ExitCode::kRefused);
  check(ErrorCode::kPlanConflict, ExitCode::kConflict);
  check(ErrorCode::kPlatformUnavailable, ExitCode::kUnreachable);
  check(ErrorCode::kPlatformUnknownOutcome, ExitCode::kUnknownOutcome);
  check(ErrorCode::kTimedOut, ExitCode::kUnknownOutcome);
  check(ErrorCode::kInternal, ExitCode::kUnknownOutcome);
  BOOST_CHECK(CodeFor(http::MakeResponse(502, "text/html", "<html>")) ==
              ExitCode::kUnknownOutcome);
}

BOOST_AUTO_TEST_CASE(ErrorsSayWhatToDoNext) {
  for (const ErrorCode code :
       {ErrorCode::kBadIntent, ErrorCode::kPlanConflict,
        ErrorCode::kPlatformUnknownOutcome, ErrorCode::kNoEndpoint}) {
    const Report report = ReportFor({}, Refusal(code));
    BOOST_TEST(report.error.find("next: ") != std::string::npos);
    BOOST_TEST(report.error.find("why") != std::string::npos);
  }
}

ParsedLine Parse(std::vector<std::string> words) {
  words.insert(words.begin(), "sapphirectl");
  std::vector<char*> argv;
  argv.reserve(words.size());
  for (std::string& word : words) argv.push_back(word.data());
  return ParseCommandLine(static_cast<int>(argv.size()), argv.data());
}

BOOST_AUTO_TEST_CASE(CommandLinesAreRead) {
  const ParsedLine line = Parse({"--entry", "1.2.3.4:5", "--entry", "1.2.3.4:6",
                                 "--output", "json", "drain", "vm-1"});
  BOOST_REQUIRE(!line.exit_code);
  BOOST_TEST(line.command.entries.size() == 2U);
  BOOST_TEST(line.command.argument == "vm-1");
  BOOST_CHECK(line.command.kind == CommandKind::kDrain);
  BOOST_CHECK(line.command.output == OutputFormat::kJson);
  BOOST_CHECK(Parse({"status"}).exit_code == ExitCode::kUsage);
  BOOST_CHECK(Parse({"--entry", "a", "confirm"}).exit_code == ExitCode::kUsage);
  BOOST_CHECK(Parse({"--entry", "a", "sing"}).exit_code == ExitCode::kUsage);
  BOOST_CHECK(Parse({"--help"}).exit_code == ExitCode::kOk);
}

/** An entry that answers every request with one text, or cuts the answer. */
struct FakeEntry {
  explicit FakeEntry(asio::io_context& io, std::string text, bool cut = false)
      : server(
            io.get_executor(), "127.0.0.1:0", {},
            [this, cut](const http::Request& request,
                        http::ResponseWriter& writer) {
              return Answer(request, writer, cut);
            },
            log),
        body(std::move(text)) {
    server.Start();
  }

  core::Task<> Answer(const http::Request& request,
                      http::ResponseWriter& writer, bool cut) {
    target = request.target;
    if (cut) {
      co_await writer.Begin({});
      throw std::runtime_error("cut");
    }
    co_await writer.Send(http::MakeResponse(200, "application/json", body));
  }

  core::SystemClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  http::Server server;
  std::string body;
  std::string target;
};

Report Run(asio::io_context& io, Command command) {
  auto report =
      asio::co_spawn(io, RunCommand(std::move(command)), asio::use_future);
  while (report.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    io.run_one();
  }
  return report.get();
}

constexpr std::string_view kUnusedAddress = "127.0.0.1:1";
constexpr std::string_view kConfirmed =
    R"({"plan":"p","version":7,"not_yet":[{"vm":"v","zone":"z",)"
    R"("role":"endpoint","linked":false,"leaving":false,"version":null}]})";

// The first entry can't be reached, and the second dies while it answers a
// confirmation. The third answers it, as confirming is safe to repeat.
BOOST_AUTO_TEST_CASE(NextEntryIsTriedAfterAFailure) {
  asio::io_context io;
  FakeEntry dying(io, "", true);
  FakeEntry live(io, std::string(kConfirmed));
  Command command;
  command.kind = CommandKind::kConfirm;
  command.argument = "p";
  command.entries = {std::string(kUnusedAddress), dying.server.address(),
                     live.server.address()};
  const Report report = Run(io, command);
  BOOST_CHECK(report.exit_code == ExitCode::kOk);
  BOOST_TEST(report.output.find("in force as version 7") != std::string::npos);
  BOOST_TEST(report.output.find("not seen yet on 1 VMs") != std::string::npos);
  BOOST_TEST(live.target == "/admin/v1/plans/p/confirm");
}

// If no entry answers, "nothing was changed" is only true if none of them can
// have received a request that changes something.
BOOST_AUTO_TEST_CASE(MissingAnswerIsUnreachableOrUnknownOutcome) {
  asio::io_context io;
  FakeEntry dying(io, "", true);
  Command command;
  command.kind = CommandKind::kConfirm;
  command.argument = "p";
  command.entries = {std::string(kUnusedAddress)};
  BOOST_CHECK(Run(io, command).exit_code == ExitCode::kUnreachable);
  command.entries.push_back(dying.server.address());
  BOOST_CHECK(Run(io, command).exit_code == ExitCode::kUnknownOutcome);
  command.kind = CommandKind::kStatus;
  BOOST_CHECK(Run(io, command).exit_code == ExitCode::kUnreachable);
  command.kind = CommandKind::kPlan;
  command.argument = "/no/such/file.toml";
  BOOST_CHECK(Run(io, command).exit_code == ExitCode::kUsage);
  command.kind = CommandKind::kConfirm;
  command.entries = {"no address"};
  BOOST_CHECK(Run(io, command).exit_code == ExitCode::kUsage);
}

}  // namespace
}  // namespace sapphire::ctl
