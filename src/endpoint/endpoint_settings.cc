/** @file endpoint_settings.cc The settings of sapphire-endpoint. */
#include <array>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/settings_row_func.h"
#include "endpoint/endpoint_settings_base.h"

namespace sapphire::endpoint {

using core::SettingDef;

namespace {

constexpr std::array kTable = {
    core::TextRow("vm", "", "Name of this VM"),
    core::TextRow("zone", "", "Availability zone of this VM"),
    core::TextRow("listen", "",
                  "Address for links, ip:port; the lock against a second "
                  "process on this VM"),
    core::TextRow("metrics_listen", "\"127.0.0.1:0\"",
                  "Address for /metrics, /healthz and /readyz, ip:port"),
    core::TextRow("port_file", "\"\"",
                  "If set: file that the bound addresses are written to"),
    core::TextRow("kind", "\"model\"", "What this endpoint is: model or plain"),
    core::TextRow("service", "\"\"",
                  "Name of the plain service; empty for a model "
                  "engine"),
    core::TextRow("engine", "",
                  "Address of the engine or plain service, ip:port"),
    core::TextRow("kv", "", "Address of the key-value service, ip:port"),
    core::TextRow("log_level", "\"info\"", "debug, info, warning or error"),
    core::CountRow("threads", "2", "", 1, 64,
                   "Threads that serve links and requests"),
    core::TimeRow("drain_ms", "60000", 0,
                  "Longest time that leaving waits for runs and unloads"),
    core::TimeRow("heartbeat_ms", "500", 10,
                  "Between two heartbeats on a link"),
    core::TimeRow("dead_after_ms", "2000", 50,
                  "Without a frame for this long a link counts as lost"),
    core::TimeRow("report_interval_ms", "1000", 10,
                  "Entries get a report at least this often"),
    core::TimeRow("report_gap_ms", "20", 1,
                  "Changes closer together than this share one report"),
    core::TimeRow("engine_poll_ms", "250", 10,
                  "Between two reads of the engine's state"),
    core::TimeRow("engine_timeout_ms", "2000", 10,
                  "Of one read of the engine's state"),
    core::TimeRow("order_timeout_ms", "60000", 100,
                  "After this an order's outcome counts as unknown"),
    core::TimeRow(
        "settle_ms", "1000", 0,
        "Quiet time after which an order of unknown outcome counts as not "
        "carried out; longer than an order travels"),
    core::TimeRow("kv_timeout_ms", "1000", 10,
                  "Of one call to the key-value service"),
    core::TimeRow(
        "keep_alive_ms", "60000", 0,
        "How long an idle replica stays loaded if its caller names no time"),
    core::TimeRow("sweep_ms", "250", 10, "Between two looks for idle replicas"),
    core::TimeRow("audit_ms", "30000", 100,
                  "Between two comparisons with the ledgers of grants"),
    core::TimeRow("lane_hold_ms", "30000", 100,
                  "A remote load that has not ended by then frees its lane"),
    core::TimeRow("lane_poll_ms", "200", 10,
                  "Between two looks of a load that waits for a lane"),
    core::TimeRow(
        "attempt_memory_ms", "900000", 1000,
        "How long an attempt is remembered, so that a copy is refused"),
};

void CheckKind(const core::Settings& settings) {
  const std::string& kind = settings.String("kind");
  const bool plain = kind == "plain";
  if (!plain && kind != "model") {
    throw core::Error(core::ErrorCode::kBadSettings,
                      "kind: " + kind + " is neither model nor plain");
  }
  if (plain == settings.String("service").empty()) {
    throw core::Error(core::ErrorCode::kBadSettings,
                      "service: must be set if, and only if, kind is plain");
  }
}

}  // namespace

std::span<const SettingDef> SettingsTable() { return kTable; }

EndpointOptions OptionsFrom(const core::Settings& settings) {
  CheckKind(settings);
  EndpointOptions options;
  options.vm = core::VmId(settings.String("vm"));
  options.zone = core::ZoneId(settings.String("zone"));
  options.incarnation = core::RandomPositive();
  options.plain_service = core::ServiceId(settings.String("service"));
  options.listen_address = settings.String("listen");
  options.heartbeat_interval = settings.Millis("heartbeat_ms");
  options.dead_after = settings.Millis("dead_after_ms");
  options.report_interval = settings.Millis("report_interval_ms");
  options.report_gap = settings.Millis("report_gap_ms");
  options.engine_poll = settings.Millis("engine_poll_ms");
  options.drain_limit = settings.Millis("drain_ms");
  options.orders.order_timeout = settings.Millis("order_timeout_ms");
  options.orders.settle_time = settings.Millis("settle_ms");
  options.reconciler.keep_alive = settings.Millis("keep_alive_ms");
  options.reconciler.sweep_interval = settings.Millis("sweep_ms");
  options.reconciler.audit_interval = settings.Millis("audit_ms");
  options.lanes.hold_limit = settings.Millis("lane_hold_ms");
  options.lanes.poll = settings.Millis("lane_poll_ms");
  options.attempts.retention = settings.Millis("attempt_memory_ms");
  return options;
}

}  // namespace sapphire::endpoint
