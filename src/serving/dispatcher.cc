/** @file dispatcher.cc Handles a caller's request up to its final answer. */
#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <iterator>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "organisation/organisation_func.h"
#include "serving/authorization_func.h"
#include "serving/dispatcher_base.h"
#include "serving/send_limits_func.h"

namespace sapphire::serving {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using routing::RequestKind;

namespace {

/** Share of the retry budget that is reserved for retries after lost engines:
 * retries after an engine's own failure must not use it. */
constexpr double kFailureReserve = 0.5;
constexpr int kTooMany = 429;
constexpr milliseconds kMinRetryAfter{50};
/** Logged for a request that does not resume a stream. */
constexpr std::int64_t kNoEvent = -1;
constexpr double kHashRange = 18446744073709551616.0;

std::string_view NameOf(RetryDecision decision) {
  switch (decision) {
    case RetryDecision::kGranted:
      return "granted";
    case RetryDecision::kMayNotRunAgain:
      return "may_not_run_again";
    case RetryDecision::kNoTime:
      return "no_time";
    case RetryDecision::kNoBudget:
      return "no_budget";
  }
  return "";
}

/** @return True for a status that callers take as final: they don't retry. */
bool IsDenial(int status) {
  constexpr int kFirstDenial = 300;
  constexpr int kFirstFailure = 500;
  return status >= kFirstDenial && status < kFirstFailure && status != kTooMany;
}

/** @return True for a refusal that a newer configuration may not call for. */
bool RestsOnConfiguration(ErrorCode code) {
  return code == ErrorCode::kUnknownPath || code == ErrorCode::kUnknownModel ||
         code == ErrorCode::kUnauthenticated;
}

std::string_view NameOf(std::optional<http::BodyEnd> end) {
  if (!end) return "none";
  return *end == http::BodyEnd::kStated ? "stated" : "connection_closed";
}

/** Aborts the sends in progress when the caller closes its connection. */
class DisconnectWatch {
 public:
  explicit DisconnectWatch(CallerConnection& caller) : caller_(caller) {
    caller.writer.OnCallerDisconnect([&caller] {
      caller.left = true;
      for (const auto& it : caller.sends) it->Now();
    });
  }
  ~DisconnectWatch() { caller_.writer.OnCallerDisconnect({}); }
  DisconnectWatch(const DisconnectWatch&) = delete;
  DisconnectWatch& operator=(const DisconnectWatch&) = delete;

