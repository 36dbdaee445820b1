/** @file losses.cc Derives from logs why requests were refused, failed or late.
 */
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include "timeline/losses_func.h"

namespace sapphire::timeline {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

/** A model load explains a request's wait if it began or ended at most this
 * long before the request's end: loads from the weight store take up to a
 * minute. */
constexpr std::chrono::seconds kMaxLoadEventAge{60};

struct CauseName {
  LossCause cause;
  std::string_view name;
};

constexpr CauseName kCauseNames[] = {
    {LossCause::kLoadFromMemory, "load_from_memory"},
    {LossCause::kLoadFromDisk, "load_from_disk"},
    {LossCause::kLoadFromStore, "load_from_store"},
    {LossCause::kLoadFailed, "wake_up_failed"},
    {LossCause::kAdapter, "adapter"},
    {LossCause::kNoRoom, "no_room"},
    {LossCause::kNoEngine, "no_engine"},
    {LossCause::kSlowFirstToken, "slow_first_token"},
    {LossCause::kPause, "pause"},
    {LossCause::kEngineTimedOut, "engine_silent"},
    {LossCause::kConnectionLost, "engine_broke"},
    {LossCause::kEngineError, "engine_error"},
    {LossCause::kRetried, "sent_again"},
    {LossCause::kEntryShutdown, "entry_leaving"},
    {LossCause::kNotConfigured, "not_configured"},
    {LossCause::kCrashesEngines, "crashes_engines"},
    {LossCause::kCallerLeft, "caller_left"},
    {LossCause::kUnknown, "unknown"},
};

/** An outcome that determines the cause. */
struct OutcomeCause {
  std::string_view outcome;
  LossCause cause;
};

constexpr OutcomeCause kOutcomeCauses[] = {
    {"leaving", LossCause::kEntryShutdown},
    {"not_configured", LossCause::kNotConfigured},
    {"quarantined", LossCause::kCrashesEngines},
    {"engine_failed", LossCause::kEngineError},
    {"timed_out", LossCause::kEngineTimedOut},
};

/** Outcomes of invalid requests, which are not counted. */
constexpr std::string_view kExcluded[] = {"unknown_path", "malformed_request",
                                          "unknown_model", "unknown_service"};

milliseconds MillisOf(const Event& event, std::string_view field) {
  const std::string text = FieldOf(event, field);
  milliseconds::rep millis = 0;
  std::from_chars(text.data(), text.data() + text.size(), millis);
  return milliseconds(millis);
}

/** Events before a request's end that concern its model and its sends. */
class EventHistory {
 public:
  void Record(const Event& event) {
    const core::ModelId model(FieldOf(event, "model"));
    if (event.name == "wake" || event.name == "add_replica") {
      loads_[model] = event;
    } else if (event.name == "wake_failed" || event.name == "wake_impossible") {
      load_failures_[model] = event;
    } else if (event.name == "woken") {
      load_failures_.erase(model);
    } else if (event.name == "send_failed") {
      failed_sends_[event.request] = event;
    }
  }

  /** @return What a request that was not sent, or sent late, waited for. */
  [[nodiscard]] LossCause WaitCause(const Event& end) const {
    const core::ModelId model(FieldOf(end, "model"));
    if (model.empty()) return LossCause::kNoEngine;
    const Event* wake = FindRecent(loads_, model, end);
    const Event* failure = FindRecent(load_failures_, model, end);
    const bool later =
        failure != nullptr && (wake == nullptr || wake->time <= failure->time);
    if (later) {
      return failure->name == "wake_impossible" ? LossCause::kNoRoom
                                                : LossCause::kLoadFailed;
    }
    if (wake != nullptr) return TierOf(*wake);
    if (!FieldOf(end, "adapter").empty()) return LossCause::kAdapter;
    return LossCause::kNoEngine;
  }

  /** @return Why a request's latest send failed; nothing if none did. */
  [[nodiscard]] std::optional<LossCause> SendFailureCause(
      const Event& end) const {
    const auto it = failed_sends_.find(end.request);
    if (it == failed_sends_.end()) return std::nullopt;
    const std::string reason = FieldOf(it->second, "reason");
    const auto contains = [&reason](std::string_view text) {
      return reason.find(text) != std::string::npos;
    };
    if (FieldOf(it->second, "end") == "engine_failed") {
      return LossCause::kEngineError;
    }
    const bool silent = contains("timeout") || contains("silence");
    return silent ? LossCause::kEngineTimedOut : LossCause::kConnectionLost;
  }

 private:
  using ByModel = std::map<core::ModelId, Event>;

  static const Event* FindRecent(const ByModel& events,
                                 const core::ModelId& model, const Event& end) {
    const auto it = events.find(model);
    if (it == events.end()) return nullptr;
    return end.time - it->second.time < kMaxLoadEventAge ? &it->second
                                                         : nullptr;
  }

