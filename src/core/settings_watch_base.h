/** @file settings_watch_base.h Reloads the settings when their file changes. */
#ifndef SAPPHIRE_CORE_SETTINGS_WATCH_BASE_H_
#define SAPPHIRE_CORE_SETTINGS_WATCH_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <functional>

#include "core/log_base.h"
#include "core/settings_type.h"
#include "core/task_type.h"

namespace sapphire::core {

/**
 * Reloads the settings on SIGHUP, and periodically because the file may change
 * without a signal. Invalid settings are logged and change nothing.
 * Without a handler, SIGHUP would end the process and cut every answer in
 * progress.
 */
class SettingsWatch {
 public:
  /** Reads the settings. @throws Error if they are invalid. */
  using Read = std::function<Settings()>;
  /** Applies new settings, as far as possible without a restart. */
  using Apply = std::function<void(const Settings&)>;

  /** @pre `context` and `log` outlive it. */
  SettingsWatch(boost::asio::io_context& context, Settings settings, Read read,
                Apply apply, const Logger& log);

  void Start();

 private:
  void AwaitSignal();
  void Reload(std::string_view cause);
  Task<> ReloadPeriodically();

  boost::asio::io_context& context_;
  boost::asio::signal_set signals_;
  Settings settings_;
  const Read read_;
  const Apply apply_;
  const Logger& log_;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_WATCH_BASE_H_