 private:
  CallerConnection& caller_;
};

}  // namespace

Dispatcher::Dispatcher(DispatchOptions options, DispatcherDependencies parts)
    : options_(options),
      deps_(std::move(parts)),
      chooser_(options.pace, deps_.registry, deps_.peer_table, deps_.gauges,
               deps_.finder, deps_.loader, deps_.crash_watch, deps_.clock),
      sender_({deps_.rate_limiter, deps_.notices, deps_.registry, deps_.loads,
               deps_.clients, deps_.crash_watch, deps_.engine_wire,
               deps_.metrics, deps_.clock, deps_.answers}) {}

core::Task<> Dispatcher::Serve(const http::Request& request,
                               http::ResponseWriter& writer) {
  // Shared with the coroutine of a hedge, which may end after this one.
  const auto shared = std::make_shared<RequestWork>(
      deps_.caller_wire.Decode(request), writer, deps_.clock.Now());
  RequestWork& work = *shared;
  const DisconnectWatch watch(work.caller);
  std::optional<Error> refusal;
  try {
    co_await Admit(work);
    co_await ChargeQuota(work);
    co_await FindStreamOrigin(work);
    co_await Run(shared);
  } catch (const Error& e) {
    refusal = e;
  }
  CancelHedge(work);
  if (refusal) {
    work.outcome = core::InfoOf(refusal->code()).name;
    work.reason = refusal->detail();
  }
  if (work.caller.left) work.outcome = "caller_left";
  // Once a stream has begun, no other answer can be sent: the connection is
  // closed so that the caller sees an incomplete stream.
  work.cut = refusal && work.caller.begun;
  if (refusal && !work.cut && !work.caller.left) {
    co_await Refuse(work, *refusal);
  }
  RefundUnused(work);
  ReportEnd(work);
  if (work.cut) throw http::ConnectionCut(refusal->detail());
}

/** Refuses a request that can't be served; clears the model and adapter of one
 * for a service without engine models. Callers take a denial as final, so
 * one that rests on the configuration is given only if that is the newest one;
 * otherwise callers are asked to return. */
core::Task<> Dispatcher::Admit(RequestWork& work) {
  std::optional<Error> denial = FindDenial(work);
  if (denial) {
    const bool confirmed = co_await deps_.refresh.Confirm(work.arrived);
    denial = FindDenial(work);
    if (denial && !confirmed) {
      throw Error(ErrorCode::kConfigurationStale, denial->what(),
                  kDefaultRetryAfter);
    }
  }
  if (denial) {
    LogDenial(work, denial->code());
    throw Error(*denial);
  }
  if (!work.service->engine) {
    work.request.model = core::ModelId();
    work.request.adapter = core::AdapterId();
  }
}

/** Logs how old the evidence was that no newer configuration allows the request
 * as it arrived. */
void Dispatcher::LogDenial(const RequestWork& work, ErrorCode reason) const {
  const auto as_of = deps_.refresh.newest_as_of();
  const auto age = as_of ? std::max(std::chrono::duration_cast<milliseconds>(
                                        work.arrived - *as_of),
                                    milliseconds(0))
                         : milliseconds(-1);
  deps_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "request_denied",
                  {{"request", work.request.id},
                   {"reason", core::InfoOf(reason).name},
                   {"config", deps_.configuration.version()},
                   {"revision", deps_.configuration.newest_revision()},
                   {"evidence_age_ms", age},
                   {"view_age_ms", ViewAge()}});
}

/** @return Why the configuration in force does not allow the request, if it
 * does not. @throws Error for any other refusal. */
std::optional<Error> Dispatcher::FindDenial(RequestWork& work) const {
  try {
    Check(work);
    Authenticate(work);
  } catch (const Error& e) {
    if (!RestsOnConfiguration(e.code())) throw;
    return e;
  }
  return std::nullopt;
}

/** @return True if an earlier configuration contained the caller's key and a
 * later one removed it. */
bool Dispatcher::IsRevoked(const RequestWork& work) const {
  return work.request.api_key &&
         deps_.configuration.WasRevoked(*work.request.api_key);
}

/** Sets the request's deadline, configuration, route and service, and refuses
 * the request if it can't be served. */
void Dispatcher::Check(RequestWork& work) const {
  work.deadline = work.arrived + work.request.time_to_wait;
  // Both point into the table, which may be replaced here.
  work.route = nullptr;
  work.service = nullptr;
  work.table = deps_.configuration.current();
  if (work.table == nullptr) {
    throw Error(ErrorCode::kNotConfigured, "", kDefaultRetryAfter);
  }
  CheckStoreView(work);
  const std::string& target = work.request.forward.target;
  work.route = work.table->Find(work.request.host, http::PathOf(target));
  if (work.route == nullptr) throw Error(ErrorCode::kUnknownPath, target);
  chooser_.CheckShutdown(work, milliseconds(0));
  work.deadline = std::min(work.deadline, work.arrived + work.route->timeout);
  ResolveService(work);
  deps_.crash_watch.Check(CandidateOf(work));
}

/** Refuses the request while the view of the store is too old: its routes and
 * engines may no longer exist. A request that an engine may have run is not
 * refused. */
void Dispatcher::CheckStoreView(const RequestWork& work) const {
  if (work.runs > 0 || !deps_.view.is_late()) return;
  throw Error(ErrorCode::kConfigurationStale, "this entry is behind the store",
              kDefaultRetryAfter);
}

