/** @file metrics_base.h Metrics of an entry. */
#ifndef SAPPHIRE_ENTRY_METRICS_BASE_H_
#define SAPPHIRE_ENTRY_METRICS_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "entry/scheduler_base.h"
#include "http/server_base.h"
#include "link/link_type.h"

namespace sapphire::entry {

/** Replica counts of one service. */
struct ServiceReplicas {
  /** Sum over the endpoints' last reports. */
  int reported = 0;
  /** The limit in the configuration. */
  int limit = 0;
};

/** Values sampled when the metrics are collected. */
struct MetricValues {
  std::int64_t config_version = 0;
  int requests_in_progress = 0;
  /** Requests and connections that a limit refused so far. */
  http::RefusalCounts refusals{};
  int once_runs_in_progress = 0;
  int endpoints_connected = 0;
  int entries_live = 0;
  bool leaving = false;
  std::map<core::ServiceId, ServiceReplicas> services;
  Scheduler::Stats scheduler;
  link::LinkCounters links;
};

/** Counters and histograms with their text format. Thread-safe. */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** @param result "ok" or the error's name. */
  void RecordRequest(std::string_view result, std::chrono::milliseconds took);
  /** A request that waited for a load. @param tier "memory", "disk" or
   * "remote". */
  void RecordColdStart(std::string_view tier, std::chrono::milliseconds waited);
  /** @param kind The operation. @param outcome "ok" or the error's name. */
  void RecordKeyValueCall(std::string_view kind, std::string_view outcome);

  /** @return All metrics in the Prometheus text format. */
  std::string Text(const MetricValues& levels);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_METRICS_BASE_H_
