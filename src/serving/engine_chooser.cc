/** @file engine_chooser.cc Chooses the engine that serves a request. */
#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "policy/cold_wait_func.h"
#include "serving/engine_chooser_base.h"

namespace sapphire::serving {

using core::Error;
using core::ErrorCode;
using routing::RequestKind;

namespace {

/** Longest wait between two choices without a notified change, for conditions
 * that only time changes. */
constexpr milliseconds kRecheckInterval{200};
/** An engine that accepts its next order within this time counts as free. */
constexpr milliseconds kMaxOrderWait{300};
/** A model whose engines are throttled no longer than this is not loaded on
 * another engine. */
constexpr milliseconds kShortThrottle{500};
/** From this many waiting requests on, every other entry is assumed to have as
 * many: a rare model is requested every half minute, so three at once are no
 * coincidence. */
constexpr int kMinWaitersToExtrapolate = 3;
/**
 * Nearly all streams finish within this time: 57 events of three tokens take 2
 * s on an idle engine, up to 5 s on a busy one. A stopping entry accepts new
 * streams while it has more than this left of its 8 s, which is as long as load
 * balancers may still open new connections.
 */
constexpr milliseconds kUsualStreamTime{5200};

/** An answer written this long before the process ends still leaves it: a busy
 * VM needs a few hundred milliseconds. */
constexpr milliseconds kAnswerMargin{300};

/** Callers that are refused for an engine's rest return within this share of
 * it, and within this time. */
constexpr int kReturnSpreadDivisor = 5;
constexpr milliseconds kMaxReturnSpread{500};

/** Below this many running requests streams do not pause on any engine, so the
 * choice does not matter. */
constexpr int kMinBusyRequests = 4;
/** Maximum age of peers' reports to rely on; the engines' own figures are a few
 * hundred milliseconds old. */
constexpr milliseconds kMaxReportAge{250};
/** Number of engines queried per request. */
constexpr std::size_t kMaxQueriedEngines = 3;

policy::RequestSize SizeOf(const RequestWork& work) {
  policy::RequestSize size;
  size.prompt_tokens = work.request.prompt_tokens;
  size.max_output_tokens = work.request.max_output_tokens;
  if (work.request.model.empty()) size.service_time = work.route->objective;
  return size;
}

/** @return The engines that may serve the request, other than `avoid`. */
ReplicaQuery QueryOf(const RequestWork& work,
                     const std::set<fleet::InstanceId>& avoid) {
  return {work.service->id, work.request, avoid, work.caller.software_version};
}

std::vector<policy::ReplicaCandidate> ViewsOf(
    const std::vector<FoundReplica>& found) {
  std::vector<policy::ReplicaCandidate> views;
  views.reserve(found.size());
  for (const FoundReplica& it : found) views.push_back(it.view);
  return views;
}

/** Counts a waiting request while in scope. Shares ownership of the counts:
 * when the process ends, a suspended request may be destroyed after its
 * chooser. */
class WaitingScope {
 public:
  WaitingScope(std::shared_ptr<WaitingCounts> counts, core::ModelId model)
      : counts_(std::move(counts)), model_(std::move(model)) {
    ++(*counts_)[model_];
  }
  ~WaitingScope() {
    const auto it = counts_->find(model_);
    if (--it->second == 0) counts_->erase(it);
  }
  WaitingScope(const WaitingScope&) = delete;
  WaitingScope& operator=(const WaitingScope&) = delete;