/** Authorizes the request by the configuration of its route. */
void Dispatcher::Authenticate(RequestWork& work) const {
  const RouteAccess route = AccessOf(*work.route);
  if (NeedsKey(*work.table, route)) CheckKeysConfirmed();
  try {
    work.authorization = Authorize(work.table, route, work.request.api_key);
  } catch (const Error& e) {
    if (IsRevoked(work)) throw Error(e.code(), "revoked");
    throw;
  }
}

/** Authorizes the request by the configuration in force. If that refuses it,
 * the request keeps its former authorization, which no send may use.
 * @return Its authorization by that configuration. */
const Authorization& Dispatcher::Reauthorize(RequestWork& work) const {
  auto current = deps_.configuration.current();
  if (work.authorization->table() == current) return *work.authorization;
  const routing::Route* const route = current->Find(
      work.request.host, http::PathOf(work.request.forward.target));
  // An engine must not receive a key that organisations were to check.
  if (work.table->HasOrganisations() && !current->HasOrganisations()) {
    ThrowNotAllowed(work, route);
  }
  // The service is that of the route of the arrival, which the newer route may
  // not send to: both have to be public.
  RouteAccess access = AccessOf(*work.route);
  access.is_public = access.is_public && route != nullptr && route->is_public;
  try {
    work.authorization =
        Authorize(std::move(current), access, work.request.api_key);
  } catch (const Error&) {
    ThrowNotAllowed(work, route);
  }
  return *work.authorization;
}

/** Refuses a request that the configuration in force does not allow any more.
 * Callers are asked to return to that one, unless it denies them and is known
 * to be the newest one.
 * @param route The request's route by that configuration; null if dropped. */
void Dispatcher::ThrowNotAllowed(const RequestWork& work,
                                 const routing::Route* route) const {
  const routing::RoutingTable& current = *deps_.configuration.current();
  const bool is_denied =
      route != nullptr && NeedsKey(current, AccessOf(*route)) &&
      IsRevoked(work) && deps_.refresh.IsConfirmed(work.arrived);
  const std::string reason = is_denied ? "revoked" : "not allowed any more";
  if (work.runs > 0) throw Error(ErrorCode::kOutcomeUnknown, reason);
  if (is_denied) throw Error(ErrorCode::kUnauthenticated, reason);
  throw Error(ErrorCode::kConfigurationStale, reason, kDefaultRetryAfter);
}

/** @return What allows the request to be sent now. @throws core::Error if it
 * may not be. */
const Authorization& Dispatcher::CheckSend(RequestWork& work) const {
  CheckStoreView(work);
  const Authorization& authorization = Reauthorize(work);
  const bool is_by_key = authorization.organisation() != nullptr &&
                         !authorization.is_public_route();
  if (work.runs == 0 && is_by_key) CheckKeysConfirmed();
  return authorization;
}

/** Refuses the request while strict revocation forbids relying on the keys of
 * the configuration. */
void Dispatcher::CheckKeysConfirmed() const {
  if (deps_.view.keys_confirmed()) return;
  throw Error(ErrorCode::kConfigurationStale, "keys are not confirmed",
              kDefaultRetryAfter);
}

/** Charges the request to its organisation's quota once, however often it is
 * sent. */
