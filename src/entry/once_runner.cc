/** @file once_runner.cc Runs non-idempotent requests at most once. */
#include <algorithm>
#include <set>
#include <utility>

#include "core/random_func.h"
#include "core/task_func.h"
#include "entry/claim_func.h"
#include "entry/once_runner_base.h"
#include "entry/recording_base.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Task;

namespace {

constexpr int kMaxPlacements = 4;

Error OutcomeUnknown(const std::string& why) {
  return Error(ErrorCode::kOutcomeUnknown, why);
}

/** Replays an answer that an earlier run stored in the key-value service. */
Task<> Replay(const StoredAnswer& answer, AnswerSink& sink) {
  co_await sink.Head(answer.head);
  if (!answer.body.empty()) {
    co_await sink.Part(answer.body);
  }
  co_await sink.End();
}

void CheckSameRequest(std::int64_t stored, const gen::Run& run) {
  if (stored == run.fingerprint) return;
  throw Error(ErrorCode::kBadHeader,
              "Idempotency-Key: was used with another request");
}

gen::RunResult::type ResultOf(const AttemptResult& result) {
  if (result.end == AttemptEnd::kCompleted) return gen::RunResult::COMPLETED;
  if (result.end == AttemptEnd::kCrashed) return gen::RunResult::ENGINE_CRASHED;
  if (result.end == AttemptEnd::kNotStarted) return gen::RunResult::NOT_STARTED;
  return gen::RunResult::ABANDONED;
}

}  // namespace

OnceRunner::OnceRunner(const core::Executor& executor,
                       OnceRunnerOptions options, ClaimStore& claims,
                       Placer& placer, link::LinkNode& links,
                       const core::Clock& clock, const core::Logger& log)
    : executor_(executor),
      options_(std::move(options)),
      claims_(claims),
      placer_(placer),
      links_(links),
      clock_(clock),
      log_(log) {}

OnceRunner::~OnceRunner() = default;

OnceRunner::Shard& OnceRunner::ShardOf(const std::string& key) {
  return shards_[core::HashOf(key) % kShards];
}

int OnceRunner::in_progress() const { return in_progress_; }

Task<> OnceRunner::Run(gen::Run run, core::SteadyTime deadline,
                       AnswerSink& sink) {
  const std::string key = ClaimKey(run);
  const auto recording = JoinOrStart(key, run, deadline);
  CheckSameRequest(recording->fingerprint(), run);
  co_await recording->Follow(sink, deadline, clock_);
}

std::shared_ptr<Recording> OnceRunner::JoinOrStart(const std::string& key,
                                                   const gen::Run& run,
                                                   core::SteadyTime deadline) {
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  auto& slot = shard.runs[key];
  if (slot && !slot->ended_not_run()) return slot;
  slot = std::make_shared<Recording>(run.fingerprint);
  core::Spawn(executor_, log_, "run_once",
              [this, key, run, deadline, recording = slot] {
                return Execute(key, run, deadline, recording);
              });
  return slot;
}

Task<> OnceRunner::Execute(std::string key, gen::Run run,
                           core::SteadyTime deadline,
                           std::shared_ptr<Recording> recording) {
  ++in_progress_;
  try {
    co_await ClaimAndDispatch(key, std::move(run), deadline, recording);
  } catch (const Error& e) {
    recording->Fail(e);
  } catch (const std::exception& e) {
    recording->Fail(Error(ErrorCode::kInternal, e.what()));
  }
  --in_progress_;
  co_await ForgetLater(std::move(key), std::move(recording));
}

Task<> OnceRunner::ClaimAndDispatch(std::string key, gen::Run run,
                                    core::SteadyTime deadline,
                                    std::shared_ptr<Recording> recording) {
  Claim claim;
  claim.attempt = core::AttemptId(core::RandomHexId());
  claim.entry = options_.self;
  claim.fingerprint = run.fingerprint;
  claim.created = clock_.WallNow();
  const AcquireResult acquired = co_await claims_.Acquire(key, claim, deadline);
  if (!acquired.acquired) {
    CheckSameRequest(acquired.claim.fingerprint, run);
    co_await FollowExisting(acquired.claim, std::move(run), deadline,
                            recording);
    co_return;
  }
  AttemptResult result =
      co_await DispatchOnce(std::move(run), deadline, recording);
  if (result.end == AttemptEnd::kCompleted) {
    claim.state = ClaimState::kDone;
    claim.answer = recording->answer();
    co_await claims_.Settle(std::move(key), std::move(claim));
    co_return;
  }
  if (result.end == AttemptEnd::kNotStarted) {
    claim.state = ClaimState::kVoid;
    co_await claims_.Settle(std::move(key), std::move(claim));
  }
  // Any other outcome leaves the claim unchanged: a resend gets "unknown", and
  // the request is never run again.
  throw Error(*result.error);
}

