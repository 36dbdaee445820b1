/** @file controller_metrics_base.h What the process beside an engine counts. */
#ifndef SAPPHIRE_ORDERS_CONTROLLER_METRICS_BASE_H_
#define SAPPHIRE_ORDERS_CONTROLLER_METRICS_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/log_sink_base.h"
#include "external/counting_store_base.h"
#include "policy/placement_type.h"

namespace sapphire::orders {

/** Levels read when the metrics are asked for. */
struct ControllerLevels {
  std::int64_t config_version = 0;
  bool engine_up = false;
  /** Age of the engine's last report. */
  std::chrono::milliseconds report_age{0};
  int running = 0;
  int waiting = 0;
  std::int64_t kv_tokens_used = 0;
  /** Models that somebody waits for. */
  int load_requests = 0;
  /** Orders that may still be carried out. */
  int open_orders = 0;
  core::LogSinkCounters log;
};

/** No label grows with models, callers or engines. Safe on several threads. */
class ControllerMetrics {
 public:
  ControllerMetrics();
  ~ControllerMetrics();
  ControllerMetrics(const ControllerMetrics&) = delete;
  ControllerMetrics& operator=(const ControllerMetrics&) = delete;

  /** A model or adapter that an entry asked for is there, or will not be.
   * @param outcome "ok" or the error's name. */
  void LoadRequestEnded(policy::Tier tier, std::string_view outcome,
                        std::chrono::milliseconds took);
  /** @param answer As in the log's order_given. */
  void OrderGiven(std::string_view kind, std::string_view answer);
  void EngineLost();
  void StoreCall(const external::StoreCall& call);

  /** @return Counters and histograms, in the Prometheus text format. */
  std::string CounterText();

  /** @return Everything, in the Prometheus text format. */
  std::string Text(const ControllerLevels& levels);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_CONTROLLER_METRICS_BASE_H_