core::Task<> Dispatcher::ChargeQuota(RequestWork& work) {
  if (work.authorization->organisation() == nullptr) co_return;
  const organisation::Organisation& organisation =
      *work.authorization->organisation();
  std::optional<organisation::TokenCount> tokens;
  if (work.request.states_tokens) {
    tokens = {work.request.prompt_tokens, work.request.max_output_tokens};
  }
  const QuotaCharge charge{organisation.id, organisation.quota,
                           work.authorization->version(),
                           organisation::CostOf(organisation.quota, tokens)};
  const quota::QuotaDecision decision = co_await deps_.quota.Take(charge);
  work.quota_source = NameOf(decision.source);
  deps_.metrics.QuotaDecided(organisation.id, work.quota_source,
                             decision.granted);
  if (decision.granted) {
    work.charge = charge;
    if (decision.delay > milliseconds(0)) {
      co_await core::SleepFor(decision.delay);
    }
    co_return;
  }
  deps_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "quota_exceeded",
                  {{"request", work.request.id},
                   {"organisation", organisation.id},
                   {"units", charge.units},
                   {"source", work.quota_source},
                   {"level", deps_.quota.LevelOf(organisation.id)},
                   {"per_second", organisation.quota.per_second},
                   {"burst", organisation.quota.burst},
                   {"config", charge.version},
                   {"retry_after_ms", decision.delay}});
  throw Error(ErrorCode::kOverQuota, organisation.id.value(),
              std::max(decision.delay, kMinRetryAfter));
}

void Dispatcher::RefundUnused(const RequestWork& work) {
  if (work.charge && work.runs == 0) deps_.quota.GiveBack(*work.charge);
}

/** Sets the service and checks that it serves the model. */
void Dispatcher::ResolveService(RequestWork& work) const {
  const double point =
      static_cast<double>(core::HashOf(work.request.id.value())) / kHashRange;
  const core::ServiceId& id = routing::ChooseService(*work.route, point);
  work.service = work.table->FindService(id);
  if (work.service == nullptr) {
    throw Error(ErrorCode::kNoEndpoint,
                "the configuration lacks service " + id.value(),
                kDefaultRetryAfter);
  }
  if (!work.service->engine) return;
  const auto& models = work.service->engine->models;
  if (!models.contains(work.request.model)) {
    throw Error(ErrorCode::kUnknownModel, work.request.model.value());
  }
}

/** Finds the software version that began the stream that the caller takes up;
 * no other may go on with it. */
core::Task<> Dispatcher::FindStreamOrigin(RequestWork& work) {
  const core::RequestId& attempt = work.request.resumes;
  const bool is_taken_up = work.request.last_event || !attempt.empty();
  if (work.route->kind != RequestKind::kStream || !is_taken_up) co_return;
  const core::SteadyTime began = deps_.clock.Now();
  const streams::OriginLookup lookup =
      co_await deps_.stream_directory.Find(attempt, work.service->id);
  const auto took =
      std::chrono::duration_cast<milliseconds>(deps_.clock.Now() - began);
  deps_.metrics.StreamTakenUp(NameOf(lookup.source));
  deps_.log.Event(
      LogLevel::kInfo, LogCategory::kRequest, "stream_taken_up",
      {{"request", work.request.id},
       {"resumes", attempt},
       {"service", work.service->id},
       {"software_version", lookup.version.value_or(fleet::SoftwareVersion())},
       {"source", NameOf(lookup.source)},
       {"age_ms", lookup.age},
       {"asked", lookup.asked},
       {"answered", lookup.evidence.answered},
       {"vouched", lookup.evidence.vouched},
       {"versions", lookup.evidence.recent_versions},
       {"stored_versions", lookup.evidence.stored_versions.value_or(-1)},
       {"followed_ms", lookup.evidence.followed.value_or(milliseconds(-1))},
       {"view_late", lookup.evidence.view_late},
       {"took_ms", took}});
  if (!lookup.version) {
    throw Error(ErrorCode::kStreamVersionUnknown, attempt.value(),
                kDefaultRetryAfter);
  }
  work.caller.software_version = lookup.version;
  // The only version is a conclusion: another entry must not take it for a fact
  // unless the stream has gone on at it.
  const bool is_fact = lookup.source != streams::OriginSource::kOnlyVersion;
  if (is_fact && !attempt.empty()) {
    deps_.stream_directory.Record(attempt, work.service->id, *lookup.version);
  }
}

core::Task<> Dispatcher::Run(SharedWork work) {
  BudgetOf(work->service->id).CountRequest();
  if (work->service->engine) deps_.loader.RecordRequest(work->request.model);
  bool over = false;
  while (!over) {
    if (work->hedge) {
      over = co_await ContinueWithHedge(work);
    } else {
      over = co_await Attempt(work);
    }
  }
}

