/** @file entry_settings.cc The settings of sapphire-entry. */
#include <array>

#include "entry/entry_settings_base.h"

namespace sapphire::entry {

using core::SettingDef;
using core::SettingType;

namespace {

constexpr double kMaxMillis = 3'600'000;

constexpr SettingDef Text(std::string_view name, std::string_view value,
                          std::string_view help) {
  return {name, SettingType::kString, value, "", 0, 0, help};
}

constexpr SettingDef Time(std::string_view name, std::string_view value,
                          double min, std::string_view help) {
  return {name, SettingType::kInteger, value, "ms", min, kMaxMillis, help};
}

constexpr SettingDef Count(std::string_view name, std::string_view value,
                           std::string_view unit, double min, double max,
                           std::string_view help) {
  return {name, SettingType::kInteger, value, unit, min, max, help};
}

constexpr std::array kTable = {
    Text("vm", "", "Name of this VM"),
    Text("zone", "", "Availability zone of this VM"),
    Text("listen", "", "Address for callers and operators (HTTP), ip:port"),
    Text("link_listen", "", "Address for links, ip:port"),
    Text("port_file", "\"\"",
         "If set: file that the bound addresses are written to"),
    Text("kv", "", "Address of the key-value service, ip:port"),
    Text("vm_list", "", "Address of the VM list, ip:port"),
    Text("log_level", "\"info\"", "debug, info, warning or error"),
    Count("threads", "2", "", 1, 64, "Threads that serve callers and links"),
    Time("kv_timeout_ms", "1000", 10, "Of one call to the key-value service"),
    Time("vm_list_timeout_ms", "1000", 10, "Of one read of the VM list"),
    Time("vm_list_interval_ms", "1000", 10, "Between two reads of the VM list"),
    Time("heartbeat_ms", "500", 10, "Between two heartbeats on a link"),
    Time("dead_after_ms", "2000", 50,
         "Without a frame for this long a link counts as lost"),
    Time("default_timeout_ms", "30000", 1,
         "Time of a request that names none (X-Request-Timeout-Ms)"),
    Time("max_timeout_ms", "600000", 1, "Longest time a request may name"),
    Count("max_body_bytes", "1048576", "bytes", 1024, 67108864,
          "Longest body of a request"),
    Count("max_header_bytes", "16384", "bytes", 1024, 1048576,
          "Longest header fields of a request"),
    Count("max_queue", "2048", "", 1, 100000,
          "Requests that may wait here for one model"),
    Time("claim_patience_ms", "1500", 10,
         "How long a non-idempotent request is tried to be claimed"),
    Time("keep_ended_ms", "60000", 0,
         "How long the answer of a non-idempotent request stays in memory"),
    Time("gone_grace_ms", "30000", 0,
         "A VM missing from the list for this long counts as gone"),
    Time("lame_duck_ms", "2000", 0,
         "How long a leaving entry, no longer ready, still takes callers: "
         "the balancer's lag"),
    Time("drain_ms", "60000", 0,
         "Longest time that leaving waits for requests in progress"),
};

}  // namespace

std::span<const SettingDef> SettingsTable() { return kTable; }

}  // namespace sapphire::entry