  static LossCause TierOf(const Event& wake) {
    const std::string tier = FieldOf(wake, "tier");
    if (tier == "remote") return LossCause::kLoadFromStore;
    if (tier == "memory") return LossCause::kLoadFromMemory;
    return LossCause::kLoadFromDisk;
  }

  ByModel loads_;
  ByModel load_failures_;
  std::map<core::RequestId, Event> failed_sends_;
};

LossCause CauseOfFailure(const Event& end, const EventHistory& history) {
  const std::string outcome = FieldOf(end, "outcome");
  for (const OutcomeCause& it : kOutcomeCauses) {
    if (it.outcome == outcome) return it.cause;
  }
  if (const auto cause = history.SendFailureCause(end)) return *cause;
  if (FieldOf(end, "sends") == "0") return history.WaitCause(end);
  return outcome == "caller_left" ? LossCause::kCallerLeft
                                  : LossCause::kUnknown;
}

/** @return Why a complete answer was late; nothing if it was in time. */
std::optional<LossCause> CauseOfLateness(const Event& end,
                                         const EventHistory& history) {
  const milliseconds objective = MillisOf(end, "objective_ms");
  const milliseconds first_byte = MillisOf(end, "first_byte_ms");
  const milliseconds max_pause = MillisOf(end, "max_pause_ms");
  const bool began_late = objective.count() > 0 && first_byte > objective;
  const bool paused =
      max_pause.count() > 0 && MillisOf(end, "longest_pause_ms") > max_pause;
  if (!began_late && !paused) return std::nullopt;
  if (history.SendFailureCause(end)) return LossCause::kRetried;
  if (!began_late) return LossCause::kPause;
  const bool waited = 2 * MillisOf(end, "first_send_ms") > first_byte;
  return waited ? history.WaitCause(end) : LossCause::kSlowFirstToken;
}

std::optional<Loss> LossOf(const Event& end, const EventHistory& history) {
  Loss loss;
  loss.request = end.request;
  loss.route = FieldOf(end, "route");
  loss.time = end.time;
  loss.took = MillisOf(end, "total_ms");
  const std::string outcome = FieldOf(end, "outcome");
  if (outcome == "served") {
    const auto cause = CauseOfLateness(end, history);
    if (!cause) return std::nullopt;
    loss.kind = LossKind::kLate;
    loss.cause = *cause;
    return loss;
  }
  loss.kind =
      FieldOf(end, "sends") == "0" ? LossKind::kRefused : LossKind::kFailed;
  loss.cause = CauseOfFailure(end, history);
  return loss;
}

}  // namespace

std::string_view NameOf(LossCause cause) {
  const auto* it = std::ranges::find(kCauseNames, cause, &CauseName::cause);
  return it->name;
}

std::string_view NameOf(LossKind kind) {
  switch (kind) {
    case LossKind::kRefused:
      return "refused";
    case LossKind::kFailed:
      return "failed";
    case LossKind::kLate:
      return "late";
  }
  return "";
}

std::int64_t SecondOf(const Loss& loss, const LossReport& report) {
  const auto since = loss.time - report.losses.front().time;
  return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

LossReport AnalyseLosses(const std::vector<Event>& events) {
  LossReport report;
  EventHistory history;
  for (const Event& event : events) {
    history.Record(event);
    if (event.name != "request_end") continue;
    const std::string outcome = FieldOf(event, "outcome");
    if (std::ranges::find(kExcluded, outcome) != std::end(kExcluded)) continue;
    ++report.requests;
    if (auto loss = LossOf(event, history)) {
      report.losses.push_back(std::move(*loss));
    }
  }
  return report;
}

std::string RenderLosses(const LossReport& report) {
  std::map<std::string, int> by_route;
  std::map<std::int64_t, int> by_second;
  for (const Loss& it : report.losses) {
    ++by_route[fmt::format("{:24} {:8} {:18}", it.route, NameOf(it.kind),
                           NameOf(it.cause))];
    ++by_second[SecondOf(it, report)];
  }
  std::string text = fmt::format("{} of {} requests lost\n\n{:24} {:8} {:18}\n",
                                 report.losses.size(), report.requests, "route",
                                 "how", "cause");
  for (const auto& [row, n] : by_route) text += fmt::format("{} {}\n", row, n);
  text += "\nsecond since the first loss, lost\n";
  for (const auto& [second, n] : by_second) {
    text += fmt::format("{:6} {}\n", second, n);
  }
  return text;
}

std::string RenderLossesJson(const LossReport& report) {
  json::array losses;
  for (const Loss& it : report.losses) {
    losses.push_back(json::object{{"request", it.request.value()},
                                  {"route", it.route},
                                  {"how", std::string(NameOf(it.kind))},
                                  {"cause", std::string(NameOf(it.cause))},
                                  {"second", SecondOf(it, report)},
                                  {"took_ms", it.took.count()}});
  }
  return json::serialize(json::object{{"requests", report.requests},
                                      {"losses", std::move(losses)}}) +
         "\n";
}

}  // namespace sapphire::timeline
