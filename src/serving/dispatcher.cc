/** @file dispatcher.cc Takes a caller's request to its final answer. */
#include <algorithm>
#include <iterator>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "serving/dispatcher_base.h"
#include "serving/send_limits_func.h"

namespace sapphire::serving {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using routing::RequestKind;

namespace {

/** Longest wait between two looks at the fleet. */
constexpr milliseconds kLookAgain{100};
/** When to come back if nothing better is known. */
constexpr milliseconds kSoon{500};
/** Nearly all streams end within this: 57 events of three tokens take 2 s on an
 * idle engine, up to 5 s on a crowded one. With 8 s to leave, streams are taken
 * for as long as balancers may still send new connections. */
constexpr milliseconds kUsualStream{5200};
/** Least time in which a request can still be served. */
constexpr milliseconds kLeastTime{30};
/** Repeats after an engine's own failure leave half of the budget to those
 * after lost engines. */
constexpr double kFailureReserve = 0.5;
/** Idle time of connections to engines: engines close them after 1.5 s. */
constexpr milliseconds kEngineIdle{900};
constexpr int kMaxRank = 9;
constexpr double kHashRange = 18446744073709551616.0;

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
  }
  return "";
}

std::vector<policy::ReplicaCandidate> ViewsOf(
    const std::vector<FoundReplica>& found) {
  std::vector<policy::ReplicaCandidate> views;
  views.reserve(found.size());
  for (const FoundReplica& it : found) views.push_back(it.view);
  return views;
}

fleet::SendResult ResultOf(const ExchangeResult& result) {
  switch (result.end) {
    case ExchangeEnd::kServed:
      return fleet::SendResult::kServed;
    case ExchangeEnd::kNotRun:
      return fleet::SendResult::kRefused;
    case ExchangeEnd::kCallerLeft:
      return fleet::SendResult::kAbandoned;
    default:
      return fleet::SendResult::kFailed;
  }
}

}  // namespace

namespace {

/** Ends the send in progress when the caller closes its connection. */
class LeaveWatch {
 public:
  explicit LeaveWatch(CallerSide& caller) : caller_(caller) {
    caller.writer.WhenCallerGone([&caller] {
      caller.left = true;
      if (caller.abort) caller.abort->Now();
    });
  }
  ~LeaveWatch() { caller_.writer.WhenCallerGone({}); }
  LeaveWatch(const LeaveWatch&) = delete;
  LeaveWatch& operator=(const LeaveWatch&) = delete;

 private:
  CallerSide& caller_;
};

}  // namespace

/** A request on its way. */
struct Dispatcher::Work {
  Work(CallerRequest caller_request, http::ResponseWriter& writer,
       core::SteadyTime now)
      : request(std::move(caller_request)),
        caller(writer, request.last_event),
        arrived(now),
        heard(now) {}

  CallerRequest request;
  CallerSide caller;
  core::SteadyTime arrived;
  /** When the caller last got a part of a stream, or asked. */
  core::SteadyTime heard;
  core::SteadyTime deadline;
  std::shared_ptr<const routing::RoutingTable> table;
  const routing::Route* route = nullptr;
  const routing::Service* service = nullptr;
  /** Engines that failed or refused it. */
  std::set<fleet::InstanceId> avoid;
  /** Engines that may have run it. */
  int runs = 0;
  int sends = 0;
  std::optional<core::SteadyTime> first_byte;
  fleet::InstanceId engine;
  int status = 0;
  std::string outcome;
  std::string reason;
};

Dispatcher::Dispatcher(DispatchOptions options, DispatchParts parts)
    : options_(options), parts_(parts) {}

core::Task<> Dispatcher::Serve(const http::Request& request,
                               http::ResponseWriter& writer) {
  Work work(parts_.caller_wire.Decode(request), writer, parts_.clock.Now());
  const LeaveWatch watch(work.caller);
  std::optional<Error> refusal;
  try {
    Check(work);
    co_await Run(work);
  } catch (const Error& e) {
    refusal = e;
  }
  if (refusal) {
    work.outcome = core::InfoOf(refusal->code()).name;
    work.reason = refusal->detail();
  }
  if (work.caller.left) work.outcome = "caller_left";
  // In the middle of a stream no other answer can be given: the caller sees
  // that the stream has no end.
  const bool cut = refusal && work.caller.begun;
  if (refusal && !cut && !work.caller.left) {
    co_await Refuse(work, *refusal);
  }
  NoteEnd(work);
  if (cut) throw http::ConnectionCut(refusal->detail());
}

