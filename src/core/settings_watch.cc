/** @file settings_watch.cc Reloads the settings when their file changes. */
#include <fmt/ranges.h>

#include <csignal>
#include <utility>

#include "core/error_type.h"
#include "core/settings_watch_base.h"
#include "core/task_func.h"

namespace sapphire::core {

namespace {

/** Longest delay until a file that changed without a signal is applied. */
constexpr std::chrono::seconds kReloadInterval{5};

}  // namespace

SettingsWatch::SettingsWatch(boost::asio::io_context& context,
                             Settings settings, Read read, Apply apply,
                             const Logger& log)
    : context_(context),
      signals_(context, SIGHUP),
      settings_(std::move(settings)),
      read_(std::move(read)),
      apply_(std::move(apply)),
      log_(log) {}

void SettingsWatch::Start() {
  AwaitSignal();
  Spawn(context_.get_executor(), log_, "watch_settings",
        [this] { return ReloadPeriodically(); });
}

void SettingsWatch::AwaitSignal() {
  signals_.async_wait([this](const auto& ec, int /*signal*/) {
    if (ec) return;
    Reload("signal");
    AwaitSignal();
  });
}

Task<> SettingsWatch::ReloadPeriodically() {
  while (true) {
    co_await SleepFor(kReloadInterval);
    Reload("interval");
  }
}

void SettingsWatch::Reload(std::string_view cause) {
  try {
    Settings now = read_();
    const std::vector<std::string> changes = now.Changes(settings_);
    if (!changes.empty()) apply_(now);
    if (!changes.empty() || cause == "signal") {
      log_.Event(LogLevel::kInfo, LogCategory::kProcess, "settings_read",
                 {{"cause", cause},
                  {"changed", fmt::format("{}", fmt::join(changes, ","))}});
    }
    settings_ = std::move(now);
  } catch (const Error& e) {
    log_.Event(LogLevel::kError, LogCategory::kProcess, "settings_refused",
               {{"cause", cause}, {"error", e.what()}});
  }
}

}  // namespace sapphire::core
