/** @file exchange.cc Sends a request to one engine, relays its answer. */
#include <algorithm>
#include <memory>
#include <utility>

#include "fleet/instance_func.h"
#include "serving/exchange_base.h"
#include "serving/silence_watch_base.h"

namespace sapphire::serving {

namespace {

/** Connect timeout; an engine on a near VM accepts a connection in a few
 * milliseconds. */
constexpr milliseconds kConnectTimeout{400};

/** Largest body that is held; callers get it only when it is complete. */
constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
/** The same for the error page of a program that is no engine. */
constexpr std::size_t kMaxForeignErrorBytes = 64 * 1024;

constexpr std::string_view kPastDeadline =
    "the answer goes on after the deadline";

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooMany = 429;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

/** @return True for statuses that promise callers that the request has not run.
 */
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooMany || status == kUnavailable;
}

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

/** Result of one read of an answer. */
struct PartRead {
  /** Unspecified if `error` is set. */
  http::BodyPart part;
  std::string error;
  bool timed_out = false;
  bool oversized = false;
};

bool IsOversized(const http::TransportError& error) {
  return dynamic_cast<const http::OversizedAnswer*>(&error) != nullptr;
}

core::Task<PartRead> ReadPart(http::ResponseStream& stream,
                              milliseconds timeout) {
  PartRead read;
  try {
    read.part = co_await stream.Read(timeout);
  } catch (const http::TransportError& e) {
    read.error = e.what();
    read.timed_out = e.timed_out();
    read.oversized = IsOversized(e);
  }
  co_return read;
}

}  // namespace

Exchange::Exchange(http::Client& engine, const EngineWire& wire,
                   const CallerRequest& request, ExchangeLimits limits,
                   CallerConnection& caller, const core::Clock& clock,
                   ExchangeHooks hooks, const core::Executor& executor,
                   std::shared_ptr<AnswerBudget> budget)
    : engine_(engine),
      wire_(wire),
      request_(request),
      limits_(limits),
      caller_(caller),
      clock_(clock),
      hooks_(std::move(hooks)),
      watch_(executor, hooks_.silent, clock),
      budget_(std::move(budget)),
      event_share_(budget_) {
  caller_.sends.insert(abort_);
}

Exchange::~Exchange() { caller_.sends.erase(abort_); }

core::Task<std::optional<ExchangeResult>> Exchange::Open(SendOptions send,
                                                         bool is_stream) {
  addressed_ = send.instance;
  software_version_ = send.software_version;
  is_stream_ = is_stream;
  http::OpenOptions options;
  options.timeout = TimeToDeadline();
  options.connect_timeout = kConnectTimeout;
  options.fresh_connection = limits_.fresh_connection;
  options.abort = abort_;
  watch_.Restart(limits_.first_byte_silence);
  http::Request out = wire_.Compose(request_, send);
  try {
    stream_ = co_await engine_.Open(std::move(out), std::move(options));
  } catch (const http::TransportError& e) {
    ExchangeResult failure =
        MakeResult(e.may_have_run() ? ExchangeEnd::kLost : ExchangeEnd::kNotRun,
                   e.what(), e.timed_out());
    failure.oversized = IsOversized(e);
    failure.unreachable = !e.may_have_run() && stopped_ == StopReason::kNone;
    co_return failure;
  }
  answer_ = wire_.Read(stream_->head());
  hooks_.head_received(answer_);
  if (stopped_ != StopReason::kNone) {
    co_return MakeResult(ExchangeEnd::kLost, "", true);
  }
  if (is_stream_) watch_.Restart(limits_.pause);
  co_return EvaluateHead();
}

core::Task<ExchangeResult> Exchange::Relay() {
  if (is_stream_ && succeeded()) {
    co_return co_await RelayStream();
  }
  co_return co_await RelayBody();
}

void Exchange::Stop(StopReason reason) {
  stopped_ = reason;
  abort_->Now();
}

bool Exchange::succeeded() const { return IsSuccess(answer_.status); }

/** @return The result of the send, if the answer's head alone decides it. */
std::optional<ExchangeResult> Exchange::EvaluateHead() const {
  if (answer_.not_run || answer_.status == kMisdirected) {
    ExchangeResult refused =
        MakeResult(ExchangeEnd::kNotRun,
                   "refused with " + std::to_string(answer_.status), false);
    const bool misdirected = answer_.status == kMisdirected;
    refused.replaced = misdirected && !answer_.engine.empty() &&
                       answer_.engine != fleet::EngineOf(addressed_);
    refused.lacks_model = misdirected && !refused.replaced;
    refused.asks_for_rest = answer_.notice.rest.has_value();
    return refused;
  }
  // A duplicate answer to an earlier request may arrive on the connection.
  if (!answer_.id.empty() && answer_.id != request_.id) {
    return MakeResult(ExchangeEnd::kLost, "an answer to another request",
                      false);
  }
  // Another program may have the engine's address by now. Callers take a
  // success, a redirect or a denial as final.
  if (answer_.status < kFirstServerError && !answer_.genuine) {
    return MakeResult(
        ExchangeEnd::kLost,
        "no answer of an engine: status " + std::to_string(answer_.status),
        false);
  }
  // Relayed, the status would promise that the request has not run, which the
  // engine did not say.
  if (PromisesNotRun(answer_.status)) {
    return MakeResult(ExchangeEnd::kLost,
                      "status " + std::to_string(answer_.status) +
                          " without a word on whether it has run",
                      false);
  }
  return std::nullopt;
}

