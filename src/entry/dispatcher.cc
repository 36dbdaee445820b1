/** @file dispatcher.cc Runs idempotent requests, with retries. */
#include <utility>

#include "core/random_func.h"
#include "entry/attempt_func.h"
#include "entry/dispatcher_base.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::Task;

namespace {

constexpr int kMaxAttempts = 6;

gen::RunResult::type ResultOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kCompleted:
      return gen::RunResult::COMPLETED;
    case AttemptEnd::kNotStarted:
      return gen::RunResult::NOT_STARTED;
    case AttemptEnd::kCrashed:
      return gen::RunResult::ENGINE_CRASHED;
    case AttemptEnd::kUnknown:
    case AttemptEnd::kSinkClosed:
      return gen::RunResult::ABANDONED;
  }
  return gen::RunResult::ABANDONED;
}

bool MayRetry(const AttemptResult& result) {
  if (result.end == AttemptEnd::kSinkClosed) return false;
  return result.error->code() != ErrorCode::kTimedOut;
}

}  // namespace

Dispatcher::Dispatcher(Placer& placer, link::LinkNode& links,
                       const core::Clock& clock, const core::Logger& log)
    : placer_(placer), links_(links), clock_(clock), log_(log) {}

Task<> Dispatcher::Run(gen::Run run, core::SteadyTime deadline,
                       AnswerSink& sink) {
  {
    const std::lock_guard lock(budget_mutex_);
    policy::RecordFirstTry(retry_budget_);
  }
  std::set<core::EndpointId> avoid;
  // Error of the newest attempt that may have run. From then on the outcome
  // "not run" would be wrong, so the caller gets this error and not the refusal
  // of a later placement.
  std::optional<Error> may_have_run;
  const auto abandoned = [&sink] { return sink.abandoned(); };
  for (int attempt = 1;; ++attempt) {
    std::unique_ptr<Placement> place;
    std::optional<Error> refused;
    try {
      place = co_await placer_.Place(run, avoid, deadline, abandoned);
    } catch (const Error& e) {
      refused = e;
    }
    if (refused) throw may_have_run ? *may_have_run : *refused;
    const AttemptResult result =
        co_await RunAtPlacement(*place, run, deadline, sink);
    if (result.end == AttemptEnd::kCompleted) co_return;
    if (result.end != AttemptEnd::kNotStarted) may_have_run = result.error;
    // Once a part was sent there is no retry; the receiver gets an explicit
    // error.
    if (sink.started() || attempt == kMaxAttempts || !MayRetry(result) ||
        !TakeRetryToken()) {
      throw may_have_run ? *may_have_run : *result.error;
    }
    sink.Reset();
    avoid.insert(core::EndpointId(place->placed().endpoint));
  }
}

Task<AttemptResult> Dispatcher::RunAtPlacement(Placement& place, gen::Run run,
                                               core::SteadyTime deadline,
                                               AnswerSink& sink) {
  const gen::Placed placed = place.placed();
  run.attempt_id = core::RandomHexId();
  run.keep_alive_ms = placed.keep_alive_ms;
  const AttemptResult result =
      co_await RunAttempt(links_, placed.address, run, deadline, sink, clock_);
  place.Finish(ResultOf(result.end));
  if (result.end != AttemptEnd::kCompleted) {
    log_.Event(core::LogLevel::kInfo, core::LogCategory::kRequest,
               "attempt_failed",
               {{"request", run.request_id},
                {"endpoint", placed.endpoint},
                {"attempt", run.attempt_id},
                {"error", result.error->what()}});
  }
  co_return result;
}

/** Limits retries to a fraction of the first attempts over all requests of this
 * entry, so that retries do not overload a failing fleet. */
bool Dispatcher::TakeRetryToken() {
  const std::lock_guard lock(budget_mutex_);
  return policy::TakeRetry(retry_budget_);
}

}  // namespace sapphire::entry