/** Chooses an engine and sends the request to it, at most once. @return True if
 * the request is over: it has its final answer, or the caller has left. False
 * if it is to be tried again, also if nothing was sent because the engine's
 * rate limit is used up, the engine is no longer registered, or an engine has
 * crashed meanwhile under a request that this one may be like. */
core::Task<bool> Dispatcher::Attempt(SharedWork work) {
  co_await deps_.crash_watch.AwaitTurn(CandidateOf(*work),
                                       TimeLeft(*work, deps_.clock.Now()));
  work->engine = co_await chooser_.Choose(*work);
  // Checked twice: a refused request must not use up the engine's rate.
  if (!work->caller.left) CheckSend(*work);
  const bool may_send =
      work->caller.left ||
      co_await deps_.rate_limiter.Acquire(work->engine, work->request.id);
  if (work->caller.left) {
    work->outcome = "caller_left";
    co_return true;
  }
  if (!may_send || !deps_.crash_watch.MaySend(CandidateOf(*work))) {
    co_return false;
  }
  const core::Executor executor = co_await boost::asio::this_coro::executor;
  const auto send =
      BeginSend(work, CheckSend(*work), {work->engine, 0}, executor);
  if (send == nullptr) co_return false;
  work->current = send;
  const bool is_stream = work->route->kind == RequestKind::kStream;
  auto result = co_await send->exchange->Open(send->options, is_stream);
  if (!result) {
    result = co_await send->exchange->Relay();
  }
  co_return co_await EndCurrentSend(*work, std::move(*result));
}

std::shared_ptr<EngineSend> Dispatcher::BeginSend(
    const SharedWork& work, const Authorization& authorization,
    const SendTarget& target, const core::Executor& executor) {
  // The callbacks are called while the send, and thus the work, exists.
  RequestWork* const raw = work.get();
  SendCallbacks callbacks;
  callbacks.silent = [this, weak = std::weak_ptr(work), engine = target.engine,
                      executor] {
    const SharedWork shared = weak.lock();
    if (shared && shared->current && shared->current->engine == engine) {
      OnSilence(shared, executor);
    }
  };
  callbacks.answered = [this, raw] { CancelHedge(*raw); };
  callbacks.stream_begun = [this, raw] {
    deps_.stream_directory.Record(raw->request.id, raw->service->id,
                                  *raw->caller.software_version);
  };
  return sender_.Begin(*work, authorization, target, std::move(callbacks),
                       executor);
}

core::Task<bool> Dispatcher::EndCurrentSend(RequestWork& work,
                                            ExchangeResult result) {
  const std::shared_ptr<EngineSend> send = std::exchange(work.current, nullptr);
  sender_.End(*send, result);
  work.engine = send->engine;
  work.software_version = send->options.software_version;
  work.organisation_sent = send->options.organisation;
  work.answer_end = result.answer_end;
  work.genuine = result.genuine;
  const bool went_on = work.caller.begun && work.caller.software_version;
  if (went_on && !work.request.resumes.empty()) {
    deps_.stream_directory.Record(work.request.resumes, work.service->id,
                                  *work.caller.software_version);
  }
  work.outcome = NameOf(result.end);
  work.reason = result.reason;
  co_return co_await HandleResult(work, std::move(result));
}

/** Handles the result of a send. @return True if the request has its final
 * answer. */
