/** @file request_sender.cc Begins and ends sends of requests to engines. */
#include <cstdint>
#include <utility>
#include <vector>

#include "serving/request_sender_base.h"
#include "serving/send_limits_func.h"

namespace sapphire::serving {

namespace {

fleet::SendResult ResultOf(const ExchangeResult& result) {
  switch (result.end) {
    case ExchangeEnd::kServed:
      return fleet::SendResult::kServed;
    case ExchangeEnd::kNotRun:
      return fleet::SendResult::kRefused;
    case ExchangeEnd::kCallerLeft:
    case ExchangeEnd::kCancelled:
      return fleet::SendResult::kAbandoned;
    default:
      return fleet::SendResult::kFailed;
  }
}

SendOptions OptionsOf(const RequestWork& work,
                      const Authorization& authorization,
                      const fleet::EngineEntry& engine, core::SteadyTime now) {
  SendOptions send;
  send.instance = engine.instance;
  send.software_version = engine.software_version;
  send.time_left = TimeLeft(work, now);
  send.rank = authorization.rank();
  send.pass_credentials = authorization.passes_credentials();
  send.organisation = authorization.organisation_id();
  send.last_event = work.caller.events.last_event();
  return send;
}

/** @return The metric's label of the send: whether it names an organisation.
 * Judged by the route of the arrival too, so that a wrong authorization shows
 * as "missing". */
std::string_view OrganisationLabel(const RequestWork& work,
                                   const Authorization& authorization) {
  const bool is_missing =
      authorization.label() == "public_route" && !work.route->is_public;
  return is_missing ? "missing" : authorization.label();
}

}  // namespace

std::string_view NameOf(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kServed:
      return "served";
    case ExchangeEnd::kEngineFailed:
      return "engine_failed";
    case ExchangeEnd::kNotRun:
      return "not_run";
    case ExchangeEnd::kLost:
      return "lost";
    case ExchangeEnd::kCutMidway:
      return "cut_midway";
    case ExchangeEnd::kCallerLeft:
      return "caller_left";
    case ExchangeEnd::kCancelled:
      return "cancelled";
  }
  return "";
}

std::shared_ptr<EngineSend> RequestSender::Begin(
    RequestWork& work, const Authorization& authorization,
    const SendTarget& target, SendCallbacks callbacks,
    const core::Executor& executor) {
  const fleet::InstanceId& engine = target.engine;
  const fleet::EngineEntry* entry = deps_.registry.Find(engine);
  if (entry == nullptr) return nullptr;
  // The engine may have said so since it was chosen.
  const bool rests = deps_.loads.notices().RestLeft(engine) > milliseconds(0);
  if (rests || deps_.loads.IsLeaving(*entry)) return nullptr;
  deps_.loads.notices().RecordSend(engine);
  const core::SteadyTime now = deps_.clock.Now();
  auto send = std::make_shared<EngineSend>();
  send->engine = engine;
  send->part = {work.request.model, work.request.adapter};
  send->ticket = deps_.loads.Begin(engine, send->part);
  send->watched = Watch(work, *entry);
  send->options = OptionsOf(work, authorization, *entry, now);
  send->client = deps_.clients.Of(*entry);
  deps_.metrics.SendBegun(OrganisationLabel(work, authorization));
  ++work.sends;
  if (!work.first_send) work.first_send = now;
  const SendState state{work.route, work.deadline, TimeLeft(work, now),
                        work.runs + target.other_sends};
  send->exchange = std::make_unique<Exchange>(
      *send->client, deps_.engine_wire, work.request, LimitsOfSend(state),
      work.caller, deps_.clock, HooksOf(work, *send, std::move(callbacks)),
      executor, deps_.answers);
  return send;
}

WatchedSend RequestSender::Watch(const RequestWork& work,
                                 const fleet::EngineEntry& engine) {
  WatchedSend watched;
  watched.traits = work.traits;
  watched.request = work.request.id;
  watched.model = work.request.model;
  watched.instance = engine.instance;
  watched.address = engine.address;
  deps_.crash_watch.Begin(watched);
  return watched;
}

ExchangeHooks RequestSender::HooksOf(RequestWork& work, EngineSend& send,
                                     SendCallbacks callbacks) {
  ExchangeHooks hooks;
  hooks.head_received = [this, &work, instance = send.engine,
                         sent = deps_.clock.Now()](const EngineAnswer& answer) {
    deps_.notices.Record({instance, EngineCall::kRequest, work.request.id},
                         answer);
    if (!answer.genuine && !answer.not_run) return;
    // A refusal without a limit says nothing: it may have been sent before the
    // engine knew its limit.
    if (!answer.genuine && !answer.limit.per_second) return;
    deps_.rate_limiter.Apply(instance, answer.limit, sent);
  };
  hooks.first_byte = [this, &work, &watched = send.watched,
                      ticket = send.ticket, answered = callbacks.answered] {
    deps_.crash_watch.RecordAnswerPart(watched);
    answered();
    deps_.loads.RecordFirstByte(ticket);
    NotePrefix(work, ticket.instance);
    if (!work.first_byte) work.first_byte = deps_.clock.Now();
  };
  hooks.received = [this, &watched = send.watched, ticket = send.ticket,
                    answered = std::move(callbacks.answered)] {
    deps_.crash_watch.RecordAnswerPart(watched);
    answered();
    deps_.loads.RecordAnswerPart(ticket);
  };
  hooks.stream_begun = std::move(callbacks.stream_begun);
  hooks.silent = std::move(callbacks.silent);
  return hooks;
}

/** Records that the engine has read the request's prompt. */
void RequestSender::NotePrefix(const RequestWork& work,
                               const fleet::InstanceId& engine) {
  std::vector<std::uint64_t> hashes;
  for (const PromptPart& part : work.request.prompt_parts) {
    hashes.push_back(part.hash);
  }
  deps_.loads.NotePrefix(engine, work.request.model, hashes);
}

void RequestSender::End(EngineSend& send, const ExchangeResult& result) {
  send.exchange.reset();
  deps_.loads.End(send.ticket, ResultOf(result));
  deps_.crash_watch.End(send.watched, result);
  if (result.unreachable) deps_.loads.MarkUnreachable(send.engine);
  if (result.replaced) deps_.registry.MarkReplaced(send.engine);
  if (result.lacks_model) deps_.loads.MarkLacking(send.engine, send.part);
  deps_.metrics.SendEnded(NameOf(result.end));
  if (result.oversized) deps_.metrics.AnswerOversized();
}

}  // namespace sapphire::serving