void Dispatcher::Check(Work& work) const {
  work.deadline = work.arrived + work.request.time_to_wait;
  work.table = parts_.configuration.current();
  if (work.table == nullptr) {
    throw Error(ErrorCode::kNotConfigured, "", kSoon);
  }
  const std::string& target = work.request.forward.target;
  work.route = work.table->Find(work.request.host, http::PathOf(target));
  if (work.route == nullptr) throw Error(ErrorCode::kUnknownPath, target);
  CheckEnd(work);
  work.deadline = std::min(work.deadline, work.arrived + work.route->timeout);
  Resolve(work);
}

/** Finds the service and what it offers. */
void Dispatcher::Resolve(Work& work) const {
  const double point =
      static_cast<double>(core::HashOf(work.request.id.value())) / kHashRange;
  const core::ServiceId& id = routing::ChooseService(*work.route, point);
  work.service = work.table->FindService(id);
  if (work.service == nullptr) {
    throw Error(ErrorCode::kUnknownService, id.value());
  }
  if (!work.service->engine) {
    work.request.model = core::ModelId();
    work.request.adapter = core::AdapterId();
    return;
  }
  const auto& models = work.service->engine->models;
  if (!models.contains(work.request.model)) {
    throw Error(ErrorCode::kUnknownModel, work.request.model.value());
  }
}

core::Task<> Dispatcher::Run(Work& work) {
  BudgetOf(work.service->id).CountRequest();
  if (work.service->engine) parts_.waker.NoteAsked(work.request.model);
  bool over = false;
  while (!over) {
    over = co_await Attempt(work);
  }
}

/** Sends the request once. @return True if it has its final answer. */
core::Task<bool> Dispatcher::Attempt(Work& work) {
  work.engine = co_await Choose(work);
  if (work.caller.left) {
    work.outcome = "caller_left";
    co_return true;
  }
  const fleet::EngineEntry* engine = parts_.registry.Find(work.engine);
  if (engine == nullptr) co_return false;
  const std::shared_ptr<http::Client> client = ClientOf(*engine);
  const fleet::SentPart part{work.request.model, work.request.adapter};
  const fleet::SendTicket ticket = parts_.loads.Begin(work.engine, part);
  SendOptions send;
  send.instance = work.engine;
  send.time_left = Left(work);
  send.rank = std::clamp(work.route->rank, 0, kMaxRank);
  send.last_event = work.caller.events.last_event();
  ++work.sends;
  const bool is_stream = work.route->kind == RequestKind::kStream;
  FirstByteHook first_byte = [this, &work, ticket] {
    parts_.loads.NoteAnswer(ticket);
    NotePrefix(work);
    if (!work.first_byte) work.first_byte = parts_.clock.Now();
  };
  const SendState state{work.route, work.deadline, Left(work), work.runs};
  const ExchangeLimits limits = LimitsOfSend(state);
  ExchangeResult result = co_await RunExchange(
      *client, parts_.engine_wire, work.request, send, limits, is_stream,
      work.caller, parts_.clock, std::move(first_byte));
  parts_.loads.End(ticket, ResultOf(result));
  if (result.unreachable) parts_.loads.NoteUnreachable(work.engine);
  if (result.replaced) parts_.registry.NoteReplaced(work.engine);
  if (result.lacks_model) parts_.loads.NoteLacking(work.engine, part);
  work.caller.abort = nullptr;
  work.outcome = NameOf(result.end);
  work.reason = result.reason;
  parts_.metrics.SendEnded(work.outcome);
  co_return co_await Conclude(work, std::move(result));
}

/** The engine has read the prompt now. */
void Dispatcher::NotePrefix(const Work& work) {
  std::vector<std::uint64_t> hashes;
  for (const PromptPart& part : work.request.prompt_parts) {
    hashes.push_back(part.hash);
  }
  parts_.loads.NotePrefix(work.engine, work.request.model, hashes);
}

/** @return True if the request has its final answer now. */
core::Task<bool> Dispatcher::Conclude(Work& work, ExchangeResult result) {
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
  parts_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "send_failed",
                   {{"request", work.request.id},
                    {"instance", work.engine},
                    {"end", work.outcome},
                    {"reason", work.reason},
                    {"sends", work.sends},
                    {"left_ms", Left(work)}});
  work.avoid.insert(work.engine);
  if (work.caller.begun) work.heard = parts_.clock.Now();
  const bool can_repeat = !may_have_run || MayRunAgain(work);
  const double reserve =
      result.end == ExchangeEnd::kEngineFailed ? kFailureReserve : 0.0;
  if (can_repeat && Left(work) > kLeastTime && TakeRepeat(work, reserve)) {
    co_return false;
  }
  if (result.failure && !work.caller.begun) {
    co_await Answer(work, std::move(*result.failure));
    co_return true;
  }
  if (work.runs == 0) throw Error(ErrorCode::kNoEndpoint, result.reason, kSoon);
  throw Error(
      result.timed_out ? ErrorCode::kTimedOut : ErrorCode::kOutcomeUnknown,
      result.reason);
}

