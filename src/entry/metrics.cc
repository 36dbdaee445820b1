/** @file metrics.cc Metrics of an entry, with prometheus-cpp. */
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "entry/metrics_base.h"
#include "http/refusal_levels_func.h"

namespace sapphire::entry {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using Seconds = std::chrono::duration<double>;

const prometheus::Histogram::BucketBoundaries kSeconds = {
    0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12, 20, 30, 60};

}  // namespace

struct Metrics::State {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& requests =
      BuildHistogram()
          .Name("sapphire_entry_request_seconds")
          .Help("Callers' requests from arrival to end, by result")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& cold_starts =
      BuildHistogram()
          .Name("sapphire_entry_cold_start_seconds")
          .Help("Wait of requests that needed a load, by checkpoint tier")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& kv_calls =
      BuildCounter()
          .Name("sapphire_entry_key_value_calls_total")
          .Help("Calls to the key-value service, by kind and outcome")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& refusals =
      BuildGauge()
          .Name("sapphire_entry_home_refusals")
          .Help("Requests this entry refused as their home, by error")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& replicas =
      BuildGauge()
          .Name("sapphire_entry_service_replicas")
          .Help("Replicas that endpoints report, and the limit, by service")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& levels =
      BuildGauge()
          .Name("sapphire_entry_level")
          .Help("Levels and totals of this entry, by name")
          .Register(registry);
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::RecordRequest(std::string_view result,
                            std::chrono::milliseconds took) {
  state_->requests.Add({{"result", std::string(result)}}, kSeconds)
      .Observe(Seconds(took).count());
}

void Metrics::RecordColdStart(std::string_view tier,
                              std::chrono::milliseconds waited) {
  state_->cold_starts.Add({{"tier", std::string(tier)}}, kSeconds)
      .Observe(Seconds(waited).count());
}

void Metrics::RecordKeyValueCall(std::string_view kind,
                                 std::string_view outcome) {
  state_->kv_calls
      .Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}})
      .Increment();
}

std::string Metrics::Text(const MetricValues& levels) {
  const auto set = [this](const char* name, auto value) {
    state_->levels.Add({{"name", name}}).Set(static_cast<double>(value));
  };
  set("config_version", levels.config_version);
  set("requests_in_progress", levels.requests_in_progress);
  http::SetRefusalLevels(levels.refusals, set);
  set("once_runs_in_progress", levels.once_runs_in_progress);
  set("endpoints_connected", levels.endpoints_connected);
  set("entries_live", levels.entries_live);
  set("leaving", levels.leaving);
  set("home_placed", levels.scheduler.placed);
  set("home_refused", levels.scheduler.refused);
  set("home_loads_ordered", levels.scheduler.loads_ordered);
  set("home_cold_starts", levels.scheduler.cold_starts);
  set("home_quarantined", levels.scheduler.quarantined);
  set("home_queued", levels.scheduler.queued);
  set("link_frames_sent", levels.links.frames_sent);
  set("link_frames_received", levels.links.frames_received);
  set("link_bytes_sent", levels.links.bytes_sent);
  set("link_bytes_received", levels.links.bytes_received);
  set("link_frames_dropped", levels.links.frames_dropped);
  set("links_lost", levels.links.links_lost);
  const auto set_replicas = [this](const core::ServiceId& service,
                                   const char* kind, int count) {
    state_->replicas.Add({{"service", service.value()}, {"kind", kind}})
        .Set(count);
  };
  for (const auto& [service, count] : levels.services) {
    set_replicas(service, "reported", count.reported);
    set_replicas(service, "limit", count.limit);
  }
  for (const auto& [code, count] : levels.scheduler.refused_by_code) {
    state_->refusals.Add({{"error", std::string(core::InfoOf(code).name)}})
        .Set(static_cast<double>(count));
  }
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace sapphire::entry
