/** @file sapphirectl_main.cc The operators' command line. */
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <exception>

#include "ctl/command_line_func.h"
#include "ctl/ctl_func.h"

namespace {

namespace ctl = sapphire::ctl;

ctl::Report RunBlocking(ctl::Command command) {
  boost::asio::io_context context;
  ctl::Report report{ctl::ExitCode::kUnknownOutcome, "",
                     "error: the command did not complete\n"};
  boost::asio::co_spawn(
      context, ctl::RunCommand(std::move(command)),
      [&](const std::exception_ptr& failure, ctl::Report result) {
        if (failure) std::rethrow_exception(failure);
        report = std::move(result);
      });
  context.run();
  return report;
}

}  // namespace

int main(int argc, char** argv) {
  ctl::ParsedLine line = ctl::ParseCommandLine(argc, argv);
  if (line.exit_code) return static_cast<int>(*line.exit_code);
  ctl::Report report;
  try {
    report = RunBlocking(std::move(line.command));
  } catch (const std::exception& e) {
    report = {ctl::ExitCode::kUnknownOutcome, "",
              fmt::format("error: {}\n", e.what())};
  }
  fmt::print(stdout, "{}", report.output);
  fmt::print(stderr, "{}", report.error);
  return static_cast<int>(report.exit_code);
}
