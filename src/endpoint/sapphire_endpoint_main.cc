/** @file sapphire_endpoint_main.cc The agent program of one endpoint. */
#include <fmt/format.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>

#include "core/address_func.h"
#include "core/clock_base.h"
#include "core/daemon_func.h"
#include "core/log_base.h"
#include "core/task_func.h"
#include "endpoint/endpoint_base.h"
#include "endpoint/endpoint_settings_base.h"
#include "endpoint/metrics_base.h"
#include "external/counting_store_base.h"
#include "external/external_func.h"
#include "http/server_base.h"

namespace sapphire::endpoint {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

core::Task<> AnswerHttp(const http::Request& request,
                        http::ResponseWriter& writer, const Endpoint& endpoint,
                        Metrics& metrics) {
  const auto path = http::PathOf(request.target);
  if (path == "/metrics") {
    co_await writer.Send(
        http::MetricsResponse(metrics.Text(endpoint.CurrentLevels())));
  } else if (path == "/healthz") {
    co_await writer.Send(http::MakeResponse(kOk, "text/plain", "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = endpoint.Ready();
    co_await writer.Send(http::MakeResponse(ready ? kOk : kUnavailable,
                                            "text/plain",
                                            ready ? "ready\n" : "not ready\n"));
  } else {
    co_await writer.Send(http::MakeResponse(kNotFound, "text/plain", ""));
  }
}

/** The running process; it drains and exits on a signal or a Drain call. */
class Process {
 public:
  Process(const core::Settings& settings, const core::Logger& log,
          const core::Clock& clock)
      : settings_(settings),
        log_(log),
        engine_(external::MakeHttpEngine(settings.String("engine"),
                                         settings.Millis("engine_timeout_ms"))),
        store_(external::MakeHttpKeyValueStore(
            settings.String("kv"), settings.Millis("kv_timeout_ms"))),
        counting_store_(
            *store_,
            [this](const external::StoreCall& call) {
              metrics_.KeyValueCall(call.kind, call.outcome);
            },
            clock),
        endpoint_(context_.get_executor(), OptionsFrom(settings), *engine_,
                  counting_store_, clock, log, metrics_),
        signals_(context_, SIGTERM, SIGINT),
        http_(
            context_.get_executor(), settings.String("metrics_listen"),
            http::MonitoringLimits(),
            [this](const http::Request& request, http::ResponseWriter& writer) {
              return AnswerHttp(request, writer, endpoint_, metrics_);
            },
            log) {}

  int Run() {
    const std::string address = endpoint_.Start();
    http_.Start();
    WritePorts(address);
    log_.Event(core::LogLevel::kInfo, core::LogCategory::kProcess, "started",
               {{"link", address}, {"http", http_.address()}});
    signals_.async_wait([this](const auto& ec, int /*signal*/) {
      if (!ec) StartLeaving();
    });
    core::Spawn(context_.get_executor(), log_, "wait_for_drain",
                [this] { return LeaveOnDrain(); });
    core::RunOnThreads(context_, settings_.Integer("threads"));
    return exit_code_;
  }

 private:
  void WritePorts(const std::string& address) {
    const std::string& path = settings_.String("port_file");
    if (path.empty()) return;
    core::WriteFileAtomically(
        path, fmt::format("link={}\nhttp={}\n", address, http_.address()));
  }

  core::Task<> LeaveOnDrain() {
    co_await endpoint_.WaitForDrain();
    StartLeaving();
  }

  void StartLeaving() {
    if (leaving_.exchange(true)) return;
    core::Spawn(context_.get_executor(), log_, "leave",
                [this] { return Leave(); });
  }

  core::Task<> Leave() {
    const bool whole = co_await endpoint_.Leave();
    exit_code_ = whole ? 0 : core::kExitUnfinished;
    endpoint_.Close();
    context_.stop();
  }

  const core::Settings& settings_;
  const core::Logger& log_;
  boost::asio::io_context context_;
  Metrics metrics_;
  std::unique_ptr<external::Engine> engine_;
  std::unique_ptr<external::KeyValueStore> store_;
  external::CountingStore counting_store_;
  Endpoint endpoint_;
  boost::asio::signal_set signals_;
  http::Server http_;
  std::atomic<bool> leaving_ = false;
  std::atomic<int> exit_code_ = 0;
};

}  // namespace

}  // namespace sapphire::endpoint

int main(int argc, char** argv) {
  namespace core = sapphire::core;
  const core::DaemonInfo info{"endpoint", "The process beside one endpoint",
                              sapphire::endpoint::SettingsTable()};
  return core::RunDaemon(
      argc, argv, info,
      [](const core::Settings& settings, const core::Logger& log,
         const core::Clock& clock) {
        return sapphire::endpoint::Process(settings, log, clock).Run();
      });
}