/** Reads the complete body first, as a truncated answer is never relayed;
 * only then calls `first_byte`. A plain body may end with an orderly close: an
 * engine that breaks one off resets the connection. */
core::Task<ExchangeResult> Exchange::RelayBody() {
  http::Response response;
  response.head = answer_.to_caller;
  const auto share = std::make_shared<BudgetShare>(budget_);
  while (true) {
    PartRead read = co_await ReadPart(*stream_, TimeToDeadline());
    if (read.oversized) {
      co_return GiveUpForSize(ExchangeEnd::kLost, read.error);
    }
    if (!read.error.empty()) {
      co_return MakeResult(ExchangeEnd::kLost, read.error, read.timed_out);
    }
    if (stopped_ != StopReason::kNone) {
      co_return MakeResult(ExchangeEnd::kLost, "", true);
    }
    if (const auto* end = std::get_if<http::BodyEnd>(&read.part)) {
      answer_end_.body_end = *end;
      break;
    }
    const std::string fault =
        AppendWithin(response.body, std::get<std::string>(read.part),
                     MaxBodyBytes(), *share);
    if (!fault.empty()) co_return GiveUpForSize(ExchangeEnd::kLost, fault);
    if (GoesOnPastDeadline()) {
      co_return MakeResult(ExchangeEnd::kLost, std::string(kPastDeadline),
                           true);
    }
  }
  hooks_.first_byte();
  if (!IsSuccess(answer_.status)) {
    ExchangeResult result =
        MakeResult(ExchangeEnd::kEngineFailed,
                   "status " + std::to_string(answer_.status), false);
    result.failure = std::move(response);
    result.failure_share = share;
    co_return result;
  }
  co_return co_await SendBody(std::move(response));
}

core::Task<ExchangeResult> Exchange::SendBody(http::Response response) {
  ExchangeResult result = MakeResult(ExchangeEnd::kServed, "", false);
  try {
    co_await caller_.writer.Send(std::move(response));
  } catch (const http::TransportError& e) {
    result = MakeResult(ExchangeEnd::kCallerLeft, e.what(), false);
  }
  co_return result;
}

/** Relays a stream as it arrives, complete events only. */
core::Task<ExchangeResult> Exchange::RelayStream() {
  if (!MayContinueStream()) {
    co_return MakeResult(EndOfBrokenStream(),
                         "another software version began the stream", false);
  }
  caller_.events.StartRun();
  bool first = true;
  while (true) {
    PartRead read = co_await ReadPart(*stream_, TimeToDeadline());
    if (read.oversized) {
      co_return GiveUpForSize(EndOfBrokenStream(), read.error);
    }
    if (!read.error.empty()) {
      co_return MakeResult(EndOfBrokenStream(), read.error, read.timed_out);
    }
    // Bytes that were received before the connection was closed may still be
    // read after it; another engine answers the request by then.
    if (stopped_ != StopReason::kNone) {
      co_return MakeResult(EndOfBrokenStream(), "", true);
    }
    const auto* end = std::get_if<http::BodyEnd>(&read.part);
    const bool over = end != nullptr;
    if (over) {
      answer_end_.body_end = *end;
      const std::string_view fault = FaultOfStreamEnd(*end);
      if (!fault.empty()) {
        co_return MakeResult(EndOfBrokenStream(), std::string(fault), false);
      }
    }
    std::string bytes =
        over ? caller_.events.TakeBlankLines()
             : caller_.events.Add(std::get<std::string>(read.part));
    answer_end_.partial_event_bytes = caller_.events.partial_bytes();
    if (!over) watch_.Restart(limits_.pause);
    hooks_.received();
    if (first && !over) {
      first = false;
      hooks_.first_byte();
    }
    const std::string failure = co_await Write(bytes, over);
    if (!failure.empty()) {
      co_return MakeResult(ExchangeEnd::kCallerLeft, failure, false);
    }
    if (over) co_return MakeResult(ExchangeEnd::kServed, "", false);
    // Complete events count as relayed, so they are before the answer is given
    // up.
    const std::string fault = FaultOfPartialEvent();
    if (!fault.empty()) co_return GiveUpForSize(EndOfBrokenStream(), fault);
    if (GoesOnPastDeadline()) {
      co_return MakeResult(EndOfBrokenStream(), std::string(kPastDeadline),
                           true);
    }
  }
}