core::Task<bool> Dispatcher::HandleResult(RequestWork& work,
                                          ExchangeResult result) {
  const bool may_have_run = result.end != ExchangeEnd::kNotRun;
  if (may_have_run) ++work.runs;
  switch (result.end) {
    case ExchangeEnd::kServed:
      work.status = 200;
      co_return true;
    case ExchangeEnd::kCallerLeft:
      co_return true;
    default:
      break;
  }
  // A hedge that was not sent yet might never be.
  if (work.hedge && !work.hedge->send) CancelHedge(work);
  AvoidUnlessResting(work, work.engine, result);
  if (work.caller.begun) work.received = deps_.clock.Now();
  const RetryDecision retry = DecideRetry(work, result);
  deps_.log.Event(
      LogLevel::kInfo, LogCategory::kRequest, "send_failed",
      {{"request", work.request.id},
       {"instance", work.engine},
       {"software_version", work.software_version},
       {"organisation", work.organisation_sent},
       {"end", work.outcome},
       {"reason", work.reason},
       {"sends", work.sends},
       {"left_ms", TimeLeft(work, deps_.clock.Now())},
       {"silent_ms", result.silence.silent},
       {"silence_limit_ms", result.silence.limit},
       {"timer_delay_ms", result.silence.timer_delay},
       {"relayed_bytes", result.relayed},
       {"body_end", NameOf(result.answer_end.body_end)},
       {"partial_event_bytes", result.answer_end.partial_event_bytes},
       {"rest_ms", deps_.loads.notices().RestLeft(work.engine)},
       {"retry", NameOf(retry)}});
  if (retry == RetryDecision::kGranted) co_return false;
  if (result.failure && !work.caller.begun) {
    co_await Answer(work, std::move(*result.failure));
    co_return true;
  }
  if (work.runs == 0) {
    throw Error(ErrorCode::kNoEndpoint, result.reason, kDefaultRetryAfter);
  }
  throw Error(
      result.timed_out ? ErrorCode::kTimedOut : ErrorCode::kOutcomeUnknown,
      result.reason);
}

/** Keeps the request from an engine that has failed or refused it. One that has
 * turned it away for a rest gets no request until then, and may serve this one
 * afterwards. */
void Dispatcher::AvoidUnlessResting(RequestWork& work,
                                    const fleet::InstanceId& engine,
                                    const ExchangeResult& result) const {
  const bool rests = deps_.loads.notices().RestLeft(engine) > milliseconds(0);
  if (!result.asks_for_rest || !rests) work.avoid.insert(engine);
}

/** Decides whether a request whose send has failed is sent again; takes the
 * retry from the budget. */
RetryDecision Dispatcher::DecideRetry(RequestWork& work,
                                      const ExchangeResult& result) {
  if (work.hedge) return RetryDecision::kGranted;
  const bool granted = std::exchange(work.repeat_granted, false);
  if (result.end != ExchangeEnd::kNotRun && !MayRunAgain(work)) {
    return RetryDecision::kMayNotRunAgain;
  }
  if (TimeLeft(work, deps_.clock.Now()) <= kMinTimeLeft) {
    return RetryDecision::kNoTime;
  }
  // Without a connection the send never arrived, so it does not count as a
  // retry.
  if (granted || result.unreachable) return RetryDecision::kGranted;
  const double reserve =
      result.end == ExchangeEnd::kEngineFailed ? kFailureReserve : 0.0;
  return TakeRepeat(work, reserve) ? RetryDecision::kGranted
                                   : RetryDecision::kNoBudget;
}

bool Dispatcher::MayRunAgain(const RequestWork& work) const {
  if (work.runs >= work.route->max_engines) return false;
  if (work.route->kind == RequestKind::kIdempotent) return true;
  return work.route->kind == RequestKind::kStream && work.route->resumable;
}

core::Task<> Dispatcher::Answer(RequestWork& work, http::Response response) {
  work.status = response.head.status;
  try {
    co_await work.caller.writer.Send(std::move(response));
  } catch (const http::TransportError& e) {
    work.outcome = "caller_left";
    work.reason = e.what();
  }
}

core::Task<> Dispatcher::Refuse(RequestWork& work, const Error& error) {
  http::Response response = deps_.caller_wire.Refusal(error, work.request.id);
  co_await Answer(work, std::move(response));
}