 private:
  const std::shared_ptr<WaitingCounts> counts_;
  const core::ModelId model_;
};

}  // namespace

EngineChooser::EngineChooser(policy::EnginePace pace,
                             fleet::EngineRegistry& registry,
                             const fleet::PeerTable& peer_table,
                             LoadGauges& gauges, const ReplicaFinder& finder,
                             ModelLoader& loader, const CrashWatch& crash_watch,
                             const core::Clock& clock)
    : pace_(pace),
      registry_(registry),
      peer_table_(peer_table),
      gauges_(gauges),
      finder_(finder),
      loader_(loader),
      crash_watch_(crash_watch),
      clock_(clock) {}

/** Waits until an engine can take the request. @return The engine; an empty id
 * if the caller has left. */
core::Task<fleet::InstanceId> EngineChooser::Choose(RequestWork& work) {
  while (true) {
    if (work.caller.left) co_return fleet::InstanceId();
    CheckShutdown(work, milliseconds(0));
    CheckVersion(work);
    crash_watch_.Check(CandidateOf(work));
    const std::uint64_t seen = loader_.changed().epoch();
    co_await QueryBusyEngines(work);
    if (const auto engine = TryChoose(work)) co_return *engine;
    const milliseconds ready_in = RequestModelLoad(work);
    CheckShutdown(work, ready_in);
    const milliseconds left =
        std::min(TimeLeft(work, clock_.Now()), IdleTimeLeft(work));
    if (!policy::IsWorthWaiting(ready_in, left)) {
      throw Error(
          work.runs == 0 ? ErrorCode::kNoCapacity : ErrorCode::kOutcomeUnknown,
          "no engine can serve it in its time", RetryAfterOf(work, ready_in));
    }
    const WaitingScope waiting(waiting_, work.request.model);
    const milliseconds pause =
        std::min({TimeToRecheck(work), left, TimeToShutdown()});
    co_await loader_.changed().Wait(seen, pause);
  }
}

/** @return When a refused caller should return. Those that are refused for an
 * engine's rest return apart, not all at its end. */
milliseconds EngineChooser::RetryAfterOf(const RequestWork& work,
                                         milliseconds ready_in) const {
  const milliseconds retry_after = std::max(ready_in, kDefaultRetryAfter);
  const bool rests =
      finder_.TimeToFirstRested(QueryOf(work, work.avoid)).has_value();
  const milliseconds range =
      std::min(retry_after / kReturnSpreadDivisor, kMaxReturnSpread);
  if (!rests || range <= milliseconds(0)) return retry_after;
  const std::uint64_t point = core::HashOf(work.request.id.value());
  return retry_after +
         milliseconds(point % static_cast<std::uint64_t>(range.count()));
}

/** @return Time until kAnswerMargin before the end of the process, when waiting
 * requests must be answered. */
milliseconds EngineChooser::TimeToShutdown() const {
  if (!end_) return milliseconds::max();
  const auto left = std::chrono::duration_cast<milliseconds>(
      *end_ - kAnswerMargin - clock_.Now());
  return std::max(left, milliseconds(1));
}

/** @return Time until the next choice is due even without a notified change. */
milliseconds EngineChooser::TimeToRecheck(const RequestWork& work) const {
  return std::min(TimeToFirstUnthrottled(work).value_or(kRecheckInterval),
                  kRecheckInterval);
}

/** @return Time until the first engine that is throttled or rests can take the
 * request. */
std::optional<milliseconds> EngineChooser::TimeToFirstUnthrottled(
    const RequestWork& work) const {
  // As for the choice, no engine of a plain service is avoided for good.
  const std::set<fleet::InstanceId> none;
  return finder_.TimeToFirstUnthrottled(
      QueryOf(work, work.request.model.empty() ? none : work.avoid));
}

/** Queries the load of the best candidates before a choice. Peers' reports may
 * arrive seconds late; without the query all entries send to the engine that
 * looked idle, and its streams pause. Skipped if the request names no model,
 * the reports are recent, there are fewer than two candidates, or the best one
 * is not busy. */
core::Task<> EngineChooser::QueryBusyEngines(const RequestWork& work) {
  if (work.request.model.empty() || peer_table_.Age() <= kMaxReportAge) {
    co_return;
  }
  std::vector<FoundReplica> found = finder_.Find(QueryOf(work, work.avoid));
  std::erase_if(found, [](const FoundReplica& it) { return !it.has_adapter; });
  if (found.size() < 2) co_return;
  const policy::RequestSize size = SizeOf(work);
  std::ranges::sort(found, {}, [&](const FoundReplica& it) {
    return policy::ExpectedCost(it.view, size, pace_);
  });
  if (found.front().view.running < kMinBusyRequests) co_return;
  std::vector<fleet::InstanceId> asked;
  for (const FoundReplica& it : found) {
    if (asked.size() < kMaxQueriedEngines) asked.push_back(it.instance);
  }
  co_await gauges_.Refresh(std::move(asked));
}

/** @return The best engine that can take the request now; nullopt if there is
 * none. Also requests a replica if the model's engines are overloaded, and a
 * load of the adapter if no engine that can take the request has it. */
std::optional<fleet::InstanceId> EngineChooser::TryChoose(RequestWork& work) {
  std::vector<FoundReplica> found = finder_.Find(QueryOf(work, work.avoid));
  if (found.empty() && work.request.model.empty()) {
    // Every engine has failed or refused the request; they may have recovered
    // by now.
    const std::set<fleet::InstanceId> none;
    found = finder_.Find(QueryOf(work, none));
  }
  if (!work.request.model.empty()) {
    const bool sees_all = !work.caller.software_version &&
                          !finder_.TimeToFirstRested(QueryOf(work, work.avoid));
    AddReplicaIfOverloaded(work, sees_all ? found : FindHolders(work));
  }
  std::vector<FoundReplica> ready;
  std::ranges::copy_if(found, std::back_inserter(ready),
                       &FoundReplica::has_adapter);
  if (auto best = FindCheapest(work, ready)) return best;
  RequestAdapterLoad(work, std::move(found));
  return std::nullopt;
}

/** @return The engines that would serve the request if it were new and none of
 * them rested: a rest is no demand for a further replica. */
std::vector<FoundReplica> EngineChooser::FindHolders(
    const RequestWork& work) const {
  const std::optional<fleet::SoftwareVersion> any;
  return finder_.FindWithResting(
      {work.service->id, work.request, work.avoid, any});
}

/** Loads the adapter on an engine that holds its model and accepts orders: an
 * engine that is loading a model accepts none for adapters. */
void EngineChooser::RequestAdapterLoad(const RequestWork& work,
                                       std::vector<FoundReplica> holders) {
  const LoadTarget target{work.service->id, work.request.model,
                          work.request.adapter};
  std::erase_if(holders, [&](const FoundReplica& it) {
    return it.order_left > kMaxOrderWait ||
           loader_.HasFailedRecently(target, it.instance);
  });
  const auto holder = FindCheapest(work, holders);
  if (!holder) return;
  loader_.RequestAdapterLoad(target.service, *holder, target.model,
                             target.adapter, work.request.id);
}

/** Requests one more replica of a model whose engines are overloaded. */
void EngineChooser::AddReplicaIfOverloaded(
    const RequestWork& work, const std::vector<FoundReplica>& holders) {
  if (holders.empty()) return;
  const std::vector<policy::ReplicaCandidate> views = ViewsOf(holders);
  const double demand = finder_.Demand(work.service->id, work.request.model);
  loader_.AddReplica(*work.service, work.request.model,
                     policy::AssessReplicaNeed(views, demand));
}

std::optional<fleet::InstanceId> EngineChooser::FindCheapest(
    const RequestWork& work, const std::vector<FoundReplica>& found) const {
  const std::vector<policy::ReplicaCandidate> views = ViewsOf(found);
  const auto best = policy::ChooseReplica(views, SizeOf(work), pace_);
  if (!best) return std::nullopt;
  return found[*best].instance;
}

/** Requests further replicas of a model that is being loaded, if so many
 * requests wait for it that the first engine would be overloaded at once. */
void EngineChooser::AddReplicasForWaiting(const RequestWork& work) {
  const auto it = waiting_->find(work.request.model);
  const int here = it == waiting_->end() ? 0 : it->second;
  // One or two waiting requests say nothing about the other entries.
  if (here < kMinWaitersToExtrapolate) return;
  const int engines = policy::EnginesToWake(here * peer_table_.entries());
  if (engines == 1) return;
  loader_.AddReplica(*work.service, work.request.model,
                     policy::ReplicaNeed::kUseful, engines);
}

/** Requests a load of the model unless an engine can serve it soon. @return
 * Time until it is expected to be available. */
milliseconds EngineChooser::RequestModelLoad(RequestWork& work) {
  const auto unthrottled = TimeToFirstUnthrottled(work);
  if (work.request.model.empty()) {
    if (unthrottled) return *unthrottled;
    ThrowUnavailable(work);
  }
  const std::vector<FoundReplica> held =
      finder_.Find(QueryOf(work, work.avoid));
  const bool may_serve =
      std::ranges::any_of(held, [this](const FoundReplica& it) {
        return it.has_adapter || loader_.IsControllerReachable(it.instance);
      });
  if (may_serve) {
    return std::ranges::min(held, {}, &FoundReplica::order_left).order_left;
  }
  if (unthrottled && *unthrottled <= kShortThrottle) return *unthrottled;
  const auto ready =
      loader_.RequestLoad(*work.service, work.request.model, work.request.id,
                          work.caller.software_version,
                          finder_.TimeToFirstRested(QueryOf(work, work.avoid)));
  if (!ready && !unthrottled) ThrowUnavailable(work);
  if (ready) AddReplicasForWaiting(work);
  return std::min(ready.value_or(milliseconds::max()),
                  unthrottled.value_or(milliseconds::max()));
}

/** Refuses to go on with a stream whose software version no engine serves any
 * more: waiting would not help. @throws core::Error */
void EngineChooser::CheckVersion(const RequestWork& work) const {
  const auto& version = work.caller.software_version;
  if (!version || finder_.HasVersion(work.service->id, *version)) return;
  throw Error(work.runs == 0 ? ErrorCode::kStreamVersionGone
                             : ErrorCode::kOutcomeUnknown,
              "no engine of software version " + version->value());
}

/** Refuses a request that no engine can serve. @throws core::Error */
void EngineChooser::ThrowUnavailable(const RequestWork& work) const {
  const auto reachable = loader_.TimeToFirstReachable(work.service->id);
  throw Error(
      work.runs == 0 ? ErrorCode::kNoEndpoint : ErrorCode::kOutcomeUnknown,
      "no engine can be reached",
      std::max(reachable.value_or(kDefaultRetryAfter), kDefaultRetryAfter));
}

std::optional<fleet::InstanceId> EngineChooser::FindAlternative(
    const RequestWork& work) const {
  std::set<fleet::InstanceId> avoid = work.avoid;
  avoid.insert(work.engine);
  std::vector<FoundReplica> found = finder_.Find(QueryOf(work, avoid));
  std::erase_if(found, [](const FoundReplica& it) {
    return !it.has_adapter || policy::IsSilent(it.view);
  });
  return FindCheapest(work, found);
}

void EngineChooser::LoadElsewhere(const RequestWork& work) {
  if (work.request.model.empty()) return;
  std::set<fleet::InstanceId> avoid = work.avoid;
  avoid.insert(work.engine);
  const bool is_held = !finder_.FindWithResting(QueryOf(work, avoid)).empty();
  if (is_held) return;
  constexpr int kAtOnce = 1;
  loader_.AddReplica(*work.service, work.request.model,
                     policy::ReplicaNeed::kUseful, kAtOnce,
                     work.caller.software_version);
}

/** @return Time left until the idle timeout if the request is a stream, else
 * until its deadline. */
milliseconds EngineChooser::IdleTimeLeft(const RequestWork& work) const {
  const core::SteadyTime now = clock_.Now();
  if (work.route->kind != RequestKind::kStream) return TimeLeft(work, now);
  const core::SteadyTime end = work.received + work.route->idle_timeout;
  const auto left = std::chrono::duration_cast<milliseconds>(end - now);
  return std::max(left, milliseconds(0));
}

/** Refuses requests that can't be answered before the process ends: a closed
 * connection would leave the caller without knowing whether the request ran. */
void EngineChooser::CheckShutdown(const RequestWork& work,
                                  milliseconds wait) const {
  if (!end_) return;
  const bool is_stream = work.route->kind == RequestKind::kStream;
  // A request that an engine may have run is retried until the end.
  milliseconds needed = wait + kAnswerMargin;
  if (work.runs == 0) {
    needed = wait + (is_stream ? kUsualStreamTime : work.route->timeout);
  }
  if (clock_.Now() + needed < *end_) return;
  throw Error(work.runs == 0 ? ErrorCode::kLeaving : ErrorCode::kOutcomeUnknown,
              "the process ends", milliseconds(0));
}

}  // namespace sapphire::serving
