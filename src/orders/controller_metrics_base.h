/** @file controller_metrics_base.h Metrics of the controllers of engines. */
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

/** Gauge values, read when the metrics are collected. */
struct ControllerLevels {
  std::int64_t config_version = 0;
  bool engine_up = false;
  /** Age of the engine's last report. */
  std::chrono::milliseconds report_age{0};
  int running = 0;
  int waiting = 0;
  std::int64_t kv_tokens_used = 0;
  /** Load requests in progress. */
  int load_requests = 0;
  /** Orders that may still be carried out. */
  int open_orders = 0;
  core::LogSinkCounters log;
};

/**
 * Counts load requests, orders and store calls. The number of label values does
 * not grow with models, callers or engines. Thread-safe.
 */
class ControllerMetrics {
 public:
  ControllerMetrics();
  ~ControllerMetrics();
  ControllerMetrics(const ControllerMetrics&) = delete;
  ControllerMetrics& operator=(const ControllerMetrics&) = delete;

  /**
   * Counts a load request that has ended.
   * @param outcome "ok" or the error's name.
   */
  void LoadRequestEnded(policy::Tier tier, std::string_view outcome,
                        std::chrono::milliseconds took);
  /** @param answer As in the log event order_given. */
  void OrderSubmitted(std::string_view kind, std::string_view answer);
  void EngineLost();
  void StoreCall(const external::StoreCall& call);

  /** @return Counters and histograms, in the Prometheus text format. */
  std::string CounterText();

  /** @return All metrics, in the Prometheus text format. */
  std::string Text(const ControllerLevels& levels);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_CONTROLLER_METRICS_BASE_H_
