/** @file dispatcher_hedge.cc Sends a request to a second engine while the first
 * one is silent. */
#include <boost/asio/this_coro.hpp>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "serving/dispatcher_base.h"

namespace sapphire::serving {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using routing::RequestKind;

namespace {

/** An engine that can't take a request refuses it within this time. */
constexpr milliseconds kRefusalTime{100};
/** A send ends by itself within this time after the request's deadline. */
constexpr milliseconds kSendEndMargin{200};

}  // namespace

/** Sends a request whose engine is silent to another engine as well, if one can
 * take it and the retry budget allows it. The first send goes on until that
 * engine has taken the request: it may refuse, and then a stream that has begun
 * could only be cut. */
void Dispatcher::OnSilence(const SharedWork& work,
                           const core::Executor& executor) {
  if (work->hedge || work->runs + 1 >= work->route->max_engines) return;
  // Checked again once the engine's rate allows the hedge.
  if (AuthorizeHedge(*work) == nullptr) return;
  if (!chooser_.FindAlternative(*work)) {
    chooser_.LoadElsewhere(*work);
    return;
  }
  if (!work->repeat_granted) work->repeat_granted = TakeRepeat(*work, 0.0);
  if (!work->repeat_granted) return;
  const auto hedge = std::make_shared<Hedge>();
  work->hedge = hedge;
  core::Spawn(executor, deps_.log, "send_hedge",
              [this, work, hedge] { return RunHedge(work, hedge); });
}

/** @return What allows a hedge; null if it is skipped. */
const Authorization* Dispatcher::AuthorizeHedge(RequestWork& work) const {
  try {
    return &CheckSend(work);
  } catch (const Error& e) {
    const HedgeSkip skip{e.detail(), deps_.configuration.version()};
    if (work.hedge_skip == skip) return nullptr;
    work.hedge_skip = skip;
    deps_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "hedge_skipped",
                    {{"request", work.request.id},
                     {"reason", skip.reason},
                     {"config", skip.config}});
    return nullptr;
  }
}

/** Sends a hedge and waits until its engine has taken or refused it. */
core::Task<> Dispatcher::RunHedge(SharedWork work,
                                  std::shared_ptr<Hedge> hedge) {
  hedge->send = co_await BeginHedge(work, *hedge);
  if (hedge->send == nullptr) {
    if (work->hedge == hedge) work->hedge = nullptr;
    co_return;
  }
  const core::Executor executor = co_await boost::asio::this_coro::executor;
  core::Spawn(executor, deps_.log, "await_refusal",
              [this, work, hedge] { return StopFirstSend(work, hedge); });
  const bool is_stream = work->route->kind == RequestKind::kStream;
  Exchange& exchange = *hedge->send->exchange;
  std::optional<ExchangeResult> failure =
      co_await exchange.Open(hedge->send->options, is_stream);
  const bool is_current = work->hedge == hedge;
  if (is_current && work->current == nullptr) {
    hedge->failure = std::move(failure);
    hedge->state = HedgeState::kDecided;
    hedge->decided.Notify();
    co_return;
  }
  if (!is_current || failure || !exchange.succeeded()) {
    if (!failure) {
      failure = exchange.MakeResult(ExchangeEnd::kEngineFailed,
                                    "an answer without success", false);
    }
    DropHedge(*work, hedge, *failure);
    co_return;
  }
  hedge->state = HedgeState::kDecided;
  work->current->exchange->Stop(StopReason::kSuperseded);
}

/** Stops the first send of a request that has no part of its answer yet, unless
 * the hedge's engine refuses the request at once. Two places in the queues of
 * busy engines for one request would make all requests wait longer. */
core::Task<> Dispatcher::StopFirstSend(SharedWork work,
                                       std::shared_ptr<Hedge> hedge) {
  co_await core::SleepFor(kRefusalTime);
  // A refusal that arrived while the event loop was busy is handled first.
  co_await core::SleepFor(kCatchUpTime);
  const bool is_waiting = work->hedge == hedge && work->current != nullptr &&
                          hedge->state == HedgeState::kPending;
  if (!is_waiting || work->caller.begun) co_return;
  work->current->exchange->Stop(StopReason::kSuperseded);
}

