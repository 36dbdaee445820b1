/** @file endpoint.cc The agent process of one endpoint. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "endpoint/endpoint_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Millis;
using core::Task;

namespace {

/** Longest delay caused by a missed notification. */
constexpr Millis kRecheck{500};
/** Within this time a queued request reaches the endpoint that loaded the model
 * for it. */
constexpr Millis kMinKeepAlive{1000};

link::LinkOptions LinkOptionsOf(const EndpointOptions& options) {
  link::LinkOptions link;
  link.self.vm = options.vm.value();
  link.self.zone = options.zone.value();
  link.self.role = gen::Role::ENDPOINT;
  link.self.incarnation = options.incarnation;
  link.heartbeat_interval = options.heartbeat_interval;
  link.dead_after = options.dead_after;
  return link;
}

ReplicaReconcilerOptions ReconcilerOptionsOf(const EndpointOptions& options) {
  ReplicaReconcilerOptions reconciler = options.reconciler;
  reconciler.vm = options.vm;
  return reconciler;
}

LaneQueueOptions LaneOptionsOf(const EndpointOptions& options) {
  LaneQueueOptions lanes = options.lanes;
  lanes.vm = options.vm;
  return lanes;
}

}  // namespace

Endpoint::Endpoint(const core::Executor& executor, EndpointOptions options,
                   external::Engine& engine, external::KeyValueStore& store,
                   const core::Clock& clock, const core::Logger& log,
                   Metrics& metrics)
    : options_(std::move(options)),
      clock_(clock),
      log_(log),
      executor_(executor),
      config_parts_(config_),
      puller_(executor, config_, config_parts_, log),
      status_poller_(engine, options_.engine_poll, log),
      order_sender_(options_.orders, engine, status_poller_, clock, log),
      ledger_(options_.vm, store, clock, log),
      lanes_(LaneOptionsOf(options_), store, clock, log),
      parts_{executor, config_, table_, status_poller_, order_sender_, ledger_,
             lanes_,   clock,   log,    metrics},
      worker_(parts_),
      reconciler_(parts_, ReconcilerOptionsOf(options_), worker_),
      replicas_(parts_, worker_, options_.reconciler.keep_alive, kMinKeepAlive),
      plain_admission_(options_.plain_service, config_,
                       table_.shared_changed()),
      admission_(plain() ? static_cast<Admission&>(plain_admission_)
                         : static_cast<Admission&>(replicas_)),
      attempts_(options_.attempts, clock),
      runner_(engine, plain() ? nullptr : &status_poller_, admission_,
              attempts_, clock, log, metrics),
      links_(
          executor, LinkOptionsOf(options_),
          [this](std::shared_ptr<link::Call> call, gen::Message first) {
            return Answer(std::move(call), std::move(first));
          },
          puller_.Hooks(), clock, log) {
  config_.OnChange([this](const contract::Config& config) {
    log_.Event(LogLevel::kInfo, LogCategory::kConfig, "config_in_force",
               {{"version", config.version}, {"plan", config.plan}});
    reconciler_.RequestAudit();
    links_.AnnounceVersion();
    table_.changed().Notify();
  });
}

std::string Endpoint::Start() {
  std::string address = links_.Listen(options_.listen_address);
  if (plain()) return address;
  status_poller_.Listen(
      [this] { return order_sender_.IdleSequence(); },
      [this](const external::EngineStatus& status, std::uint64_t sequence) {
        reconciler_.Reconcile(status, sequence);
      });
  status_poller_.Start(executor_);
  reconciler_.Start();
  return address;
}

bool Endpoint::Ready() const {
  return !table_.leaving && config_.version() > 0 &&
         (plain() || table_.recovered);
}

Task<> Endpoint::Answer(std::shared_ptr<link::Call> call, gen::Message first) {
  if (first.__isset.run) {
    co_await runner_.Serve(std::move(call), std::move(first.run));
  } else if (first.__isset.subscribe) {
    co_await AnswerSubscribe(std::move(call));
  } else if (first.__isset.ensure_model) {
    co_await AnswerEnsure(std::move(call), std::move(first.ensure_model));
  } else if (first.__isset.void_attempt) {
    co_await AnswerVoid(std::move(call), std::move(first.void_attempt));
  } else if (first.__isset.drain) {
    co_await AnswerDrain(std::move(call));
  } else if (first.__isset.config_pull) {
    co_await puller_.Serve(std::move(call), std::move(first.config_pull));
  } else {
    throw Error(ErrorCode::kMalformedRequest,
                "an endpoint doesn't answer " + link::KindOf(first));
  }
}

gen::EndpointReport Endpoint::Report() const {
  gen::EndpointReport report;
  report.endpoint = options_.vm.value();
  report.zone = options_.zone.value();
  report.incarnation = options_.incarnation;
  report.leaving = table_.leaving;
  report.kind = plain() ? options_.plain_service.value() : "model";
  admission_.Describe(report);
  return report;
}

