/** @file store_follower.cc Follows keys of the store with a single watch. */
#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include "core/task_func.h"
#include "routing/store_follower_base.h"

namespace sapphire::routing {

using core::LogCategory;
using core::LogLevel;

namespace {

/** Live engines whose keys expired have registered again this long after the
 * store has returned. */
constexpr std::chrono::seconds kReregistrationTime{2};
/** How long before the view becomes late it is to be renewed. */
constexpr core::Millis kRenewalReserve{300};
/** Minimum wait of a watch: without it, a process that is behind would call
 * without a pause. */
constexpr core::Millis kMinWatchWait{100};
constexpr core::Millis kUsualAnswerTime{200};

std::vector<external::KvEntry> UnderPrefix(
    const std::vector<external::KvEntry>& entries, const std::string& prefix) {
  std::vector<external::KvEntry> found;
  std::ranges::copy_if(entries, std::back_inserter(found),
                       [&prefix](const external::KvEntry& it) {
                         return it.key.starts_with(prefix);
                       });
  return found;
}

}  // namespace

StoreFollower::StoreFollower(FollowOptions options,
                             std::vector<FollowHooks> hooks,
                             external::KeyValueStore& store,
                             const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      store_(store),
      clock_(clock),
      log_(log) {}

core::Task<> StoreFollower::Run() {
  while (true) {
    std::string failure;
    try {
      if (revision_) {
        co_await WatchOnce();
      } else {
        co_await ListAll();
      }
    } catch (const std::exception& e) {
      failure = e.what();
    }
    answer_due_.reset();
    if (failure.empty()) continue;
    HandleFailure(failure);
    co_await core::SleepFor(options_.retry_pause);
  }
}

core::Task<> StoreFollower::ListAll() {
  call_began_ = clock_.Now();
  answer_due_ = call_began_ + kUsualAnswerTime;
  external::KvSnapshot snapshot = co_await store_.Snapshot(options_.prefix);
  answer_due_.reset();
  HandleAnswer();
  for (const FollowHooks& it : hooks_) {
    it.listed(UnderPrefix(snapshot.entries, it.prefix), CurrentLapseGraceEnd());
  }
  revision_ = snapshot.revision;
  listed_as_of_ = call_began_;
  HandleApplied();
}

core::Task<> StoreFollower::WatchOnce() {
  call_began_ = clock_.Now();
  const core::Millis wait = WatchWait();
  answer_due_ = call_began_ + wait + kUsualAnswerTime;
  external::WatchBatch batch =
      co_await store_.Watch(options_.prefix, *revision_, wait);
  answer_due_.reset();
  HandleAnswer();
  const std::int64_t missing = CountMissing(batch);
  if (batch.gap || missing > 0) {
    // It does not renew the view, and its own changes come with the listing.
    log_.Event(LogLevel::kInfo, LogCategory::kPlatform, "watch_gap",
               {{"prefix", options_.prefix},
                {"revision", *revision_},
                {"until", batch.revision},
                {"changes", batch.events.size()},
                {"missing", missing}});
    revision_.reset();
    // With a store that keeps little history, the next watch may have a gap at
    // once.
    co_await core::SleepFor(options_.batch_pause);
    co_return;
  }
  LogEarlyAnswer(batch, wait);
  for (external::KvEvent& event : batch.events) {
    DispatchChange(std::move(event));
  }
  revision_ = std::max(*revision_, batch.revision);
  HandleApplied();
  if (batch.events.empty()) co_return;
  co_await core::SleepFor(BatchPause());
}

/** @return How many changes the answer leaves out; 0 for some keys only, as
 * their changes have no revisions in sequence. */
std::int64_t StoreFollower::CountMissing(
    const external::WatchBatch& batch) const {
  if (!options_.prefix.empty()) return 0;
  return external::CountMissingChanges(batch, *revision_);
}

/** Logs an answer without changes that came before its wait was over. */
void StoreFollower::LogEarlyAnswer(const external::WatchBatch& batch,
                                   core::Millis wait) const {
  const auto took =
      std::chrono::duration_cast<core::Millis>(clock_.Now() - call_began_);
  if (!batch.events.empty() || took >= wait) return;
  log_.Event(LogLevel::kInfo, LogCategory::kPlatform, "watch_ended_early",
             {{"prefix", options_.prefix},
              {"after", *revision_},
              {"until", batch.revision},
              {"wait_ms", wait},
              {"call_ms", took}});
}

/** An answer tells of the time at which its call began, so after a long call
 * the view is renewed sooner than usual. */
core::Millis StoreFollower::WatchWait() const {
  return std::clamp(TimeToRenewal(),
                    std::min(kMinWatchWait, options_.watch_wait),
                    options_.watch_wait);
}

core::Millis StoreFollower::BatchPause() const {
  return std::clamp(TimeToRenewal(), core::Millis(0), options_.batch_pause);
}

core::Millis StoreFollower::TimeToRenewal() const {
  const core::SteadyTime late = *current_as_of_ + options_.late_after;
  return std::chrono::duration_cast<core::Millis>(late - clock_.Now()) -
         kRenewalReserve;
}

bool StoreFollower::IsAwaitingAnswer() const {
  return answer_due_ && clock_.Now() > *answer_due_;
}

void StoreFollower::DispatchChange(external::KvEvent event) {
  const auto hooks =
      std::ranges::find_if(hooks_, [&event](const FollowHooks& it) {
        return event.key.starts_with(it.prefix);
      });
  if (hooks != hooks_.end()) {
    hooks->changed(std::move(event), CurrentLapseGraceEnd());
  }
}

void StoreFollower::HandleFailure(const std::string& what) {
  revision_.reset();
  failed_call_began_ = call_began_;
  if (failing_since_) return;
  failing_since_ = clock_.Now();
  log_.Event(LogLevel::kWarning, LogCategory::kPlatform, "store_lost",
             {{"prefix", options_.prefix},
              {"error", what},
              {"call_ms", std::chrono::duration_cast<core::Millis>(
                              *failing_since_ - call_began_)}});
}

/** Records an answer before its keys are applied, which depends on the grace
 * period. */
void StoreFollower::HandleAnswer() {
  last_answer_ = clock_.Now();
  if (failing_since_ &&
      *last_answer_ - *failing_since_ > options_.outage_after) {
    grace_end_ = std::min(failed_call_began_ + options_.lapse_grace,
                          *last_answer_ + kReregistrationTime);
  }
}

/** Renews the view by an answer all of whose keys have been applied. Even one
 * without changes is only known to include those before its call: a watch may
 * be cut, and its answer read long after it was sent. */
void StoreFollower::HandleApplied() {
  UpdateViewTime(call_began_);
  if (!failing_since_) return;
  const auto away =
      std::chrono::duration_cast<core::Millis>(*last_answer_ - *failing_since_);
  failing_since_.reset();
  log_.Event(LogLevel::kInfo, LogCategory::kPlatform, "store_regained",
             {{"prefix", options_.prefix}, {"away_ms", away}});
}

void StoreFollower::UpdateViewTime(core::SteadyTime as_of) {
  const core::SteadyTime now = clock_.Now();
  const core::SteadyTime before = current_as_of_.value_or(as_of);
  const auto age = std::chrono::duration_cast<core::Millis>(now - before);
  current_as_of_ = std::min(as_of, now);
  options_.on_answer(age);
  if (failing_since_ || age < options_.late_after) return;
  const auto took = std::chrono::duration_cast<core::Millis>(now - call_began_);
  log_.Event(LogLevel::kWarning, LogCategory::kPlatform, "view_late",
             {{"prefix", options_.prefix}, {"age_ms", age}, {"call_ms", took}});
}

bool StoreFollower::IsLate() const {
  return current_as_of_ && !failing_since_ &&
         clock_.Now() - *current_as_of_ > options_.late_after;
}

LapseGraceEnd StoreFollower::CurrentLapseGraceEnd() const {
  if (grace_end_ && clock_.Now() < *grace_end_) return grace_end_;
  return std::nullopt;
}

}  // namespace sapphire::routing
