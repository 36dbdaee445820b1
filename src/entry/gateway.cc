/** @file gateway.cc Callers' HTTP interface, `/v1/...` and `/services/...`. */
#include <boost/json.hpp>
#include <utility>

#include "entry/attempt_func.h"
#include "entry/caller_request_func.h"
#include "entry/claim_func.h"
#include "entry/gateway_base.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::Task;

namespace {

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kRetryAfter{1000};
/** Incarnation reported for requests that this process runs itself; any value
 * but 0, which means that the request was not sent. */
constexpr std::int64_t kOwnIncarnation = 1;

/** Sends the error as the last event of a stream that has begun, so that the
 * caller does not take the stream without the final [DONE] for complete. */
Task<> SendErrorEvent(http::ResponseWriter& writer, const Error& error,
                      const std::string& request_id) {
  std::string event = "data: {\"error\":";
  event += core::ProblemJson(error, request_id);
  event += "}\n\n";
  try {
    co_await writer.Write(event);
  } catch (const http::TransportError&) {
    // The caller has disconnected.
  }
}

/** @return True if the failure is the entry's own, so that the next entry in
 * the ranking may run the request. */
bool MayTryNextEntry(const AttemptResult& result) {
  const bool not_sent = result.incarnation == 0;
  const ErrorCode code = result.error->code();
  return not_sent || code == ErrorCode::kLinkLost ||
         code == ErrorCode::kLeaving;
}

/** @return True for a refusal that a newer configuration may not call for. */
bool RestsOnConfiguration(ErrorCode code) {
  return code == ErrorCode::kUnknownModel ||
         code == ErrorCode::kUnknownAdapter ||
         code == ErrorCode::kUnknownService;
}

}  // namespace

Gateway::Gateway(core::VmId self, CallerLimits limits,
                 GatewayDependencies parts)
    : self_(std::move(self)), limits_(limits), deps_(parts) {}

Task<> Gateway::Handle(const http::Request& request,
                       http::ResponseWriter& writer) {
  const auto config = deps_.config.Current();
  if (!config) {
    throw Error(ErrorCode::kNotConfigured, "no plan was confirmed yet",
                kRetryAfter);
  }
  if (http::PathOf(request.target) == "/v1/models") {
    co_await writer.Send(http::MakeResponse(kOk, "application/json",
                                            ModelsJson(config->intent)));
    co_return;
  }
  const core::SteadyTime arrived = deps_.clock.Now();
  CallerRequest parsed = co_await ReadRequest(request, arrived);
  co_await RunRequest(request, std::move(parsed), arrived, writer);
}

/** Parses the request. Callers take a denial as final, so one that rests on the
 * configuration is given only if that is the newest one; otherwise callers are
 * asked to return. */
Task<CallerRequest> Gateway::ReadRequest(const http::Request& request,
                                         core::SteadyTime arrived) {
  CallerRequest parsed;
  std::optional<Error> denial = FindDenial(request, parsed);
  if (!denial) co_return parsed;
  const bool confirmed = co_await deps_.head_check.Confirm(arrived);
  denial = FindDenial(request, parsed);
  if (!denial) co_return parsed;
  if (confirmed) throw Error(*denial);
  throw Error(ErrorCode::kConfigurationStale, denial->what(), kRetryAfter);
}

/** @return Why the configuration in force does not allow the request, if it
 * does not. @throws Error for any other refusal. */
std::optional<Error> Gateway::FindDenial(const http::Request& request,
                                         CallerRequest& out) const {
  try {
    out = ReadCallerRequest(request, deps_.config.Current()->intent, limits_);
  } catch (const Error& e) {
    if (!RestsOnConfiguration(e.code())) throw;
    return e;
  }
  return std::nullopt;
}

/** @return What to answer to a request that this entry's configuration allowed
 * and another VM denied by its own: that one may be older. */
Task<Error> Gateway::ReviewDenial(const http::Request& request,
                                  core::SteadyTime arrived, Error denial) {
  try {
    co_await ReadRequest(request, arrived);
  } catch (const Error& e) {
    co_return e.WithOutcome(denial.outcome());
  }
  co_return Error(ErrorCode::kConfigurationStale, denial.what(), kRetryAfter)
      .WithOutcome(denial.outcome());
}

