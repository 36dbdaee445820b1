/** @file sapphire_entry_main.cc Main program of an entry VM. */
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "core/address_func.h"
#include "core/daemon_func.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "entry/entry_base.h"
#include "entry/entry_settings_base.h"
#include "external/counting_store_base.h"
#include "external/external_func.h"
#include "policy/placement_func.h"

namespace sapphire::entry {

namespace {

link::LinkOptions LinkOptionsFrom(const core::Settings& settings) {
  link::LinkOptions options;
  options.self.vm = settings.String("vm");
  options.self.zone = settings.String("zone");
  options.self.role = gen::Role::ENTRY;
  options.self.incarnation = core::RandomPositive();
  options.heartbeat_interval = settings.Millis("heartbeat_ms");
  options.dead_after = settings.Millis("dead_after_ms");
  return options;
}

/** @return What requests may occupy as the server holds them: a tenth of the
 * VM's memory, as each body is copied for the caller's request, its run, the
 * frame of the run and the link. */
std::size_t RequestBytesOf(std::int64_t memory_mb) {
  constexpr std::size_t kTenthOfMegabyte = 100'000;
  return static_cast<std::size_t>(memory_mb) * kTenthOfMegabyte;
}

SchedulerOptions SchedulerOptionsFrom(const core::Settings& settings,
                                      Metrics& metrics) {
  SchedulerOptions options;
  options.self = core::VmId(settings.String("vm"));
  options.zone = core::ZoneId(settings.String("zone"));
  options.max_queue = static_cast<int>(settings.Integer("max_queue"));
  options.removal_grace = settings.Millis("gone_grace_ms");
  options.on_cold_start = [&metrics](policy::Tier tier,
                                     std::chrono::milliseconds waited) {
    metrics.RecordColdStart(policy::TierName(tier), waited);
  };
  return options;
}

EntryOptions OptionsFrom(const core::Settings& settings, Metrics& metrics) {
  EntryOptions options;
  options.vm = core::VmId(settings.String("vm"));
  options.zone = core::ZoneId(settings.String("zone"));
  options.listen_address = settings.String("listen");
  options.link_listen_address = settings.String("link_listen");
  options.links = LinkOptionsFrom(settings);
  options.http.max_body_bytes =
      static_cast<std::size_t>(settings.Integer("max_body_bytes"));
  options.http.max_header_bytes =
      static_cast<std::size_t>(settings.Integer("max_header_bytes"));
  options.http.max_connections =
      static_cast<std::size_t>(settings.Integer("max_connections"));
  options.request_bytes = RequestBytesOf(settings.Integer("memory_mb"));
  options.callers = {settings.Millis("default_timeout_ms"),
                     settings.Millis("max_timeout_ms")};
  options.scheduler = SchedulerOptionsFrom(settings, metrics);
  options.claims.acquire_timeout = settings.Millis("claim_patience_ms");
  options.finished_retention = settings.Millis("keep_ended_ms");
  options.vm_list_interval = settings.Millis("vm_list_interval_ms");
  options.lame_duck = settings.Millis("lame_duck_ms");
  options.drain_timeout = settings.Millis("drain_ms");
  return options;
}

/** Runs an entry and shuts it down gracefully on the first signal. */
class Process {
 public:
  Process(const core::Settings& settings, const core::Logger& log,
          const core::Clock& clock)
      : settings_(settings),
        log_(log),
        store_(external::MakeHttpKeyValueStore(
            settings.String("kv"), settings.Millis("kv_timeout_ms"))),
        vm_list_(external::MakeHttpVmList(
            settings.String("vm_list"), settings.Millis("vm_list_timeout_ms"))),
        counting_store_(
            *store_,
            [this](const external::StoreCall& call) {
              metrics_.RecordKeyValueCall(call.kind, call.outcome);
            },
            clock),
        entry_(context_.get_executor(), OptionsFrom(settings, metrics_),
               counting_store_, *vm_list_, clock, log, metrics_),
        signals_(context_, SIGTERM, SIGINT) {}

  int Run() {
    entry_.Start();
    WritePorts();
    log_.Event(
        core::LogLevel::kInfo, core::LogCategory::kProcess, "started",
        {{"http", entry_.http_address()}, {"link", entry_.link_address()}});
    signals_.async_wait([this](const auto& ec, int /*signal*/) {
      if (ec) return;
      core::Spawn(context_.get_executor(), log_, "leave",
                  [this] { return Leave(); });
    });
    core::RunOnThreads(context_, settings_.Integer("threads"));
    return exit_code_;
  }

 private:
  void WritePorts() {
    const std::string& path = settings_.String("port_file");
    if (path.empty()) return;
    core::WriteFileAtomically(
        path, fmt::format("http={}\nlink={}\n", entry_.http_address(),
                          entry_.link_address()));
  }

  core::Task<> Leave() {
    const bool whole = co_await entry_.Leave();
    exit_code_ = whole ? 0 : core::kExitUnfinished;
    entry_.Close();
    context_.stop();
  }

  const core::Settings& settings_;
  const core::Logger& log_;
  boost::asio::io_context context_;
  Metrics metrics_;
  std::unique_ptr<external::KeyValueStore> store_;
  std::unique_ptr<external::VmList> vm_list_;
  external::CountingStore counting_store_;
  Entry entry_;
  boost::asio::signal_set signals_;
  std::atomic<int> exit_code_ = 0;
};

}  // namespace

}  // namespace sapphire::entry

int main(int argc, char** argv) {
  namespace core = sapphire::core;
  const core::DaemonInfo info{"entry", "The program of an entry VM",
                              sapphire::entry::SettingsTable()};
  return core::RunDaemon(
      argc, argv, info,
      [](const core::Settings& settings, const core::Logger& log,
         const core::Clock& clock) {
        return sapphire::entry::Process(settings, log, clock).Run();
      });
}