/** @return Limit of the body; the answer is no success if it is no engine's. */
std::size_t Exchange::MaxBodyBytes() const {
  return answer_.genuine ? kMaxAnswerBytes : kMaxForeignErrorBytes;
}

/** @return Why the incomplete event can't be held; empty if it can. */
std::string Exchange::FaultOfPartialEvent() {
  const std::size_t bytes = caller_.events.partial_bytes();
  if (bytes > kMaxEventBytes) {
    return "an event exceeds " + std::to_string(kMaxEventBytes) + " bytes";
  }
  if (event_share_.Resize(bytes)) return "";
  return "the answers held exceed " + std::to_string(budget_->max_bytes()) +
         " bytes";
}

/** A timer does not end an answer whose next bytes are always there. On a busy
 * thread the last bytes of a complete answer may be read late, so a few parts
 * are. @return True if the answer is to be given up. */
bool Exchange::GoesOnPastDeadline() {
  if (clock_.Now() < limits_.deadline) return false;
  ++late_parts_;
  return late_parts_ > http::kMaxLateParts;
}

/** Closes the connection, so that no more of the answer is taken in. */
ExchangeResult Exchange::GiveUpForSize(ExchangeEnd end, std::string reason) {
  abort_->Now();
  caller_.events.StartRun();
  event_share_.Resize(0);
  ExchangeResult result = MakeResult(end, std::move(reason), false);
  result.oversized = true;
  return result;
}

/** @return False if the caller has events of another software version: what two
 * versions write does not fit together. */
bool Exchange::MayContinueStream() const {
  return !caller_.software_version ||
         *caller_.software_version == software_version_;
}

/** @return Why a stream that ends here was broken off; empty if it is complete.
 * A crashed engine's system closes the connection in an orderly way, so that a
 * close alone says little: inside an event, or before the first one, it is not
 * the end. */
std::string_view Exchange::FaultOfStreamEnd(http::BodyEnd end) const {
  if (caller_.events.IsInsideEvent()) return "the stream ends inside an event";
  if (end == http::BodyEnd::kConnectionClosed && !caller_.events.has_events()) {
    return "the connection was closed before any event";
  }
  return "";
}

ExchangeEnd Exchange::EndOfBrokenStream() const {
  return caller_.begun ? ExchangeEnd::kCutMidway : ExchangeEnd::kLost;
}

/** @return The error that prevents writing to the caller; empty if none. */
core::Task<std::string> Exchange::Write(const std::string& bytes, bool over) {
  std::string failure;
  if (!bytes.empty() && !caller_.software_version) {
    caller_.software_version = software_version_;
    hooks_.stream_begun();
  }
  try {
    if (!caller_.begun && (!bytes.empty() || over)) {
      caller_.begun = true;
      http::ResponseHead head = answer_.to_caller;
      co_await caller_.writer.Begin(std::move(head));
    }
    if (!bytes.empty()) {
      UpdateLongestPause();
      co_await caller_.writer.Write(bytes);
      relayed_ += bytes.size();
    }
    if (over) {
      co_await caller_.writer.End();
    }
  } catch (const http::TransportError& e) {
    failure = e.what();
  }
  co_return failure;
}

/** Updates the longest pause; called when a part is relayed. */
void Exchange::UpdateLongestPause() {
  const core::SteadyTime now = clock_.Now();
  if (caller_.last_part != core::SteadyTime()) {
    const auto pause =
        std::chrono::duration_cast<milliseconds>(now - caller_.last_part);
    caller_.longest_pause = std::max(caller_.longest_pause, pause);
  }
  caller_.last_part = now;
}

ExchangeResult Exchange::MakeResult(ExchangeEnd end, std::string reason,
                                    bool timed_out) const {
  ExchangeResult result;
  result.end = end;
  result.reason = std::move(reason);
  result.timed_out = timed_out;
  if (stopped_ == StopReason::kSuperseded) {
    result.reason = "given up for its silence";
    result.timed_out = true;
  }
  if (stopped_ == StopReason::kCancelled) {
    result.end = ExchangeEnd::kCancelled;
    result.reason = "another engine answers";
  }
  if (caller_.left) result.end = ExchangeEnd::kCallerLeft;
  result.answer_end = answer_end_;
  result.genuine = answer_.genuine;
  result.silence = watch_.Report();
  result.relayed = relayed_;
  return result;
}

milliseconds Exchange::TimeToDeadline() const {
  const auto left =
      std::chrono::duration_cast<milliseconds>(limits_.deadline - clock_.Now());
  return std::max(left, milliseconds(1));
}

}  // namespace sapphire::serving