Task<> Endpoint::AnswerSubscribe(std::shared_ptr<link::Call> call) {
  while (!call->ended()) {
    const auto epoch = table_.changed().epoch();
    gen::Message message;
    message.__set_endpoint_report(Report());
    co_await call->Send(std::move(message));
    // A busy endpoint changes with every request, so the report rate is
    // limited.
    co_await core::SleepFor(options_.report_gap);
    co_await table_.changed().Wait(epoch, options_.report_interval);
  }
}

Task<> Endpoint::AnswerEnsure(std::shared_ptr<link::Call> call,
                              gen::EnsureModel request) {
  if (plain()) {
    throw Error(ErrorCode::kUnknownModel, "this is a plain service's endpoint");
  }
  co_await replicas_.Ensure(request);
  gen::ModelReady ready;
  ready.model = request.model;
  ready.adapter = request.adapter;
  gen::Message message;
  message.__set_model_ready(ready);
  co_await call->Send(std::move(message));
}

Task<> Endpoint::AnswerVoid(std::shared_ptr<link::Call> call,
                            gen::VoidAttempt request) {
  gen::AttemptState state;
  state.started = attempts_.Void(core::AttemptId(request.attempt_id));
  state.incarnation = options_.incarnation;
  log_.Event(LogLevel::kInfo, LogCategory::kRequest, "attempt_voided",
             {{"attempt", request.attempt_id}, {"started", state.started}});
  gen::Message message;
  message.__set_attempt_state(state);
  co_await call->Send(std::move(message));
}

Task<> Endpoint::AnswerDrain(std::shared_ptr<link::Call> call) {
  log_.Event(LogLevel::kInfo, LogCategory::kAdmin, "drain_asked");
  admission_.Leave();
  table_.leaving = true;
  drain_requested_ = true;
  table_.changed().Notify();
  gen::DrainState state;
  state.running = Report().running;
  gen::Message message;
  message.__set_drain_state(state);
  co_await call->Send(std::move(message));
}

Task<> Endpoint::WaitForDrain() {
  while (!drain_requested_) {
    const auto epoch = table_.changed().epoch();
    if (drain_requested_) co_return;
    co_await table_.changed().Wait(epoch, kRecheck);
  }
}

bool Endpoint::Idle() const {
  if (Report().running > 0) return false;
  return plain() || (reconciler_.Empty() && ledger_.pending() == 0);
}

Task<bool> Endpoint::WaitUntilUnloaded(core::SteadyTime limit) {
  bool audited = plain();
  while (!Idle() || !audited) {
    const auto epoch = table_.changed().epoch();
    if (!plain()) {
      reconciler_.Sweep();
      co_await ledger_.FlushPending();
    }
    if (!audited && Idle()) {
      // A model that this process found loaded may have been unloaded before
      // its grant was looked up. Only the ledger lists such a grant, so an
      // audit has to release it.
      co_await reconciler_.TryAudit();
      audited = true;
      continue;
    }
    if (Idle()) break;
    if (clock_.Now() >= limit) co_return false;
    co_await table_.changed().Wait(epoch, kRecheck);
  }
  co_return true;
}

Task<bool> Endpoint::Leave() {
  const core::SteadyTime limit = clock_.Now() + options_.drain_limit;
  admission_.Leave();
  table_.leaving = true;
  table_.changed().Notify();
  log_.Event(LogLevel::kInfo, LogCategory::kProcess, "leaving",
             {{"running", Report().running}});
  const bool unloaded = co_await WaitUntilUnloaded(limit);
  reconciler_.Stop();
  log_.Event(
      unloaded ? LogLevel::kInfo : LogLevel::kWarning, LogCategory::kProcess,
      unloaded ? "left" : "left_unfinished",
      {{"running", Report().running}, {"grants_pending", ledger_.pending()}});
  // The last report and the last answers must be sent before the links close.
  co_await core::SleepFor(options_.close_delay);
  status_poller_.Stop();
  co_return unloaded;
}

void Endpoint::Close() {
  links_.StopAccepting();
  links_.Close();
}

Levels Endpoint::CurrentLevels() const {
  const gen::EndpointReport report = Report();
  Levels levels;
  levels.config_version = config_.version();
  levels.memory_bytes = report.memory_bytes;
  levels.reserved_bytes = report.reserved_bytes;
  levels.running = report.running;
  levels.replicas = static_cast<int>(report.replicas.size());
  levels.grants_pending = ledger_.pending();
  levels.engine_up = report.engine_up;
  levels.leaving = report.leaving;
  return levels;
}

}  // namespace sapphire::endpoint
