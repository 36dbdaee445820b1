/** @file engine_stand_in.cc Stand-in of a model engine. */
#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "standin/engine_stand_in_base.h"
#include "standin/engine_wire_func.h"

namespace sapphire::standin {

using external::EngineOrder;
using external::OrderKind;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kInsufficientStorage = 507;
/** Exceeds the time of any transfer, even from a slow store. */
constexpr milliseconds kTransferTimeout{600'000};

constexpr std::array kFaults = {
    FaultDef{.name = "crash_on", .kind = FaultKind::kText},
    FaultDef{.name = "crash_now", .kind = FaultKind::kFlag},
    FaultDef{.name = "slow_factor", .kind = FaultKind::kNumber, .initial = 1},
    FaultDef{.name = "load_fail", .kind = FaultKind::kCount},
    FaultDef{.name = "lose_order_answers", .kind = FaultKind::kCount},
};

milliseconds TransferTime(std::int64_t bytes, double bytes_per_second) {
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           bytes_per_second);
  return std::chrono::ceil<milliseconds>(time);
}

nanoseconds ScaleTime(nanoseconds time, double factor) {
  return nanoseconds(static_cast<nanoseconds::rep>(
      static_cast<double>(time.count()) * factor));
}

/** @return The cache key of the order's checkpoint. */
std::string CheckpointKey(const EngineOrder& order) {
  if (order.kind == OrderKind::kLoadModel) return order.model.value();
  return order.model.value() + ":" + order.adapter.value();
}

/** State of a transfer that runs in its own coroutine, beside its order. */
enum class TransferState { kRunning, kDone, kFailed };

using SharedTransferState = std::shared_ptr<std::atomic<TransferState>>;

core::Task<> Fetch(http::Client& weights, std::string target,
                   SharedTransferState state, core::Signal& changed) {
  http::Request request;
  request.target = std::move(target);
  TransferState end = TransferState::kFailed;
  try {
    const http::Response response =
        co_await weights.Fetch(std::move(request), kTransferTimeout);
    if (response.head.status == kOk) end = TransferState::kDone;
  } catch (const http::TransportError&) {
    // The load fails.
  }
  *state = end;
  changed.Notify();
}

core::Task<> SendEngineError(http::ResponseWriter& writer, int status,
                             std::string_view name) {
  co_await SendJson(writer, status, ErrorJson(name));
}

}  // namespace

/** One admitted request; it ends as cancelled unless Finish was called. */
class EngineStandIn::RunningRequest {
 public:
  RunningRequest(EngineStandIn& engine, std::int64_t ticket)
      : engine_(engine), ticket_(ticket), due_(engine.context_.clock.Now()) {}
  ~RunningRequest() {
    engine_.state_.EndRequest(ticket_, RunOutcome::kCancelled);
  }

  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;

  /** Waits until `duration` after the end of the previous piece of work.
   * @throws http::ConnectionCut if the engine crashes, is down or unloads the
   *   model, or the caller has disconnected. */
  core::Task<> Work(nanoseconds duration, http::ResponseWriter& writer) {
    due_ += duration;
    while (true) {
      const std::uint64_t seen = engine_.disrupted_.epoch();
      CutIfEnded(writer);
      const core::SteadyTime now = engine_.context_.clock.Now();
      if (now >= due_) co_return;
      co_await engine_.disrupted_.Wait(
          seen, std::chrono::ceil<milliseconds>(due_ - now));
    }
  }

  void Finish() { engine_.state_.EndRequest(ticket_, RunOutcome::kDone); }

 private:
  void CutIfEnded(http::ResponseWriter& writer) const {
    engine_.CutIfDown();
    if (!engine_.state_.IsRunning(ticket_)) CutConnection("request ended");
    if (writer.CallerDisconnected()) CutConnection("caller gone");
  }

  EngineStandIn& engine_;
  const std::int64_t ticket_;
  core::SteadyTime due_;
};

