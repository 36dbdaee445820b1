/** @file attempt.cc One dispatch of a request over a link. */
#include <algorithm>
#include <utility>

#include "core/task_func.h"
#include "entry/attempt_func.h"
#include "http/http_type.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::Task;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kVoidTimeout{1000};
constexpr milliseconds kVoidPause{100};
/** Interval between checks whether the caller has disconnected. */
constexpr milliseconds kAbandonedPoll{250};

/** Checks that all parts of an answer arrive, in order. */
class CompletenessCheck {
 public:
  void Add(const gen::Chunk& chunk) {
    if (chunk.sequence != totals_.chunks) Fail("a part of it is missing");
    totals_.chunks += 1;
    totals_.bytes += static_cast<std::int64_t>(chunk.data.size());
  }

  void End(const gen::RunEnd& end) const {
    const bool whole =
        end.chunks == totals_.chunks && end.bytes == totals_.bytes;
    if (!whole) Fail("its totals don't match");
  }

 private:
  [[noreturn]] static void Fail(const std::string& why) {
    throw Error(ErrorCode::kAnswerCut, why);
  }

  gen::RunEnd totals_;
};

/** Polls while it waits for the next part, so that a caller that disconnects
 * before then does not keep an engine busy.
 * @throws core::Error, http::TransportError */
Task<gen::Message> ReceivePart(link::Call& call, core::SteadyTime deadline,
                               const AnswerSink& sink,
                               const core::Clock& clock) {
  while (true) {
    const milliseconds left = Remaining(clock, deadline);
    std::optional<Error> failure;
    try {
      co_return co_await call.Receive(std::min(left, kAbandonedPoll));
    } catch (const Error& e) {
      failure = e;
    }
    const bool waits_on =
        failure->code() == ErrorCode::kTimedOut && left > milliseconds::zero();
    if (!waits_on) throw Error(*failure);
    if (sink.abandoned()) {
      throw http::TransportError("the caller left", true, false);
    }
  }
}

/** Forwards the answer to `sink` until its end.
 * @throws core::Error, http::TransportError */
Task<> Relay(link::Call& call, core::SteadyTime deadline, AnswerSink& sink,
             const core::Clock& clock) {
  CompletenessCheck check;
  while (true) {
    gen::Message message = co_await ReceivePart(call, deadline, sink, clock);
    if (message.__isset.run_head) {
      co_await sink.Head(std::move(message.run_head));
    } else if (message.__isset.chunk) {
      check.Add(message.chunk);
      co_await sink.Part(std::move(message.chunk.data));
    } else if (message.__isset.run_end) {
      check.End(message.run_end);
      co_await sink.End();
      co_return;
    } else {
      throw Error(ErrorCode::kInternal,
                  "unexpected " + link::KindOf(message) + " in an answer");
    }
  }
}

AttemptResult FailureResult(const Error& error, std::int64_t incarnation) {
  if (error.outcome() == core::Outcome::kNotRun) {
    return {AttemptEnd::kNotStarted, error, incarnation};
  }
  const bool crashed = error.code() == ErrorCode::kEngineCrashed;
  return {crashed ? AttemptEnd::kCrashed : AttemptEnd::kUnknown, error,
          incarnation};
}

/** @return The open call, or null if the peer is unreachable; no byte of the
 * request was sent then. */
Task<std::shared_ptr<link::Call>> TryOpen(link::LinkNode& links,
                                          std::string address,
                                          gen::Message first) {
  try {
    co_return co_await links.Open(address, std::move(first));
  } catch (const Error&) {
    co_return nullptr;
  }
}

Task<std::optional<gen::AttemptState>> QueryAttemptState(
    link::LinkNode& links, std::string address, std::string attempt_id) {
  gen::VoidAttempt request;
  request.attempt_id = std::move(attempt_id);
  gen::Message message;
  message.__set_void_attempt(request);
  try {
    const auto call = co_await links.Open(address, std::move(message));
    const gen::Message answer = co_await call->Receive(kVoidTimeout);
    if (answer.__isset.attempt_state) co_return answer.attempt_state;
  } catch (const Error&) {
    // No answer: VoidAttempt retries until the deadline.
  }
  co_return std::nullopt;
}

}  // namespace

milliseconds Remaining(const core::Clock& clock, core::SteadyTime deadline) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - clock.Now());
  return std::max(left, milliseconds::zero());
}

Task<AttemptResult> RunAttempt(link::LinkNode& links, std::string address,
                               gen::Run run, core::SteadyTime deadline,
                               AnswerSink& sink, const core::Clock& clock) {
  run.remaining_ms = Remaining(clock, deadline).count();
  gen::Message first;
  first.__set_run(run);
  const auto call = co_await TryOpen(links, address, std::move(first));
  if (!call) {
    const Error error(ErrorCode::kNoEndpoint, address + " can't be reached");
    co_return AttemptResult{AttemptEnd::kNotStarted, error, 0};
  }
  const std::int64_t incarnation = call->peer().incarnation;
  try {
    co_await Relay(*call, deadline, sink, clock);
  } catch (const Error& e) {
    co_return FailureResult(e, incarnation);
  } catch (const http::TransportError& e) {
    const Error error(ErrorCode::kCancelled, e.what());
    co_return AttemptResult{AttemptEnd::kSinkClosed, error, incarnation};
  }
  co_return AttemptResult{AttemptEnd::kCompleted, std::nullopt, incarnation};
}

Task<bool> VoidAttempt(link::LinkNode& links, std::string address,
                       std::string attempt_id, std::int64_t incarnation,
                       core::SteadyTime deadline, const core::Clock& clock) {
  while (Remaining(clock, deadline) > milliseconds::zero()) {
    const auto state = co_await QueryAttemptState(links, address, attempt_id);
    if (state) {
      co_return !state->started && state->incarnation == incarnation;
    }
    co_await core::SleepFor(kVoidPause);
  }
  co_return false;
}

}  // namespace sapphire::entry
