/** @file daemon_func.h What the main functions of the daemons share. */
#ifndef SAPPHIRE_CORE_DAEMON_FUNC_H_
#define SAPPHIRE_CORE_DAEMON_FUNC_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/settings_type.h"

namespace sapphire::core {

/** Exit codes of the daemons. */
constexpr int kExitBadSettings = 2;
/** Left with something still in progress after the drain limit. */
constexpr int kExitUnfinished = 3;

struct DaemonInfo {
  /** Name in the logs. */
  std::string_view name;
  /** One line for --help. */
  std::string_view purpose;
  /** Must have the rows vm, zone and log_level. */
  std::span<const SettingDef> settings;
};

/** Runs the daemon until it ends. @return Its exit code. */
using DaemonBody =
    std::function<int(const Settings&, const Logger&, const Clock&)>;

/** What a daemon that takes over changed settings is given. */
struct DaemonSetup {
  const Settings& settings;
  /** Reads the settings file again. @throws Error kBadSettings */
  std::function<Settings()> read_again;
  Logger& log;
  const Clock& clock;
};

/** As DaemonBody. */
using ReloadingBody = std::function<int(const DaemonSetup&)>;

/**
 * Reads the command line and the settings, makes clock and logger, and runs the
 * body. Bad settings, also those found when ports are opened, are printed.
 * @return The exit code of the program.
 */
int RunDaemon(int argc, char** argv, const DaemonInfo& info,
              const DaemonBody& body);

/** The same for a daemon that takes over changed settings. */
int RunReloadingDaemon(int argc, char** argv, const DaemonInfo& info,
                       const ReloadingBody& body);

/** Runs the context on `threads` threads, this one included, until it stops. */
void RunOnThreads(boost::asio::io_context& context, std::int64_t threads);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_DAEMON_FUNC_H_