bool Dispatcher::MayRunAgain(const Work& work) const {
  if (work.runs >= work.route->max_engines) return false;
  if (work.route->kind == RequestKind::kIdempotent) return true;
  return work.route->kind == RequestKind::kStream && work.route->resumable;
}

/** Waits until an engine can take the request. */
core::Task<fleet::InstanceId> Dispatcher::Choose(Work& work) {
  while (true) {
    if (work.caller.left) co_return fleet::InstanceId();
    CheckEnd(work);
    const std::uint64_t seen = parts_.feed.changed().epoch();
    if (const auto engine = ChooseNow(work)) co_return *engine;
    const milliseconds ready_in = WakeModel(work);
    const milliseconds left = std::min(Left(work), PatienceLeft(work));
    if (ready_in + kLeastTime > left) {
      throw Error(
          work.runs == 0 ? ErrorCode::kNoCapacity : ErrorCode::kOutcomeUnknown,
          "no engine can serve it in its time", std::max(ready_in, kSoon));
    }
    co_await parts_.feed.changed().Wait(seen, std::min(kLookAgain, left));
  }
}

/** @return The best engine that can take it now. */
std::optional<fleet::InstanceId> Dispatcher::ChooseNow(Work& work) {
  std::vector<FoundReplica> found =
      parts_.finder.Find(work.service->id, work.request, work.avoid);
  if (found.empty() && work.request.model.empty()) {
    // All have failed or refused it: any that is there may do by now.
    found = parts_.finder.Find(work.service->id, work.request, {});
  }
  if (auto loaded = JustLoaded(work, found)) return loaded;
  if (!work.request.model.empty()) WatchCrowd(work, found);
  std::vector<FoundReplica> ready;
  std::ranges::copy_if(found, std::back_inserter(ready),
                       &FoundReplica::has_adapter);
  if (auto best = Cheapest(work, ready)) return best;
  if (const auto holder = Cheapest(work, found)) {
    parts_.waker.WakeAdapter(work.service->id, *holder, work.request.model,
                             work.request.adapter, work.request.id);
  }
  return std::nullopt;
}

/** @return The engine that has just loaded the model, if no report has told so
 * yet. */
std::optional<fleet::InstanceId> Dispatcher::JustLoaded(
    const Work& work, const std::vector<FoundReplica>& found) const {
  const WakeTarget target{work.service->id, work.request.model,
                          work.request.adapter};
  auto loaded = parts_.waker.JustLoaded(target);
  if (!loaded || work.avoid.contains(*loaded)) return std::nullopt;
  const bool told = std::ranges::any_of(found, [&](const FoundReplica& it) {
    return it.instance == *loaded && it.has_adapter;
  });
  const fleet::EngineEntry* engine = parts_.registry.Find(*loaded);
  if (told || engine == nullptr || engine->draining) return std::nullopt;
  return loaded;
}

/** Has one more engine load a model whose engines are crowded. */
void Dispatcher::WatchCrowd(const Work& work,
                            const std::vector<FoundReplica>& holders) {
  if (holders.empty()) return;
  const std::vector<policy::ReplicaCandidate> views = ViewsOf(holders);
  const double demand =
      parts_.finder.Demand(work.service->id, work.request.model);
  parts_.waker.AddReplica(*work.service, work.request.model,
                          policy::NeedForReplica(views, demand));
}

std::optional<fleet::InstanceId> Dispatcher::Cheapest(
    const Work& work, const std::vector<FoundReplica>& found) const {
  const std::vector<policy::ReplicaCandidate> views = ViewsOf(found);
  policy::RequestSize size;
  size.prompt_tokens = work.request.prompt_tokens;
  size.max_output_tokens = work.request.max_output_tokens;
  if (work.request.model.empty()) size.service_time = work.route->objective;
  const auto best = policy::ChooseReplica(views, size, options_.pace);
  if (!best) return std::nullopt;
  return found[*best].instance;
}

/** Has the model loaded. @return When it is expected to serve. */
milliseconds Dispatcher::WakeModel(Work& work) {
  const Error nowhere(
      work.runs == 0 ? ErrorCode::kNoEndpoint : ErrorCode::kOutcomeUnknown,
      "no engine can be reached", kSoon);
  if (work.request.model.empty()) throw Error(nowhere);
  const bool held =
      !parts_.finder.Find(work.service->id, work.request, work.avoid).empty();
  if (held) return milliseconds(0);
  const auto ready =
      parts_.waker.Wake(*work.service, work.request.model, work.request.id);
  if (!ready) throw Error(nowhere);
  return *ready;
}

