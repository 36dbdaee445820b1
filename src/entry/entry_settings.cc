/** @file entry_settings.cc The settings of sapphire-entry. */
#include <array>

#include "core/settings_row_func.h"
#include "entry/entry_settings_base.h"

namespace sapphire::entry {

using core::SettingDef;

namespace {

constexpr std::array kTable = {
    core::TextRow("vm", "", "Name of this VM"),
    core::TextRow("zone", "", "Availability zone of this VM"),
    core::TextRow("listen", "",
                  "Address for callers and operators (HTTP), ip:port"),
    core::TextRow("link_listen", "", "Address for links, ip:port"),
    core::TextRow("port_file", "\"\"",
                  "If set: file that the bound addresses are written to"),
    core::TextRow("kv", "", "Address of the key-value service, ip:port"),
    core::TextRow("vm_list", "", "Address of the VM list, ip:port"),
    core::TextRow("log_level", "\"info\"", "debug, info, warning or error"),
    core::CountRow("threads", "2", "", 1, 64,
                   "Threads that serve callers and links"),
    core::TimeRow("kv_timeout_ms", "1000", 10,
                  "Of one call to the key-value service"),
    core::TimeRow("vm_list_timeout_ms", "1000", 10,
                  "Of one read of the VM list"),
    core::TimeRow("vm_list_interval_ms", "1000", 10,
                  "Between two reads of the VM list"),
    core::TimeRow("heartbeat_ms", "500", 10,
                  "Between two heartbeats on a link"),
    core::TimeRow("dead_after_ms", "2000", 50,
                  "Without a frame for this long a link counts as lost"),
    core::TimeRow("default_timeout_ms", "30000", 1,
                  "Time of a request that names none (X-Request-Timeout-Ms)"),
    core::TimeRow("max_timeout_ms", "600000", 1,
                  "Longest time a request may name"),
    core::CountRow("max_body_bytes", "4194304", "bytes", 1024, 67108864,
                   "Longest body of a request"),
    core::CountRow("max_header_bytes", "16384", "bytes", 1024, 1048576,
                   "Longest header fields of a request"),
    core::CountRow("memory_mb", "2048", "MB", 64, 1e6,
                   "Memory of this VM: a tenth of it may hold requests, each "
                   "of which is copied a few times"),
    core::CountRow("max_connections", "8192", "", 16, 1e6,
                   "Connections of callers: beyond, the one that has waited "
                   "longest for a request is closed"),
    core::CountRow("max_queue", "2048", "", 1, 100000,
                   "Requests that may wait here for one model"),
    core::TimeRow("claim_patience_ms", "1500", 10,
                  "How long a non-idempotent request is tried to be claimed"),
    core::TimeRow(
        "keep_ended_ms", "60000", 0,
        "How long the answer of a non-idempotent request stays in memory"),
    core::TimeRow("gone_grace_ms", "30000", 0,
                  "A VM missing from the list for this long counts as gone"),
    core::TimeRow(
        "lame_duck_ms", "2000", 0,
        "How long a leaving entry, no longer ready, still takes callers: "
        "the balancer's lag"),
    core::TimeRow("drain_ms", "60000", 0,
                  "Longest time that leaving waits for requests in progress"),
};

}  // namespace

std::span<const SettingDef> SettingsTable() { return kTable; }

}  // namespace sapphire::entry
