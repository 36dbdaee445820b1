/** @file settings_watch_base.h Takes over a changed settings file. */
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
 * Reads the settings again on SIGHUP, and now and then without one, as files
 * may change without a signal. Settings that can't be used are logged and
 * change nothing. Without it SIGHUP would end the process and cut every answer
 * in progress.
 */
class SettingsWatch {
 public:
  /** @throws Error for settings that can't be used. */
  using Read = std::function<Settings()>;
  /** Puts new settings in force, as far as that goes without a restart. */
  using Apply = std::function<void(const Settings&)>;

  /** @pre `context` and `log` outlive it. */
  SettingsWatch(boost::asio::io_context& context, Settings settings, Read read,
                Apply apply, const Logger& log);

  void Start();

 private:
  void AwaitSignal();
  void Look(std::string_view cause);
  Task<> LookNowAndThen();

  boost::asio::io_context& context_;
  boost::asio::signal_set signals_;
  Settings settings_;
  const Read read_;
  const Apply apply_;
  const Logger& log_;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SETTINGS_WATCH_BASE_H_