core::Task<> Dispatcher::Answer(Work& work, http::Response response) {
  work.status = response.head.status;
  try {
    co_await work.caller.writer.Send(std::move(response));
  } catch (const http::TransportError& e) {
    work.outcome = "caller_left";
    work.reason = e.what();
  }
}

core::Task<> Dispatcher::Refuse(Work& work, const Error& error) {
  http::Response response = parts_.caller_wire.Refusal(error, work.request.id);
  co_await Answer(work, std::move(response));
}

milliseconds Dispatcher::Left(const Work& work) const {
  const auto left = std::chrono::duration_cast<milliseconds>(
      work.deadline - parts_.clock.Now());
  return std::max(left, milliseconds(0));
}

/** @return How long the caller still waits for a first event. */
milliseconds Dispatcher::PatienceLeft(const Work& work) const {
  if (work.route->kind != RequestKind::kStream) return Left(work);
  const core::SteadyTime end = work.heard + work.route->patience;
  const auto left =
      std::chrono::duration_cast<milliseconds>(end - parts_.clock.Now());
  return std::max(left, milliseconds(0));
}

/**
 * The failure met: a leaving process takes a request from a connection that is
 * still open, waits for its model, and ends before it has answered; the caller
 * sees a closed connection and does not know whether to ask again.
 */
void Dispatcher::CheckEnd(const Work& work) const {
  if (!end_) return;
  const bool is_stream = work.route->kind == RequestKind::kStream;
  // What an engine has begun is tried to the last.
  milliseconds needed = kLeastTime;
  if (work.sends == 0) {
    needed = is_stream ? kUsualStream : work.route->timeout;
  }
  if (parts_.clock.Now() + needed < *end_) return;
  throw Error(work.runs == 0 ? ErrorCode::kLeaving : ErrorCode::kOutcomeUnknown,
              "the process ends", milliseconds(0));
}

bool Dispatcher::TakeRepeat(const Work& work, double reserve) {
  const bool allowed =
      BudgetOf(work.service->id).TakeRepeat(parts_.feed.entries(), reserve);
  parts_.metrics.RepeatAsked(allowed);
  return allowed;
}

policy::RepeatBudget& Dispatcher::BudgetOf(const core::ServiceId& service) {
  const auto it = budgets_.find(service);
  if (it != budgets_.end()) return it->second;
  policy::RepeatBudget budget(options_.repeats, parts_.clock);
  return budgets_.emplace(service, std::move(budget)).first->second;
}

std::shared_ptr<http::Client> Dispatcher::ClientOf(
    const fleet::EngineEntry& engine) {
  std::shared_ptr<http::Client>& client = clients_[engine.instance];
  if (!client) {
    http::ClientOptions options;
    options.max_idle_time = kEngineIdle;
    client = std::make_shared<http::Client>(engine.address, options);
  }
  return client;
}

void Dispatcher::SetRepeatLimits(const policy::RepeatLimits& limits) {
  options_.repeats = limits;
  for (auto& [service, budget] : budgets_) budget.SetLimits(limits);
}

void Dispatcher::Forget() {
  std::set<fleet::InstanceId> alive;
  for (const auto& [instance, engine] : parts_.registry.engines()) {
    alive.insert(instance);
  }
  parts_.loads.Forget(alive);
  std::erase_if(clients_,
                [&alive](const auto& it) { return !alive.contains(it.first); });
}

void Dispatcher::NoteEnd(const Work& work) const {
  const core::SteadyTime now = parts_.clock.Now();
  const auto since = [&work](core::SteadyTime time) {
    return std::chrono::duration_cast<milliseconds>(time - work.arrived);
  };
  if (work.route != nullptr) {
    parts_.metrics.RequestEnded(work.route->kind, work.outcome, since(now));
    if (work.first_byte) {
      parts_.metrics.FirstByte(work.route->kind, since(*work.first_byte));
    }
  }
  parts_.log.Event(
      LogLevel::kInfo, LogCategory::kRequest, "request_end",
      {{"request", work.request.id},
       {"route", work.route == nullptr ? "" : work.route->name},
       {"model", work.request.model},
       {"adapter", work.request.adapter},
       {"config",
        work.table == nullptr ? 0 : work.table->configuration().version},
       {"instance", work.engine},
       {"sends", work.sends},
       {"status", work.status},
       {"outcome", work.outcome},
       {"reason", work.reason},
       {"first_byte_ms", since(work.first_byte.value_or(work.arrived))},
       {"total_ms", since(now)}});
}

}  // namespace sapphire::serving
