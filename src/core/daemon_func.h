/** @file daemon_func.h Startup code shared by the daemons. */
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
/** Ended while work was still in progress after the drain timeout. */
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

/** Dependencies of a daemon that reloads changed settings. */
struct DaemonSetup {
  const Settings& settings;
  /** Reads the settings file again. @throws Error kBadSettings */
  std::function<Settings()> read_again;
  Logger& log;
  const Clock& clock;
};

/** Like DaemonBody, for a daemon that reloads changed settings. */
using ReloadingBody = std::function<int(const DaemonSetup&)>;

/**
 * Reads the command line and the settings, creates clock and logger, and runs
 * the body. Invalid settings and ports that can't be opened are printed.
 * @return The exit code of the program.
 */
int RunDaemon(int argc, char** argv, const DaemonInfo& info,
              const DaemonBody& body);

/** Like RunDaemon, for a daemon that reloads changed settings. */
int RunReloadingDaemon(int argc, char** argv, const DaemonInfo& info,
                       const ReloadingBody& body);

/** Runs the context on `threads` threads, including this one, until stopped. */
void RunOnThreads(boost::asio::io_context& context, std::int64_t threads);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_DAEMON_FUNC_H_
