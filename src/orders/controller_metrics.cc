/** @file controller_metrics.cc Metrics of the controllers of engines. */
#include <prometheus/text_serializer.h>

#include <string>
#include <vector>

#include "core/metric_family_func.h"
#include "orders/controller_metrics_base.h"
#include "policy/placement_func.h"

namespace sapphire::orders {

namespace {

using Seconds = std::chrono::duration<double>;

/**
 * Bucket bounds in seconds: an adapter takes 10 to 30 ms, a load from the
 * weight store 9 to 20 s.
 */
const prometheus::Histogram::BucketBoundaries kLoadRequestBuckets = {
    0.03, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12, 20, 30};

}  // namespace

struct ControllerMetrics::State {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& load_requests =
      core::AddHistograms(registry, "sapphire_controller_load_request_seconds",
                          "Models and adapters asked for, until they serve, by "
                          "tier and outcome");
  prometheus::Family<prometheus::Counter>& orders =
      core::AddCounters(registry, "sapphire_controller_orders_total",
                        "Orders to the engine, by kind and answer");
  prometheus::Family<prometheus::Counter>& engine_losses =
      core::AddCounters(registry, "sapphire_controller_engine_losses_total",
                        "Times that the engine stopped answering");
  prometheus::Family<prometheus::Counter>& store_calls =
      core::AddCounters(registry, "sapphire_controller_store_calls_total",
                        "Calls to the store, by kind and outcome");
  prometheus::Family<prometheus::Gauge>& levels =
      core::AddGauges(registry, "sapphire_controller_level",
                      "Levels of this process and its engine, by name");
};

ControllerMetrics::ControllerMetrics() : state_(std::make_unique<State>()) {}
ControllerMetrics::~ControllerMetrics() = default;

void ControllerMetrics::LoadRequestEnded(policy::Tier tier,
                                         std::string_view outcome,
                                         std::chrono::milliseconds took) {
  state_->load_requests
      .Add({{"tier", std::string(policy::TierName(tier))},
            {"outcome", std::string(outcome)}},
           kLoadRequestBuckets)
      .Observe(Seconds(took).count());
}

void ControllerMetrics::OrderSubmitted(std::string_view kind,
                                       std::string_view answer) {
  state_->orders
      .Add({{"kind", std::string(kind)}, {"answer", std::string(answer)}})
      .Increment();
}

void ControllerMetrics::EngineLost() {
  state_->engine_losses.Add({}).Increment();
}

void ControllerMetrics::StoreCall(const external::StoreCall& call) {
  core::CountCall(state_->store_calls, call.kind, call.outcome);
}

std::string ControllerMetrics::CounterText() {
  std::vector<prometheus::MetricFamily> families = state_->registry.Collect();
  std::erase_if(families, [](const prometheus::MetricFamily& it) {
    return it.type == prometheus::MetricType::Gauge;
  });
  return prometheus::TextSerializer().Serialize(families);
}

std::string ControllerMetrics::Text(const ControllerLevels& levels) {
  const auto set = [this](const char* name, auto value) {
    state_->levels.Add({{"name", name}}).Set(static_cast<double>(value));
  };
  set("config_version", levels.config_version);
  set("engine_up", levels.engine_up);
  set("report_age_ms", levels.report_age.count());
  set("running", levels.running);
  set("waiting", levels.waiting);
  set("kv_tokens_used", levels.kv_tokens_used);
  set("load_requests", levels.load_requests);
  set("open_orders", levels.open_orders);
  set("log_lines", levels.log.lines);
  set("log_bytes", levels.log.bytes);
  set("log_lines_dropped", levels.log.dropped);
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace sapphire::orders
