/** @file front_metrics.cc Metrics of an entry's request path. */
#include <prometheus/text_serializer.h>

#include <set>

#include "core/metric_family_func.h"
#include "http/refusal_levels_func.h"
#include "policy/placement_func.h"
#include "serving/front_metrics_base.h"

namespace sapphire::serving {

namespace {

using Seconds = std::chrono::duration<double>;

const prometheus::Histogram::BucketBoundaries kSeconds = {
    0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12, 20, 35};

const prometheus::Histogram::BucketBoundaries kStallSeconds = {
    0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1};

/** Organisations with a label of their own. */
constexpr std::size_t kMaxOrganisations = 32;
constexpr const char* kOtherOrganisations = "other";

std::string NameOf(routing::RequestKind kind) {
  switch (kind) {
    case routing::RequestKind::kIdempotent:
      return "idempotent";
    case routing::RequestKind::kNonIdempotent:
      return "non_idempotent";
    case routing::RequestKind::kStream:
      return "stream";
  }
  return "";
}

}  // namespace

struct FrontMetrics::State {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& requests =
      core::AddHistograms(registry, "sapphire_front_request_seconds",
                          "Requests from arrival to end, by kind and outcome");
  prometheus::Family<prometheus::Histogram>& first_bytes = core::AddHistograms(
      registry, "sapphire_front_first_byte_seconds",
      "From arrival to the first byte of an engine's answer");
  prometheus::Family<prometheus::Histogram>& wake_ups = core::AddHistograms(
      registry, "sapphire_front_wake_up_seconds",
      "Wake-ups asked of endpoints, by checkpoint tier and outcome");
  prometheus::Family<prometheus::Histogram>& stalls =
      core::AddHistograms(registry, "sapphire_front_stall_seconds",
                          "Work that kept the thread from its sockets");
  prometheus::Family<prometheus::Counter>& sends =
      core::AddCounters(registry, "sapphire_front_sends_total",
                        "Sends of requests to engines, by their end");
  prometheus::Family<prometheus::Counter>& send_organisations =
      core::AddCounters(registry, "sapphire_front_send_organisations_total",
                        "Sends of requests to engines, by whether they named "
                        "an organisation, or why they did not");
  prometheus::Family<prometheus::Counter>& oversized_answers =
      core::AddCounters(registry, "sapphire_front_oversized_answers_total",
                        "Sends given up for the size of the engine's answer");
  prometheus::Family<prometheus::Counter>& repeats =
      core::AddCounters(registry, "sapphire_front_repeats_total",
                        "Repeats asked of the shared budget, by answer");
  prometheus::Family<prometheus::Counter>& store_calls =
      core::AddCounters(registry, "sapphire_front_store_calls_total",
                        "Calls to the store, by kind and outcome");
  prometheus::Family<prometheus::Counter>& quotas = core::AddCounters(
      registry, "sapphire_front_quota_decisions_total",
      "Requests charged to quotas, by organisation, bucket and answer");
  prometheus::Family<prometheus::Histogram>& store_times = core::AddHistograms(
      registry, "sapphire_front_store_call_seconds",
      "Calls to the store, by kind, what a watch waits included");
  prometheus::Family<prometheus::Counter>& store_bytes =
      core::AddCounters(registry, "sapphire_front_store_bytes_total",
                        "Values read from the store, by kind of call");
  prometheus::Family<prometheus::Histogram>& view_ages = core::AddHistograms(
      registry, "sapphire_front_view_age_seconds",
      "Age of what follows the store at the moment an answer renews it");
  prometheus::Family<prometheus::Histogram>& denials = core::AddHistograms(
      registry, "sapphire_front_denial_view_age_seconds",
      "Age of the view of the store as a request was denied (300 to 499 except "
      "429, without a send), by outcome");
  prometheus::Family<prometheus::Counter>& engine_limits = core::AddCounters(
      registry, "sapphire_front_engine_limit_decisions_total",
      "Sends asked of the limits that engines name, by bucket and answer");
  prometheus::Family<prometheus::Counter>& engine_notices =
      core::AddCounters(registry, "sapphire_front_engine_notices_total",
                        "News that engines' answers brought of themselves: "
                        "leaving, rest, unreadable");
  prometheus::Family<prometheus::Counter>& streams_taken_up =
      core::AddCounters(registry, "sapphire_front_streams_taken_up_total",
                        "Streams that callers took up, by how the version that "
                        "began them was found");
  std::set<core::OrganisationId> organisations;
  prometheus::Family<prometheus::Gauge>& levels = core::AddGauges(
      registry, "sapphire_front_level", "Levels of this entry, by name");
};

FrontMetrics::FrontMetrics() : state_(std::make_unique<State>()) {}
FrontMetrics::~FrontMetrics() = default;

void FrontMetrics::RequestEnded(routing::RequestKind kind,
                                std::string_view outcome,
                                std::chrono::milliseconds took) {
  state_->requests
      .Add({{"kind", NameOf(kind)}, {"outcome", std::string(outcome)}},
           kSeconds)
      .Observe(Seconds(took).count());
}

void FrontMetrics::FirstByte(routing::RequestKind kind,
                             std::chrono::milliseconds waited) {
  state_->first_bytes.Add({{"kind", NameOf(kind)}}, kSeconds)
      .Observe(Seconds(waited).count());
}

void FrontMetrics::SendEnded(std::string_view end) {
  state_->sends.Add({{"end", std::string(end)}}).Increment();
}

void FrontMetrics::SendBegun(std::string_view organisation) {
  state_->send_organisations.Add({{"organisation", std::string(organisation)}})
      .Increment();
}

void FrontMetrics::AnswerOversized() {
  state_->oversized_answers.Add({}).Increment();
}

void FrontMetrics::RepeatDecided(bool allowed) {
  state_->repeats.Add({{"answer", allowed ? "allowed" : "refused"}})
      .Increment();
}

void FrontMetrics::QuotaDecided(const core::OrganisationId& id,
                                std::string_view source, bool granted) {
  std::set<core::OrganisationId>& known = state_->organisations;
  if (known.size() < kMaxOrganisations) known.insert(id);
  const std::string label =
      known.contains(id) ? id.value() : std::string(kOtherOrganisations);
  state_->quotas
      .Add({{"organisation", label},
            {"bucket", std::string(source)},
            {"answer", granted ? "granted" : "denied"}})
      .Increment();
}

void FrontMetrics::EngineLimitDecided(std::string_view source, bool granted) {
  state_->engine_limits
      .Add({{"bucket", std::string(source)},
            {"answer", granted ? "granted" : "denied"}})
      .Increment();
}

void FrontMetrics::EngineNoticed(std::string_view kind) {
  state_->engine_notices.Add({{"kind", std::string(kind)}}).Increment();
}

void FrontMetrics::StreamTakenUp(std::string_view source) {
  state_->streams_taken_up.Add({{"source", std::string(source)}}).Increment();
}

void FrontMetrics::WakeUpEnded(policy::Tier tier, std::string_view outcome,
                               std::chrono::milliseconds took) {
  state_->wake_ups
      .Add({{"tier", std::string(policy::TierName(tier))},
            {"outcome", std::string(outcome)}},
           kSeconds)
      .Observe(Seconds(took).count());
}

void FrontMetrics::StoreCall(const external::StoreCall& call) {
  core::CountCall(state_->store_calls, call.kind, call.outcome);
  state_->store_times.Add({{"kind", std::string(call.kind)}}, kSeconds)
      .Observe(Seconds(call.took).count());
  state_->store_bytes.Add({{"kind", std::string(call.kind)}})
      .Increment(static_cast<double>(call.bytes));
}

void FrontMetrics::ViewRenewed(std::chrono::milliseconds age) {
  state_->view_ages.Add({}, kSeconds).Observe(Seconds(age).count());
}

void FrontMetrics::Denied(std::string_view outcome,
                          std::chrono::milliseconds view_age) {
  state_->denials.Add({{"outcome", std::string(outcome)}}, kSeconds)
      .Observe(Seconds(view_age).count());
}

void FrontMetrics::Stalled(std::string_view work,
                           std::chrono::milliseconds took) {
  state_->stalls.Add({{"work", std::string(work)}}, kStallSeconds)
      .Observe(Seconds(took).count());
}

std::string FrontMetrics::Text(const FrontLevels& levels) {
  const auto set = [this](const char* name, auto value) {
    state_->levels.Add({{"name", name}}).Set(static_cast<double>(value));
  };
  set("config_version", levels.config_version);
  set("requests_in_progress", levels.requests_in_progress);
  set("request_bytes", levels.request_bytes);
  http::SetRefusalLevels(levels.refusals, set);
  set("engines_known", levels.engines_known);
  set("engines_held", levels.engines_held);
  set("engines_limited", levels.engines_limited);
  set("engines_leaving", levels.engines_leaving);
  set("engines_resting", levels.engines_resting);
  set("entries", levels.entries);
  set("coordinators_suspected", levels.coordinators_suspected);
  set("stream_origins", levels.stream_origins);
  set("crashes_known", levels.crashes_known);
  set("ready", levels.ready);
  set("store_age_ms", levels.store_age.count());
  set("view_age_ms", levels.view_age.count());
  set("log_lines", levels.log.lines);
  set("log_bytes", levels.log.bytes);
  set("log_lines_dropped", levels.log.dropped);
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace sapphire::serving
