/** @file error.cc The error table. */
#include <array>
#include <boost/json.hpp>

#include "core/error_type.h"

namespace sapphire::core {

namespace {

using enum ErrorCode;
constexpr auto kNotRun = Outcome::kNotRun;
constexpr auto kUnknown = Outcome::kUnknown;

constexpr std::array kErrorTable = {
    ErrorInfo{kMalformedRequest, "malformed_request", 400, kNotRun,
              "The request could not be read"},
    ErrorInfo{kUnknownModel, "unknown_model", 404, kNotRun,
              "No such model is offered"},
    ErrorInfo{kUnknownAdapter, "unknown_adapter", 404, kNotRun,
              "No such adapter is offered for this model"},
    ErrorInfo{kUnknownService, "unknown_service", 404, kNotRun,
              "No such service is offered"},
    ErrorInfo{kUnknownPath, "unknown_path", 404, kNotRun,
              "Nothing is served at this path"},
    ErrorInfo{kBodyTooLarge, "body_too_large", 413, kNotRun,
              "The body is over the limit"},
    ErrorInfo{kHeaderTooLarge, "header_too_large", 431, kNotRun,
              "The header fields are over the limit"},
    ErrorInfo{kBadHeader, "bad_header", 400, kNotRun,
              "A header field has a value that can't be used"},
    ErrorInfo{kBadSettings, "bad_settings", 500, kNotRun,
              "The settings can't be used"},
    ErrorInfo{kBadIntent, "bad_intent", 400, kNotRun,
              "The intent can't be used"},
    ErrorInfo{kIntentOverLimit, "intent_over_limit", 422, kNotRun,
              "The intent is over a limit"},
    ErrorInfo{kUnknownPlan, "unknown_plan", 404, kNotRun, "No such plan"},
    ErrorInfo{kPlanConflict, "plan_conflict", 409, kNotRun,
              "The configuration has changed since the plan was made"},
    ErrorInfo{kUnauthenticated, "unauthenticated", 401, kNotRun,
              "The request needs an API key that is in force"},
    ErrorInfo{kDeadlineTooShort, "deadline_too_short", 503, kNotRun,
              "The request can't be served in its time"},
    ErrorInfo{kQueueFull, "queue_full", 503, kNotRun, "Too many wait already"},
    ErrorInfo{kNoCapacity, "no_capacity", 503, kNotRun,
              "No endpoint has room for the model"},
    ErrorInfo{kReplicaLimit, "replica_limit", 503, kNotRun,
              "The model holds as many replicas as were decided"},
    ErrorInfo{kOverShare, "over_share", 429, kNotRun,
              "The owner's share is used up"},
    ErrorInfo{kOverQuota, "over_quota", 429, kNotRun,
              "The organisation's quota is used up"},
    ErrorInfo{kConfigurationStale, "configuration_stale", 503, kNotRun,
              "The configuration in force could not be confirmed in time"},
    ErrorInfo{kQuarantined, "quarantined", 422, kNotRun,
              "This request has crashed engines and is not run again"},
    ErrorInfo{kLeaving, "leaving", 503, kNotRun, "The VM is leaving"},
    ErrorInfo{kNotConfigured, "not_configured", 503, kNotRun,
              "No configuration is in force yet"},
    ErrorInfo{kNoEndpoint, "no_endpoint", 503, kNotRun,
              "No endpoint for this can be reached"},
    ErrorInfo{kStreamVersionGone, "stream_version_gone", 503, kNotRun,
              "No engine of the software version that began the stream serves"},
    ErrorInfo{kStreamVersionUnknown, "stream_version_unknown", 503, kNotRun,
              "It is not known which software version began the stream"},
    ErrorInfo{kAttemptVoided, "attempt_voided", 503, kNotRun,
              "This attempt was called off before it started"},
    ErrorInfo{kInProgress, "in_progress", 409, kUnknown,
              "The same non-idempotent request is still running"},
    ErrorInfo{kOverMemory, "over_memory", 503, kNotRun,
              "The endpoint's memory is spoken for"},
    ErrorInfo{kNoRequestMemory, "no_request_memory", 503, kNotRun,
              "This VM has no memory left for the request"},
    ErrorInfo{kLoadFailed, "load_failed", 503, kNotRun,
              "The model could not be loaded"},
    ErrorInfo{kEngineCrashed, "engine_crashed", 502, kUnknown,
              "The engine died while the request ran"},
    ErrorInfo{kEngineRefusedOrder, "engine_refused_order", 503, kNotRun,
              "The engine refused the order"},
    ErrorInfo{kEngineReplaced, "engine_replaced", 503, kNotRun,
              "The engine has been started again since"},
    ErrorInfo{kNotHolder, "not_holder", 503, kNotRun,
              "This process may not give the engine orders now"},
    ErrorInfo{kEngineUnavailable, "engine_unavailable", 503, kNotRun,
              "The engine can't be reached"},
    ErrorInfo{kTimedOut, "timed_out", 504, kUnknown,
              "The request's time has run out"},
    ErrorInfo{kOutcomeUnknown, "outcome_unknown", 502, kUnknown,
              "Whether the request ran can't be told"},
    ErrorInfo{kAlreadyRan, "already_ran", 409, kUnknown,
              "The request has run; its answer is no longer held"},
    ErrorInfo{kAnswerCut, "answer_cut", 502, kUnknown,
              "The answer ended before it was whole"},
    ErrorInfo{kLinkLost, "link_lost", 502, kUnknown,
              "The link to another VM was lost"},
    ErrorInfo{kCancelled, "cancelled", 499, kUnknown, "The caller gave up"},
    ErrorInfo{kPlatformUnavailable, "platform_unavailable", 503, kNotRun,
              "A service of the platform can't be reached"},
    ErrorInfo{kPlatformUnknownOutcome, "platform_unknown_outcome", 503,
              kUnknown, "A write to the platform may have taken effect"},
    ErrorInfo{kInternal, "internal", 500, kUnknown, "Internal error"},
};

}  // namespace

const ErrorInfo& InfoOf(ErrorCode code) {
  for (const ErrorInfo& info : kErrorTable) {
    if (info.code == code) return info;
  }
  return kErrorTable.back();
}

ErrorCode CodeNamed(std::string_view name) {
  for (const ErrorInfo& info : kErrorTable) {
    if (info.name == name) return info.code;
  }
  return kInternal;
}

Error::Error(ErrorCode code, const std::string& detail,
             std::optional<std::chrono::milliseconds> retry_after)
    : std::runtime_error(std::string(InfoOf(code).name) + ": " + detail),
      code_(code),
      detail_(detail),
      retry_after_(retry_after),
      outcome_(InfoOf(code).outcome) {}

Error Error::WithOutcome(Outcome outcome) const {
  Error copy = *this;
  copy.outcome_ = outcome;
  return copy;
}

std::string ProblemJson(const Error& error, std::string_view request_id) {
  const ErrorInfo& info = InfoOf(error.code());
  boost::json::object problem;
  problem["type"] = "urn:sapphireyoke:" + std::string(info.name);
  problem["title"] = info.title;
  problem["status"] = info.http_status;
  problem["detail"] = error.detail();
  problem["outcome"] =
      error.outcome() == Outcome::kNotRun ? "not_run" : "unknown";
  problem["request_id"] = request_id;
  if (error.retry_after()) {
    problem["retry_after_ms"] = error.retry_after()->count();
  }
  return boost::json::serialize(problem);
}

}  // namespace sapphire::core