/** @return The send; null if the hedge is not sent after all. */
core::Task<std::shared_ptr<EngineSend>> Dispatcher::BeginHedge(
    SharedWork work, const Hedge& hedge) {
  const auto engine = chooser_.FindAlternative(*work);
  if (!engine) co_return nullptr;
  const bool may_send =
      co_await deps_.rate_limiter.Acquire(*engine, work->request.id);
  if (!may_send || work->hedge.get() != &hedge || work->caller.left ||
      deps_.crash_watch.IsSuspect(CandidateOf(*work))) {
    co_return nullptr;
  }
  const Authorization* const authorization = AuthorizeHedge(*work);
  if (authorization == nullptr) co_return nullptr;
  const core::Executor executor = co_await boost::asio::this_coro::executor;
  const auto send = BeginSend(work, *authorization, {*engine, 1}, executor);
  if (send == nullptr) co_return nullptr;
  work->repeat_granted = false;
  deps_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "hedge_sent",
                  {{"request", work->request.id},
                   {"instance", *engine},
                   {"organisation", send->options.organisation},
                   {"silent_instance", work->current->engine},
                   {"sends", work->sends},
                   {"left_ms", TimeLeft(*work, deps_.clock.Now())}});
  co_return send;
}

/** Handles the end of a hedge while the request is served by another send. */
void Dispatcher::DropHedge(RequestWork& work,
                           const std::shared_ptr<Hedge>& hedge,
                           const ExchangeResult& result) {
  if (work.hedge == hedge) {
    work.hedge = nullptr;
    AvoidUnlessResting(work, hedge->send->engine, result);
    if (result.end != ExchangeEnd::kNotRun) ++work.runs;
    // Without a connection the hedge never arrived, so it does not count as a
    // retry.
    if (result.unreachable) work.repeat_granted = true;
    deps_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "hedge_failed",
                    {{"request", work.request.id},
                     {"instance", hedge->send->engine},
                     {"end", NameOf(result.end)},
                     {"reason", result.reason}});
  }
  sender_.End(*hedge->send, result);
}

/** Ends a hedge that is not needed any more. */
void Dispatcher::CancelHedge(RequestWork& work) {
  const std::shared_ptr<Hedge> hedge = std::exchange(work.hedge, nullptr);
  if (hedge == nullptr || hedge->send == nullptr) return;
  // An engine that runs a stream has sent its head with the first event.
  if (work.route->kind != RequestKind::kStream) ++work.runs;
  deps_.log.Event(
      LogLevel::kInfo, LogCategory::kRequest, "hedge_cancelled",
      {{"request", work.request.id}, {"instance", hedge->send->engine}});
  Exchange& exchange = *hedge->send->exchange;
  exchange.Stop(StopReason::kCancelled);
  if (hedge->state != HedgeState::kDecided) return;
  sender_.End(*hedge->send,
              exchange.MakeResult(ExchangeEnd::kCancelled, "", false));
}

/** Goes on with the hedge as the only send, after the first one has ended.
 * @return As Attempt. */
core::Task<bool> Dispatcher::ContinueWithHedge(SharedWork work) {
  const std::shared_ptr<Hedge> hedge = work->hedge;
  const core::SteadyTime end = work->deadline + kSendEndMargin;
  while (hedge->state == HedgeState::kPending && deps_.clock.Now() < end) {
    const auto left = std::chrono::ceil<milliseconds>(end - deps_.clock.Now());
    co_await hedge->decided.Wait(hedge->decided.epoch(), left);
  }
  if (hedge->state == HedgeState::kPending) {
    CancelHedge(*work);
    throw Error(ErrorCode::kTimedOut, "no answer by the deadline");
  }
  work->hedge = nullptr;
  work->current = hedge->send;
  work->engine = hedge->send->engine;
  std::optional<ExchangeResult> result = std::move(hedge->failure);
  if (!result) {
    result = co_await hedge->send->exchange->Relay();
  }
  co_return co_await EndCurrentSend(*work, std::move(*result));
}

}  // namespace sapphire::serving