bool Dispatcher::TakeRepeat(const RequestWork& work, double reserve) {
  const bool allowed = BudgetOf(work.service->id)
                           .TakeRepeat(deps_.peer_table.entries(), reserve);
  deps_.metrics.RepeatDecided(allowed);
  return allowed;
}

policy::RepeatBudget& Dispatcher::BudgetOf(const core::ServiceId& service) {
  const auto it = budgets_.find(service);
  if (it != budgets_.end()) return it->second;
  policy::RepeatBudget budget(options_.repeats, deps_.clock);
  return budgets_.emplace(service, std::move(budget)).first->second;
}

void Dispatcher::SetRepeatLimits(const policy::RepeatLimits& limits) {
  options_.repeats = limits;
  for (auto& [service, budget] : budgets_) budget.SetLimits(limits);
}

void Dispatcher::Forget() {
  std::set<fleet::InstanceId> alive;
  for (const auto& [instance, engine] : deps_.registry.engines()) {
    alive.insert(instance);
  }
  deps_.loads.Forget(alive);
  deps_.peer_table.Forget(alive);
  deps_.clients.Forget(alive);
  deps_.gauges.Forget(alive);
}

/** @return The age of the view of the store; negative before the first answer.
 */
milliseconds Dispatcher::ViewAge() const {
  const auto as_of = deps_.view.as_of();
  if (!as_of) return milliseconds(-1);
  return std::chrono::duration_cast<milliseconds>(deps_.clock.Now() - *as_of);
}

void Dispatcher::ReportEnd(const RequestWork& work) const {
  const core::SteadyTime now = deps_.clock.Now();
  const milliseconds view_age = ViewAge();
  if (work.sends == 0 && IsDenial(work.status)) {
    deps_.metrics.Denied(work.outcome, view_age);
  }
  const auto since = [&work](core::SteadyTime time) {
    return std::chrono::duration_cast<milliseconds>(time - work.arrived);
  };
  if (work.route != nullptr) {
    deps_.metrics.RequestEnded(work.route->kind, work.outcome, since(now));
    if (work.first_byte) {
      deps_.metrics.FirstByte(work.route->kind, since(*work.first_byte));
    }
  }
  deps_.log.Event(
      LogLevel::kInfo, LogCategory::kRequest, "request_end",
      {{"request", work.request.id},
       {"route", work.route == nullptr ? "" : work.route->name},
       {"model", work.request.model},
       {"adapter", work.request.adapter},
       {"organisation", work.authorization
                            ? work.authorization->organisation_id()
                            : core::OrganisationId()},
       {"organisation_sent", work.organisation_sent},
       {"key_config", work.authorization ? work.authorization->version() : 0},
       {"public_route",
        work.authorization && work.authorization->is_public_route()},
       {"quota", work.quota_source},
       {"units", work.charge ? work.charge->units : 0.0},
       {"config",
        work.table == nullptr ? 0 : work.table->configuration().version},
       {"view_age_ms", view_age},
       {"view_late", deps_.view.is_late()},
       {"instance", work.engine},
       {"software_version", work.software_version},
       {"resumes", work.request.resumes},
       {"after_event", work.request.last_event.value_or(kNoEvent)},
       {"sends", work.sends},
       {"status", work.status},
       {"outcome", work.outcome},
       {"reason", work.reason},
       {"cut", work.cut},
       {"genuine", work.genuine},
       {"body_end", NameOf(work.answer_end.body_end)},
       {"partial_event_bytes", work.answer_end.partial_event_bytes},
       {"first_send_ms", since(work.first_send.value_or(work.arrived))},
       {"first_byte_ms", since(work.first_byte.value_or(work.arrived))},
       {"objective_ms",
        work.route == nullptr ? milliseconds(0) : work.route->objective},
       {"longest_pause_ms", work.caller.longest_pause},
       {"max_pause_ms",
        work.route == nullptr ? milliseconds(0) : work.route->max_pause},
       {"total_ms", since(now)}});
}

}  // namespace sapphire::serving
