/** @file runner.cc Runs callers' requests at the engine. */
#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <exception>
#include <string>
#include <utility>

#include "endpoint/runner_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Millis;
using core::Task;

namespace {

constexpr int kNotFound = 404;
constexpr Millis kBusyRetryAfter{500};
/** How long a broken answer waits for a status that shows whether the engine
 * crashed. */
constexpr Millis kDiagnoseTimeout{1000};

http::Request ToHttp(const gen::Run& run) {
  http::Request request;
  request.method = run.method;
  request.target = run.path;
  request.body = run.body;
  if (!run.content_type.empty()) {
    request.headers.push_back({"Content-Type", run.content_type});
  }
  request.headers.push_back({"X-Request-Id", run.request_id});
  if (!run.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", run.idempotency_key});
  }
  return request;
}

gen::Message HeadMessage(const http::ResponseHead& head) {
  gen::RunHead out;
  out.status = head.status;
  out.content_type =
      std::string(http::FindHeader(head.headers, "Content-Type").value_or(""));
  gen::Message message;
  message.__set_run_head(out);
  return message;
}

gen::Message ChunkMessage(std::int64_t sequence, std::string data) {
  gen::Chunk chunk;
  chunk.sequence = sequence;
  chunk.data = std::move(data);
  gen::Message message;
  message.__set_chunk(chunk);
  return message;
}

gen::Message EndMessage(std::int64_t chunks, std::int64_t bytes) {
  gen::RunEnd end;
  end.chunks = chunks;
  end.bytes = bytes;
  gen::Message message;
  message.__set_run_end(end);
  return message;
}

}  // namespace

Runner::Runner(external::Engine& engine, EngineStatusPoller* status_poller,
               Admission& admission, AttemptTable& attempts,
               const core::Clock& clock, const core::Logger& log,
               Metrics& metrics)
    : engine_(engine),
      status_poller_(status_poller),
      admission_(admission),
      attempts_(attempts),
      clock_(clock),
      log_(log),
      metrics_(metrics) {}

Millis Runner::RemainingTime(const RunState& state) const {
  const auto left =
      std::chrono::duration_cast<Millis>(state.deadline - clock_.Now());
  return std::max(left, Millis(1));
}

Task<> Runner::Serve(std::shared_ptr<link::Call> call, gen::Run run) {
  if (run.attempt_id.empty()) {
    throw Error(ErrorCode::kMalformedRequest, "attempt_id: is empty");
  }
  if (run.remaining_ms <= 0) {
    throw Error(ErrorCode::kDeadlineTooShort, run.request_id);
  }
  auto state = std::make_shared<RunState>();
  state->call = std::move(call);
  state->deadline = clock_.Now() + Millis(run.remaining_ms);
  state->run = std::move(run);
  // A caller that gives up must not keep the engine busy: whichever of the two
  // ends first cancels the other, which closes the connection to the engine.
  using boost::asio::experimental::awaitable_operators::operator||;
  co_await (ForwardAndStoreError(state) || WatchCaller(state));
  LogOutcome(*state);
  if (state->error) throw *state->error;
}

void Runner::LogOutcome(const RunState& state) const {
  const bool refused =
      state.error && state.error->outcome() == core::Outcome::kNotRun;
  const std::string result =
      state.error ? std::string(core::InfoOf(state.error->code()).name) : "ok";
  if (refused) {
    metrics_.Refused(state.error->code());
  } else {
    metrics_.RunEnded(result);
  }
  log_.Event(state.error ? LogLevel::kWarning : LogLevel::kInfo,
             LogCategory::kRequest, refused ? "run_refused" : "run_ended",
             {{"request", state.run.request_id},
              {"attempt", state.run.attempt_id},
              {"model", state.run.model},
              {"result", result},
              {"bytes", state.bytes}});
}

/** Waits until the caller gives up or the deadline passes; a Run call's opener
 * sends no further messages. */
Task<> Runner::WatchCaller(RunStatePtr state) {
  std::optional<Error> gone;
  while (!gone) {
    try {
      co_await state->call->Receive(RemainingTime(*state));
    } catch (const Error& e) {
      gone = e;
    }
    // A timeout before the deadline doesn't mean that the caller gave up.
    if (gone && gone->code() == ErrorCode::kTimedOut) {
      if (clock_.Now() < state->deadline) gone.reset();
    }
  }
  const bool late = gone->code() == ErrorCode::kTimedOut;
  if (!state->started) attempts_.Void(core::AttemptId(state->run.attempt_id));
  const ErrorCode not_run =
      late ? ErrorCode::kDeadlineTooShort : ErrorCode::kCancelled;
  const ErrorCode may_have_run =
      late ? ErrorCode::kTimedOut : ErrorCode::kCancelled;
  state->error =
      Error(state->started ? may_have_run : not_run, state->run.request_id);
}