EngineStandIn::EngineStandIn(StandInContext context, EngineOptions options)
    : StandIn(std::move(context), kFaults),
      options_(std::move(options)),
      state_(options_, context_.clock) {
  if (!options_.weights_address.empty()) {
    weights_ = std::make_unique<http::Client>(options_.weights_address);
  }
}

core::Task<> EngineStandIn::Serve(const http::Request& request,
                                  http::ResponseWriter& writer) {
  const std::string_view path = http::PathOf(request.target);
  if (path == "/engine/status") {
    co_await SendJson(writer, kOk, StatusJson(state_.Status()));
  } else if (path == "/engine/orders") {
    co_await ServeOrder(request, writer);
  } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
    co_await ServeGenerate(request, writer);
  } else {
    throw core::Error(core::ErrorCode::kUnknownPath, std::string(path));
  }
}

core::Task<> EngineStandIn::ServeOrder(const http::Request& request,
                                       http::ResponseWriter& writer) {
  const EngineOrder order = ParseOrder(request.body.text());
  const auto [verdict, incarnation] = state_.BeginOrder(order);
  const std::string_view error = NameOf(verdict);
  if (!error.empty()) {
    const bool no_memory = verdict == OrderVerdict::kNoMemory;
    co_await SendEngineError(
        writer, no_memory ? kInsufficientStorage : kConflict, error);
    co_return;
  }
  bool done = true;
  if (verdict == OrderVerdict::kAccepted) {
    done = co_await ExecuteOrder(order, incarnation);
    state_.EndOrder(order, incarnation, done);
  }
  if (faults_.ConsumeOne("lose_order_answers")) CutConnection("lost answer");
  CutIfDown();
  if (done) {
    co_await SendJson(writer, kOk, "{}");
  } else {
    co_await SendEngineError(writer, kBadGateway, "load_failed");
  }
}

/** @return False if a load failed. */
core::Task<bool> EngineStandIn::ExecuteOrder(const EngineOrder& order,
                                             std::int64_t incarnation) {
  if (order.kind == OrderKind::kUnloadModel ||
      order.kind == OrderKind::kUnloadAdapter) {
    disrupted_.Notify();
    co_await WaitOrderDuration(options_.unload_time, incarnation);
    co_return true;
  }
  const std::string checkpoint = CheckpointKey(order);
  switch (state_.TierOf(checkpoint)) {
    case CheckpointTier::kMemory:
      co_await WaitOrderDuration(
          TransferTime(order.bytes, options_.memory_bytes_per_second),
          incarnation);
      break;
    case CheckpointTier::kDisk:
      co_await WaitOrderDuration(
          TransferTime(order.bytes, options_.disk_bytes_per_second),
          incarnation);
      break;
    case CheckpointTier::kRemote:
      if (!co_await LoadRemote(checkpoint, order.bytes, incarnation)) {
        co_return false;
      }
      break;
  }
  if (faults_.ConsumeOne("load_fail")) co_return false;
  state_.CacheCheckpoint(checkpoint);
  co_return true;
}

core::Task<bool> EngineStandIn::LoadRemote(const std::string& checkpoint,
                                           std::int64_t bytes,
                                           std::int64_t incarnation) {
  if (!weights_) {
    co_await WaitOrderDuration(
        TransferTime(bytes, options_.remote_bytes_per_second), incarnation);
    co_return true;
  }
  const std::string target = "/weights/" + http::UrlEncode(checkpoint) +
                             "?bytes=" + std::to_string(bytes);
  // Runs in its own coroutine, so that a crash cuts the order's connection at
  // once.
  const auto state =
      std::make_shared<std::atomic<TransferState>>(TransferState::kRunning);
  core::Spawn(context_.executor, context_.log, "weights",
              [this, target, state] {
                return Fetch(*weights_, target, state, disrupted_);
              });
  while (true) {
    const std::uint64_t seen = disrupted_.epoch();
    CutIfCrashed(incarnation);
    if (*state != TransferState::kRunning) break;
    co_await disrupted_.Wait(seen, kTransferTimeout);
  }
  co_return *state == TransferState::kDone;
}