Task<> Gateway::RunRequest(const http::Request& received, CallerRequest request,
                           core::SteadyTime arrived,
                           http::ResponseWriter& writer) {
  const core::SteadyTime deadline = arrived + request.timeout;
  HttpSink sink(writer, request.id.value(), request.stream);
  std::optional<Error> failure;
  try {
    if (request.non_idempotent) {
      co_await RunAtPrimaryEntry(ToRun(request), deadline, sink);
    } else {
      co_await deps_.dispatcher.Run(ToRun(request), deadline, sink);
    }
  } catch (const Error& e) {
    failure = e;
  }
  if (failure && RestsOnConfiguration(failure->code())) {
    failure = co_await ReviewDenial(received, arrived, *failure);
  }
  RecordRequestEnd(request, arrived, failure ? &*failure : nullptr);
  if (!failure) co_return;
  if (writer.started() && request.stream) {
    co_await SendErrorEvent(writer, *failure, request.id.value());
  }
  throw Error(*failure);
}

/** Runs a non-idempotent request at its primary entry, or at the next one in
 * the ranking if that is unreachable. Concurrent runs at two
 * entries are harmless, as only the first writer of the claim dispatches it. */
Task<> Gateway::RunAtPrimaryEntry(gen::Run run, core::SteadyTime deadline,
                                  AnswerSink& sink) {
  bool may_have_run = false;
  for (const KnownEntry& entry : deps_.placer.RankedEntries(ClaimKey(run))) {
    const AttemptResult result =
        co_await RunAtEntry(entry, run, deadline, sink);
    if (result.end == AttemptEnd::kCompleted) co_return;
    if (result.end != AttemptEnd::kNotStarted) may_have_run = true;
    // An entry that was lost may have dispatched the request. A later entry
    // that did not run it can't rule that out.
    const Error error = may_have_run
                            ? result.error->WithOutcome(core::Outcome::kUnknown)
                            : *result.error;
    if (sink.started() || !MayTryNextEntry(result)) throw Error(error);
    deps_.directory.MarkUnreachable(entry.vm);
    sink.Reset();
  }
  const Error none(ErrorCode::kNoEndpoint, "no home entry could be asked",
                   kRetryAfter);
  throw may_have_run ? none.WithOutcome(core::Outcome::kUnknown) : none;
}

Task<AttemptResult> Gateway::RunAtEntry(KnownEntry entry, gen::Run run,
                                        core::SteadyTime deadline,
                                        AnswerSink& sink) {
  if (entry.vm != self_) {
    co_return co_await RunAttempt(deps_.links, entry.address, std::move(run),
                                  deadline, sink, deps_.clock);
  }
  try {
    co_await deps_.once_runner.Run(std::move(run), deadline, sink);
  } catch (const Error& e) {
    const bool not_run = e.outcome() == core::Outcome::kNotRun;
    co_return AttemptResult{
        not_run ? AttemptEnd::kNotStarted : AttemptEnd::kUnknown, e,
        kOwnIncarnation};
  }
  co_return AttemptResult{AttemptEnd::kCompleted, std::nullopt,
                          kOwnIncarnation};
}

void Gateway::RecordRequestEnd(const CallerRequest& request,
                               core::SteadyTime arrived, const Error* error) {
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      deps_.clock.Now() - arrived);
  deps_.metrics.RecordRequest(
      error == nullptr ? "ok" : core::InfoOf(error->code()).name, took);
  const bool not_run =
      error != nullptr && error->outcome() == core::Outcome::kNotRun;
  deps_.log.Event(
      core::LogLevel::kInfo, core::LogCategory::kRequest, "request_ended",
      {{"request", request.id},
       {"service", request.service},
       {"model", request.model},
       {"result", error == nullptr ? "ok" : core::InfoOf(error->code()).name},
       {"not_run", not_run},
       {"took_ms", took},
       {"detail", error == nullptr ? "" : error->detail()}});
}

}  // namespace sapphire::entry
