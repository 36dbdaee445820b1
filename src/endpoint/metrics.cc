/** @file metrics.cc Metrics of an endpoint process, with prometheus-cpp. */
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "endpoint/metrics_base.h"

namespace sapphire::endpoint {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using Seconds = std::chrono::duration<double>;

const prometheus::Histogram::BucketBoundaries kLoadSeconds = {
    0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12, 20, 30, 60};

}  // namespace

struct Metrics::State {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& cold_loads =
      BuildHistogram()
          .Name("sapphire_endpoint_cold_load_seconds")
          .Help("From a replica being wanted to ready, by checkpoint tier")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& load_failures =
      BuildCounter()
          .Name("sapphire_endpoint_load_failures_total")
          .Help("Loads that ended without a ready replica, by error")
          .Register(registry);
  prometheus::Counter& unloads = BuildCounter()
                                     .Name("sapphire_endpoint_unloads_total")
                                     .Help("Confirmed unloads of models")
                                     .Register(registry)
                                     .Add({});
  prometheus::Family<prometheus::Counter>& runs =
      BuildCounter()
          .Name("sapphire_endpoint_runs_total")
          .Help("Requests sent to the engine, by how they ended")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& refusals =
      BuildCounter()
          .Name("sapphire_endpoint_refusals_total")
          .Help("Requests refused before they ran, by error")
          .Register(registry);
  prometheus::Counter& idle_seconds =
      BuildCounter()
          .Name("sapphire_endpoint_idle_accelerator_seconds_total")
          .Help("Time that loaded replicas spent without a request")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Counter>& kv_calls =
      BuildCounter()
          .Name("sapphire_endpoint_key_value_calls_total")
          .Help("Calls to the key-value service, by kind and outcome")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& levels =
      BuildGauge()
          .Name("sapphire_endpoint_level")
          .Help("Levels of this endpoint, by name")
          .Register(registry);
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::RecordColdLoad(std::string_view tier,
                             std::chrono::milliseconds took) {
  state_->cold_loads.Add({{"tier", std::string(tier)}}, kLoadSeconds)
      .Observe(Seconds(took).count());
}

void Metrics::LoadFailed(core::ErrorCode code) {
  state_->load_failures.Add({{"error", std::string(core::InfoOf(code).name)}})
      .Increment();
}

void Metrics::Unloaded() { state_->unloads.Increment(); }

void Metrics::RunEnded(std::string_view result) {
  state_->runs.Add({{"result", std::string(result)}}).Increment();
}

void Metrics::Refused(core::ErrorCode code) {
  state_->refusals.Add({{"error", std::string(core::InfoOf(code).name)}})
      .Increment();
}

void Metrics::AddIdleTime(std::chrono::milliseconds time) {
  state_->idle_seconds.Increment(Seconds(time).count());
}

void Metrics::KeyValueCall(std::string_view kind, std::string_view outcome) {
  state_->kv_calls
      .Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}})
      .Increment();
}

std::string Metrics::Text(const Levels& levels) {
  const auto set = [this](const char* name, auto value) {
    state_->levels.Add({{"name", name}}).Set(static_cast<double>(value));
  };
  set("config_version", levels.config_version);
  set("memory_bytes", levels.memory_bytes);
  set("reserved_bytes", levels.reserved_bytes);
  set("running", levels.running);
  set("replicas", levels.replicas);
  set("grants_pending", levels.grants_pending);
  set("engine_up", levels.engine_up);
  set("leaving", levels.leaving);
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace sapphire::endpoint
