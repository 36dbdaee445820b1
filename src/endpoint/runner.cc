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
constexpr Millis kExplainTime{1000};

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

Runner::Runner(external::Engine& engine, EngineFollower* follower,
               Admission& admission, AttemptTable& attempts,
               const core::Clock& clock, const core::Logger& log,
               Metrics& metrics)
    : engine_(engine),
      follower_(follower),
      admission_(admission),
      attempts_(attempts),
      clock_(clock),
      log_(log),
      metrics_(metrics) {}

Millis Runner::Left(const Trip& trip) const {
  const auto left =
      std::chrono::duration_cast<Millis>(trip.deadline - clock_.Now());
  return std::max(left, Millis(1));
}

Task<> Runner::Serve(std::shared_ptr<link::Call> call, gen::Run run) {
  if (run.attempt_id.empty()) {
    throw Error(ErrorCode::kMalformedRequest, "attempt_id: is empty");
  }
  if (run.remaining_ms <= 0) {
    throw Error(ErrorCode::kDeadlineTooShort, run.request_id);
  }
  auto trip = std::make_shared<Trip>();
  trip->call = std::move(call);
  trip->deadline = clock_.Now() + Millis(run.remaining_ms);
  trip->run = std::move(run);
  // A caller that gives up must not keep the engine busy: whichever of the two
  // ends first cancels the other, which closes the connection to the engine.
  using boost::asio::experimental::awaitable_operators::operator||;
  co_await (Pump(trip) || WatchCaller(trip));
  LogEnd(*trip);
  if (trip->error) throw *trip->error;
}

void Runner::LogEnd(const Trip& trip) const {
  const bool refused =
      trip.error && trip.error->outcome() == core::Outcome::kNotRun;
  const std::string result =
      trip.error ? std::string(core::InfoOf(trip.error->code()).name) : "ok";
  if (refused) {
    metrics_.Refused(trip.error->code());
  } else {
    metrics_.RunEnded(result);
  }
  log_.Event(trip.error ? LogLevel::kWarning : LogLevel::kInfo,
             LogCategory::kRequest, refused ? "run_refused" : "run_ended",
             {{"request", trip.run.request_id},
              {"attempt", trip.run.attempt_id},
              {"model", trip.run.model},
              {"result", result},
              {"bytes", trip.bytes}});
}

/** Waits until the caller gives up or the deadline passes; a Run call's opener
 * sends no further messages. */
Task<> Runner::WatchCaller(TripPtr trip) {
  std::optional<Error> gone;
  while (!gone) {
    try {
      co_await trip->call->Receive(Left(*trip));
    } catch (const Error& e) {
      gone = e;
    }
    // A timeout before the deadline doesn't mean that the caller gave up.
    if (gone && gone->code() == ErrorCode::kTimedOut) {
      if (clock_.Now() < trip->deadline) gone.reset();
    }
  }
  const bool late = gone->code() == ErrorCode::kTimedOut;
  if (!trip->started) attempts_.Void(core::AttemptId(trip->run.attempt_id));
  const ErrorCode not_run =
      late ? ErrorCode::kDeadlineTooShort : ErrorCode::kCancelled;
  const ErrorCode may_have_run =
      late ? ErrorCode::kTimedOut : ErrorCode::kCancelled;
  trip->error =
      Error(trip->started ? may_have_run : not_run, trip->run.request_id);
}

/** Runs Forward and stores its failure as the request's error, because an
 * operand of || that throws would not end the other. If WatchCaller ended
 * first, the error here only results from the cancellation and is dropped. */
Task<> Runner::Pump(TripPtr trip) {
  std::optional<Error> failure;
  try {
    co_await Forward(trip);
  } catch (const Error& e) {
    failure = e;
  } catch (const std::exception& e) {
    failure = Error(ErrorCode::kInternal, e.what());
  }
  if (!trip->error) trip->error = failure;
}

Task<> Runner::Forward(TripPtr trip) {
  const RunSlot slot = co_await admission_.Admit(trip->run, trip->deadline);
  // From here on the attempt counts as started, and VoidAttempt can no longer
  // prevent it.
  attempts_.Start(core::AttemptId(trip->run.attempt_id));
  trip->started = true;
  const auto answer = co_await OpenAtEngine(trip);
  if (follower_ != nullptr && answer->head().status == kNotFound) {
    // An engine that has just restarted doesn't know the model. It has not run
    // the request, and the caller's request is not at fault.
    attempts_.NeverStarted(core::AttemptId(trip->run.attempt_id));
    throw Error(ErrorCode::kNoCapacity, "the engine lost " + trip->run.model,
                kBusyRetryAfter);
  }
  co_await Stream(trip, *answer);
}

Task<std::unique_ptr<http::ResponseStream>> Runner::OpenAtEngine(TripPtr trip) {
  if (follower_ != nullptr) {
    const auto status = follower_->Latest();
    trip->engine_incarnation = status ? status->incarnation : 0;
  }
  std::optional<http::TransportError> failure;
  try {
    co_return co_await engine_.Run(ToHttp(trip->run), Left(*trip));
  } catch (const http::TransportError& e) {
    failure = e;
  }
  if (!failure->may_have_run()) {
    attempts_.NeverStarted(core::AttemptId(trip->run.attempt_id));
    throw Error(ErrorCode::kEngineUnavailable, failure->what(),
                kBusyRetryAfter);
  }
  const ErrorCode why = co_await ExplainBreak(trip, failure->timed_out());
  throw Error(why, trip->run.request_id);
}

Task<> Runner::Stream(TripPtr trip, http::ResponseStream& answer) {
  co_await trip->call->Send(HeadMessage(answer.head()));
  trip->head_sent = true;
  while (true) {
    std::optional<http::TransportError> failure;
    std::optional<std::string> part;
    try {
      part = co_await answer.Read(Left(*trip));
    } catch (const http::TransportError& e) {
      failure = e;
    }
    if (failure) {
      const ErrorCode why = co_await ExplainBreak(trip, failure->timed_out());
      throw Error(why, trip->run.request_id);
    }
    if (!part) break;
    trip->bytes += static_cast<std::int64_t>(part->size());
    co_await trip->call->Send(ChunkMessage(trip->chunks++, std::move(*part)));
  }
  co_await trip->call->Send(EndMessage(trip->chunks, trip->bytes));
}

/** Distinguishes a crashed engine from a broken connection: only a crash counts
 * against the request. @return A code whose outcome is never "not run". */
Task<ErrorCode> Runner::ExplainBreak(TripPtr trip, bool timed_out) {
  if (timed_out && clock_.Now() >= trip->deadline) {
    co_return ErrorCode::kTimedOut;
  }
  if (follower_ != nullptr) {
    const auto status = co_await follower_->Fresh(kExplainTime);
    if (!status || status->incarnation != trip->engine_incarnation) {
      co_return ErrorCode::kEngineCrashed;
    }
  }
  co_return trip->head_sent ? ErrorCode::kAnswerCut
                            : ErrorCode::kOutcomeUnknown;
}

}  // namespace sapphire::endpoint
