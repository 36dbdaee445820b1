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
constexpr std::chrono::seconds kWakeUpMemory{60};

struct CauseName {
  LossCause cause;
  std::string_view name;
};

constexpr CauseName kCauseNames[] = {
    {LossCause::kLoadFromMemory, "load_from_memory"},
    {LossCause::kLoadFromDisk, "load_from_disk"},
    {LossCause::kLoadFromStore, "load_from_store"},
    {LossCause::kWakeUpFailed, "wake_up_failed"},
    {LossCause::kAdapter, "adapter"},
    {LossCause::kNoRoom, "no_room"},
    {LossCause::kNoEngine, "no_engine"},
    {LossCause::kSlowFirstToken, "slow_first_token"},
    {LossCause::kPause, "pause"},
    {LossCause::kEngineSilent, "engine_silent"},
    {LossCause::kEngineBroke, "engine_broke"},
    {LossCause::kEngineError, "engine_error"},
    {LossCause::kSentAgain, "sent_again"},
    {LossCause::kEntryLeaving, "entry_leaving"},
    {LossCause::kNotConfigured, "not_configured"},
    {LossCause::kCrashesEngines, "crashes_engines"},
    {LossCause::kCallerLeft, "caller_left"},
    {LossCause::kUnknown, "unknown"},
};

/** An outcome that determines the cause. */
struct PlainCause {
  std::string_view outcome;
  LossCause cause;
};

constexpr PlainCause kPlainCauses[] = {
    {"leaving", LossCause::kEntryLeaving},
    {"not_configured", LossCause::kNotConfigured},
    {"quarantined", LossCause::kCrashesEngines},
    {"engine_failed", LossCause::kEngineError},
    {"timed_out", LossCause::kEngineSilent},
};

/** Outcomes of invalid requests, which are not counted. */
constexpr std::string_view kNotOwed[] = {"unknown_path", "malformed_request",
                                         "unknown_model", "unknown_service"};

milliseconds MillisOf(const Event& event, std::string_view field) {
  const std::string text = FieldOf(event, field);
  milliseconds::rep millis = 0;
  std::from_chars(text.data(), text.data() + text.size(), millis);
  return milliseconds(millis);
}

/** Events before a request's end that concern its model and its sends. */
class Trail {
 public:
  void Note(const Event& event) {
    const core::ModelId model(FieldOf(event, "model"));
    if (event.name == "wake" || event.name == "add_replica") {
      wakes_[model] = event;
    } else if (event.name == "wake_failed" || event.name == "wake_impossible") {
      troubles_[model] = event;
    } else if (event.name == "woken") {
      troubles_.erase(model);
    } else if (event.name == "send_failed") {
      failed_sends_[event.request] = event;
    }
  }

  /** @return What a request that was not sent, or sent late, waited for. */
  [[nodiscard]] LossCause WaitOf(const Event& end) const {
    const core::ModelId model(FieldOf(end, "model"));
    if (model.empty()) return LossCause::kNoEngine;
    const Event* wake = Fresh(wakes_, model, end);
    const Event* trouble = Fresh(troubles_, model, end);
    const bool later =
        trouble != nullptr && (wake == nullptr || wake->time <= trouble->time);
    if (later) {
      return trouble->name == "wake_impossible" ? LossCause::kNoRoom
                                                : LossCause::kWakeUpFailed;
    }
    if (wake != nullptr) return TierOf(*wake);
    if (!FieldOf(end, "adapter").empty()) return LossCause::kAdapter;
    return LossCause::kNoEngine;
  }

  /** @return Why a request's latest send failed; nothing if none did. */
  [[nodiscard]] std::optional<LossCause> SendOf(const Event& end) const {
    const auto it = failed_sends_.find(end.request);
    if (it == failed_sends_.end()) return std::nullopt;
    const std::string reason = FieldOf(it->second, "reason");
    const auto says = [&reason](std::string_view text) {
      return reason.find(text) != std::string::npos;
    };
    if (FieldOf(it->second, "end") == "engine_failed") {
      return LossCause::kEngineError;
    }
    const bool silent = says("timeout") || says("silence");
    return silent ? LossCause::kEngineSilent : LossCause::kEngineBroke;
  }

 private:
  using ByModel = std::map<core::ModelId, Event>;

  static const Event* Fresh(const ByModel& events, const core::ModelId& model,
                            const Event& end) {
    const auto it = events.find(model);
    if (it == events.end()) return nullptr;
    return end.time - it->second.time < kWakeUpMemory ? &it->second : nullptr;
  }