core::Task<> EngineStandIn::WaitOrderDuration(milliseconds duration,
                                              std::int64_t incarnation) {
  const core::SteadyTime due =
      context_.clock.Now() + ScaleTime(duration, faults_.Number("slow_factor"));
  while (true) {
    const std::uint64_t seen = disrupted_.epoch();
    CutIfCrashed(incarnation);
    const core::SteadyTime now = context_.clock.Now();
    if (now >= due) co_return;
    co_await disrupted_.Wait(seen, std::chrono::ceil<milliseconds>(due - now));
  }
}

void EngineStandIn::CutIfCrashed(std::int64_t incarnation) const {
  if (state_.incarnation() != incarnation) CutConnection("crashed");
}

core::Task<> EngineStandIn::ServeGenerate(const http::Request& request,
                                          http::ResponseWriter& writer) {
  const GenerateCall call = ParseCall(request);
  const Admission admission = co_await WaitForRoom(call, writer);
  if (admission.verdict == AdmissionVerdict::kNotReady) {
    co_await SendEngineError(writer, kNotFound, "model_not_ready");
    co_return;
  }
  RunningRequest run(*this, admission.ticket);
  const std::string marker = faults_.Text("crash_on");
  if (!marker.empty() &&
      request.body.text().find(marker) != std::string_view::npos) {
    state_.Crash();
    disrupted_.Notify();
  }
  co_await run.Work(PrefillTime(call, admission.cached_chars), writer);
  if (call.stream) {
    co_await Stream(run, call, writer);
  } else {
    co_await Generate(run, call, writer);
  }
  run.Finish();
}

/** Waits until the request's KV cache fits the model's budget. */
core::Task<Admission> EngineStandIn::WaitForRoom(const GenerateCall& call,
                                                 http::ResponseWriter& writer) {
  while (true) {
    const std::uint64_t seen = disrupted_.epoch();
    const Admission admission = state_.Admit(call);
    if (admission.verdict != AdmissionVerdict::kNoRoom) co_return admission;
    CutIfDown();
    if (writer.CallerDisconnected()) CutConnection("caller gone");
    co_await disrupted_.Wait(seen, options_.token_time);
  }
}

core::Task<> EngineStandIn::Stream(RunningRequest& run,
                                   const GenerateCall& call,
                                   http::ResponseWriter& writer) {
  http::ResponseHead head;
  head.headers.push_back({"Content-Type", "text/event-stream"});
  co_await writer.Begin(std::move(head));
  for (int i = 0; i < call.max_tokens; ++i) {
    co_await run.Work(StepTime(), writer);
    const std::string event = TokenEvent(call, i);
    co_await writer.Write(event);
  }
  const std::string last = LastEvents(call);
  co_await writer.Write(last);
  co_await writer.End();
}

core::Task<> EngineStandIn::Generate(RunningRequest& run,
                                     const GenerateCall& call,
                                     http::ResponseWriter& writer) {
  for (int i = 0; i < call.max_tokens; ++i) {
    co_await run.Work(StepTime(), writer);
  }
  co_await SendJson(writer, kOk, AnswerJson(call));
}

nanoseconds EngineStandIn::StepTime() const {
  const int others = std::max(state_.running() - 1, 0);
  const double factor = 1 + options_.batch_slowdown * others;
  return ScaleTime(options_.token_time, factor * faults_.Number("slow_factor"));
}

nanoseconds EngineStandIn::PrefillTime(const GenerateCall& call,
                                       std::size_t cached_chars) const {
  const std::size_t chars = call.prompt.size() - cached_chars;
  return ScaleTime(options_.prefill_time_per_char,
                   static_cast<double>(chars) * faults_.Number("slow_factor"));
}

std::string EngineStandIn::RecordJson() const {
  return standin::RecordJson(state_.Record());
}

void EngineStandIn::OnFaultsSet() {
  if (faults_.ConsumeOne("crash_now")) state_.Crash();
  disrupted_.Notify();
}

}  // namespace sapphire::standin