/** Runs Forward and stores its failure as the request's error, because an
 * operand of || that throws would not end the other. If WatchCaller ended
 * first, the error here only results from the cancellation and is dropped. */
Task<> Runner::ForwardAndStoreError(RunStatePtr state) {
  std::optional<Error> failure;
  try {
    co_await Forward(state);
  } catch (const Error& e) {
    failure = e;
  } catch (const std::exception& e) {
    failure = Error(ErrorCode::kInternal, e.what());
  }
  if (!state->error) state->error = failure;
}

Task<> Runner::Forward(RunStatePtr state) {
  const RunSlot slot = co_await admission_.Admit(state->run, state->deadline);
  // From here on the attempt counts as started, and VoidAttempt can no longer
  // prevent it.
  attempts_.Start(core::AttemptId(state->run.attempt_id));
  state->started = true;
  const auto answer = co_await OpenAtEngine(state);
  if (status_poller_ != nullptr && answer->head().status == kNotFound) {
    // An engine that has just restarted doesn't know the model. It has not run
    // the request, and the caller's request is not at fault.
    attempts_.RevertStart(core::AttemptId(state->run.attempt_id));
    throw Error(ErrorCode::kNoCapacity, "the engine lost " + state->run.model,
                kBusyRetryAfter);
  }
  co_await Stream(state, *answer);
}

Task<std::unique_ptr<http::ResponseStream>> Runner::OpenAtEngine(
    RunStatePtr state) {
  if (status_poller_ != nullptr) {
    const auto status = status_poller_->Latest();
    state->engine_incarnation = status ? status->incarnation : 0;
  }
  std::optional<http::TransportError> failure;
  try {
    co_return co_await engine_.Run(ToHttp(state->run), RemainingTime(*state));
  } catch (const http::TransportError& e) {
    failure = e;
  }
  if (!failure->may_have_run()) {
    attempts_.RevertStart(core::AttemptId(state->run.attempt_id));
    throw Error(ErrorCode::kEngineUnavailable, failure->what(),
                kBusyRetryAfter);
  }
  const ErrorCode why = co_await DiagnoseFailure(state, failure->timed_out());
  throw Error(why, state->run.request_id);
}

Task<> Runner::Stream(RunStatePtr state, http::ResponseStream& answer) {
  co_await state->call->Send(HeadMessage(answer.head()));
  state->head_sent = true;
  while (true) {
    std::optional<http::TransportError> failure;
    http::BodyPart part;
    try {
      part = co_await answer.Read(RemainingTime(*state));
    } catch (const http::TransportError& e) {
      failure = e;
    }
    if (failure) {
      const ErrorCode why =
          co_await DiagnoseFailure(state, failure->timed_out());
      throw Error(why, state->run.request_id);
    }
    auto* bytes = std::get_if<std::string>(&part);
    if (bytes == nullptr) {
      if (std::get<http::BodyEnd>(part) == http::BodyEnd::kStated) break;
      // A crashed engine's connection is closed in an orderly way.
      const ErrorCode why = co_await DiagnoseFailure(state, false);
      throw Error(why, state->run.request_id);
    }
    state->bytes += static_cast<std::int64_t>(bytes->size());
    co_await state->call->Send(
        ChunkMessage(state->chunks++, std::move(*bytes)));
  }
  co_await state->call->Send(EndMessage(state->chunks, state->bytes));
}

/** Distinguishes a crashed engine from a broken connection: only a crash counts
 * against the request. @return A code whose outcome is never "not run". */
Task<ErrorCode> Runner::DiagnoseFailure(RunStatePtr state, bool timed_out) {
  if (timed_out && clock_.Now() >= state->deadline) {
    co_return ErrorCode::kTimedOut;
  }
  if (status_poller_ != nullptr) {
    const auto status =
        co_await status_poller_->WaitForNewStatus(kDiagnoseTimeout);
    if (!status || status->incarnation != state->engine_incarnation) {
      co_return ErrorCode::kEngineCrashed;
    }
  }
  co_return state->head_sent ? ErrorCode::kAnswerCut
                             : ErrorCode::kOutcomeUnknown;
}

}  // namespace sapphire::endpoint
