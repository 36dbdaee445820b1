/** @file daemon.cc Startup code shared by the daemons. */
#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "core/daemon_func.h"
#include "core/error_type.h"
#include "core/settings_func.h"

namespace sapphire::core {

int RunReloadingDaemon(int argc, char** argv, const DaemonInfo& info,
                       const ReloadingBody& body) {
  const CommandLine line =
      ParseCommandLine(argc, argv, info.purpose, info.settings);
  if (line.exit_code) return *line.exit_code;
  const Settings& settings = *line.settings;
  const auto read_again = [&info, &line] {
    return ReadSettings(info.settings, line.path);
  };
  try {
    const SystemClock clock;
    Logger log({std::string(info.name), VmId(settings.String("vm")),
                ZoneId(settings.String("zone"))},
               LogLevelNamed(settings.String("log_level")), clock);
    return body({settings, read_again, log, clock});
  } catch (const Error& e) {
    fmt::print(stderr, "{}\n", e.what());
    return kExitBadSettings;
  }
}

int RunDaemon(int argc, char** argv, const DaemonInfo& info,
              const DaemonBody& body) {
  return RunReloadingDaemon(argc, argv, info, [&body](const DaemonSetup& it) {
    return body(it.settings, it.log, it.clock);
  });
}

void RunOnThreads(boost::asio::io_context& context, std::int64_t threads) {
  std::vector<std::jthread> others;
  for (std::int64_t i = 1; i < threads; ++i) {
    others.emplace_back([&context] { context.run(); });
  }
  context.run();
}

}  // namespace sapphire::core