  static LossCause TierOf(const Event& wake) {
    const std::string tier = FieldOf(wake, "tier");
    if (tier == "remote") return LossCause::kLoadFromStore;
    if (tier == "memory") return LossCause::kLoadFromMemory;
    return LossCause::kLoadFromDisk;
  }

  ByModel wakes_;
  ByModel troubles_;
  std::map<core::RequestId, Event> failed_sends_;
};

LossCause CauseOfFailure(const Event& end, const Trail& trail) {
  const std::string outcome = FieldOf(end, "outcome");
  for (const PlainCause& it : kPlainCauses) {
    if (it.outcome == outcome) return it.cause;
  }
  if (const auto cause = trail.SendOf(end)) return *cause;
  if (FieldOf(end, "sends") == "0") return trail.WaitOf(end);
  return outcome == "caller_left" ? LossCause::kCallerLeft
                                  : LossCause::kUnknown;
}

/** @return Why a complete answer was late; nothing if it was in time. */
std::optional<LossCause> CauseOfLateness(const Event& end, const Trail& trail) {
  const milliseconds objective = MillisOf(end, "objective_ms");
  const milliseconds first_byte = MillisOf(end, "first_byte_ms");
  const milliseconds max_pause = MillisOf(end, "max_pause_ms");
  const bool began_late = objective.count() > 0 && first_byte > objective;
  const bool paused =
      max_pause.count() > 0 && MillisOf(end, "longest_pause_ms") > max_pause;
  if (!began_late && !paused) return std::nullopt;
  if (trail.SendOf(end)) return LossCause::kSentAgain;
  if (!began_late) return LossCause::kPause;
  const bool waited = 2 * MillisOf(end, "first_send_ms") > first_byte;
  return waited ? trail.WaitOf(end) : LossCause::kSlowFirstToken;
}

std::optional<Loss> LossOf(const Event& end, const Trail& trail) {
  Loss loss;
  loss.request = end.request;
  loss.route = FieldOf(end, "route");
  loss.time = end.time;
  loss.took = MillisOf(end, "total_ms");
  const std::string outcome = FieldOf(end, "outcome");
  if (outcome == "served") {
    const auto cause = CauseOfLateness(end, trail);
    if (!cause) return std::nullopt;
    loss.kind = LossKind::kLate;
    loss.cause = *cause;
    return loss;
  }
  loss.kind =
      FieldOf(end, "sends") == "0" ? LossKind::kRefused : LossKind::kFailed;
  loss.cause = CauseOfFailure(end, trail);
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

std::int64_t SecondOf(const Loss& loss, const LossAccount& account) {
  const auto since = loss.time - account.losses.front().time;
  return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

LossAccount AccountLosses(const std::vector<Event>& events) {
  LossAccount account;
  Trail trail;
  for (const Event& event : events) {
    trail.Note(event);
    if (event.name != "request_end") continue;
    const std::string outcome = FieldOf(event, "outcome");
    if (std::ranges::find(kNotOwed, outcome) != std::end(kNotOwed)) continue;
    ++account.requests;
    if (auto loss = LossOf(event, trail)) {
      account.losses.push_back(std::move(*loss));
    }
  }
  return account;
}

std::string RenderLosses(const LossAccount& account) {
  std::map<std::string, int> by_route;
  std::map<std::int64_t, int> by_second;
  for (const Loss& it : account.losses) {
    ++by_route[fmt::format("{:24} {:8} {:18}", it.route, NameOf(it.kind),
                           NameOf(it.cause))];
    ++by_second[SecondOf(it, account)];
  }
  std::string text = fmt::format("{} of {} requests lost\n\n{:24} {:8} {:18}\n",
                                 account.losses.size(), account.requests,
                                 "route", "how", "cause");
  for (const auto& [row, n] : by_route) text += fmt::format("{} {}\n", row, n);
  text += "\nsecond since the first loss, lost\n";
  for (const auto& [second, n] : by_second) {
    text += fmt::format("{:6} {}\n", second, n);
  }
  return text;
}

std::string RenderLossesJson(const LossAccount& account) {
  json::array losses;
  for (const Loss& it : account.losses) {
    losses.push_back(json::object{{"request", it.request.value()},
                                  {"route", it.route},
                                  {"how", std::string(NameOf(it.kind))},
                                  {"cause", std::string(NameOf(it.cause))},
                                  {"second", SecondOf(it, account)},
                                  {"took_ms", it.took.count()}});
  }
  return json::serialize(json::object{{"requests", account.requests},
                                      {"losses", std::move(losses)}}) +
         "\n";
}

}  // namespace sapphire::timeline