/** Handles a claim held by another attempt: replays its stored answer or
 * follows its run at the entry that runs it. Never runs the request itself. */
Task<> OnceRunner::FollowExisting(Claim existing, gen::Run run,
                                  core::SteadyTime deadline,
                                  std::shared_ptr<Recording> recording) {
  if (existing.answer) {
    co_await Replay(*existing.answer, *recording);
    co_return;
  }
  if (existing.state == ClaimState::kDone) {
    throw Error(ErrorCode::kAlreadyRan, "its answer is not kept");
  }
  // Claimed by this VM, but by no run in memory: a previous process made it.
  if (existing.entry == options_.self) {
    throw OutcomeUnknown("the entry that ran it has restarted");
  }
  for (const KnownEntry& entry : placer_.RankedEntries("")) {
    if (entry.vm != existing.entry) continue;
    const AttemptResult result = co_await RunAttempt(
        links_, entry.address, run, deadline, *recording, clock_);
    if (result.end == AttemptEnd::kCompleted) co_return;
    if (result.error->code() == ErrorCode::kTimedOut) throw *result.error;
  }
  throw OutcomeUnknown("the entry that ran it can't be asked");
}

Task<AttemptResult> OnceRunner::DispatchOnce(
    gen::Run run, core::SteadyTime deadline,
    std::shared_ptr<Recording> recording) {
  std::set<core::EndpointId> avoid;
  AttemptResult result;
  // The run outlives its first caller, since a resend may be waiting for it.
  const auto never_abandoned = [] { return false; };
  for (int i = 0; i < kMaxPlacements; ++i) {
    std::unique_ptr<Placement> place;
    try {
      place = co_await placer_.Place(run, avoid, deadline, never_abandoned);
    } catch (const Error& e) {
      co_return AttemptResult{AttemptEnd::kNotStarted, e, 0};
    }
    const core::EndpointId endpoint(place->placed().endpoint);
    run.attempt_id = core::RandomHexId();
    run.keep_alive_ms = place->placed().keep_alive_ms;
    result = co_await DispatchTo(std::move(place), run, deadline, recording);
    if (result.end != AttemptEnd::kNotStarted) break;
    avoid.insert(endpoint);
  }
  co_return result;
}

Task<AttemptResult> OnceRunner::DispatchTo(
    std::unique_ptr<Placement> place, gen::Run run, core::SteadyTime deadline,
    std::shared_ptr<Recording> recording) {
  const gen::Placed placed = place->placed();
  log_.Event(LogLevel::kInfo, LogCategory::kRequest, "dispatched_once",
             {{"request", run.request_id},
              {"endpoint", placed.endpoint},
              {"attempt", run.attempt_id}});
  AttemptResult result = co_await RunAttempt(links_, placed.address, run,
                                             deadline, *recording, clock_);
  const bool ask = result.end == AttemptEnd::kUnknown && !recording->started();
  if (ask) {
    const auto limit = std::min(deadline, clock_.Now() + options_.void_timeout);
    const bool never_ran =
        co_await VoidAttempt(links_, placed.address, run.attempt_id,
                             result.incarnation, limit, clock_);
    if (never_ran) {
      result.end = AttemptEnd::kNotStarted;
      result.error.emplace(ErrorCode::kAttemptVoided,
                           "the link was lost before it started");
    }
  }
  place->Finish(ResultOf(result));
  co_return result;
}

Task<> OnceRunner::ForgetLater(std::string key,
                               std::shared_ptr<Recording> recording) {
  co_await core::SleepFor(options_.finished_retention);
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  const auto it = shard.runs.find(key);
  if (it != shard.runs.end() && it->second == recording) shard.runs.erase(it);
}

}  // namespace sapphire::entry
