/** @file lane_queue.cc Waits for a lane (load slot) of the weight store. */
#include <algorithm>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "endpoint/lane_func.h"
#include "endpoint/lane_queue_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::LogCategory;
using core::LogLevel;
using core::Millis;
using core::Task;

namespace {
/** Swaps tried to free a lane before it is left to lapse. */
constexpr int kMaxLeaveTries = 8;
}  // namespace

LaneQueue::LaneQueue(LaneQueueOptions options, external::KeyValueStore& store,
                     const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)), store_(store), clock_(clock), log_(log) {}

Task<bool> LaneQueue::Enter(core::ModelId model, int lanes_at_once,
                            core::SteadyTime deadline) {
  const core::WallTime wall_deadline =
      clock_.WallNow() + std::chrono::duration_cast<core::WallTime::duration>(
                             deadline - clock_.Now());
  while (true) {
    const EnterResult answer =
        co_await TryEnter(model, lanes_at_once, wall_deadline);
    if (answer == EnterResult::kTaken) co_return true;
    if (answer == EnterResult::kOutage) {
      log_.Event(LogLevel::kWarning, LogCategory::kPlatform, "lane_skipped",
                 {{"model", model}});
      co_return true;
    }
    if (clock_.Now() + options_.poll >= deadline) co_return false;
    co_await core::SleepFor(options_.poll);
  }
}

/** Reads the lanes once and swaps them if that changes anything. A lost race or
 * an unknown outcome counts as waiting; the next read shows the result. */
Task<LaneQueue::EnterResult> LaneQueue::TryEnter(core::ModelId model,
                                                 int lanes_at_once,
                                                 core::WallTime deadline) {
  const core::WallTime now = clock_.WallNow();
  LaneEntry mine{options_.vm, model, deadline, now + options_.hold_limit};
  try {
    const std::string key(kLanesKey);
    const auto entry = co_await store_.Get(key);
    LanesValue lanes = entry ? DecodeLanes(entry->value) : LanesValue{};
    const bool has_bid =
        std::ranges::any_of(lanes.bids, [&](const LaneEntry& it) {
          return it.vm == mine.vm && it.model == mine.model &&
                 it.until > now + options_.bid_lifetime / 2;
        });
    const bool taken = BidForLane(lanes, mine, lanes_at_once, now);
    if (!taken && has_bid) co_return EnterResult::kWait;
    if (!taken) lanes.bids.back().until = now + options_.bid_lifetime;
    const std::string value = EncodeLanes(lanes);
    const std::int64_t revision = entry ? entry->revision : 0;
    const auto result =
        co_await store_.CompareAndSwap(key, revision, value, std::string());
    co_return taken&& result.swapped ? EnterResult::kTaken : EnterResult::kWait;
  } catch (const Error& e) {
    co_return e.code() == core::ErrorCode::kPlatformUnavailable
        ? EnterResult::kOutage
        : EnterResult::kWait;
  }
}

Task<> LaneQueue::Leave(core::ModelId model) {
  for (int i = 0; i < kMaxLeaveTries; ++i) {
    const bool dropped = co_await TryLeave(model);
    if (dropped) co_return;
  }
}

/** @return True if no further try is needed. */
Task<bool> LaneQueue::TryLeave(core::ModelId model) {
  try {
    const std::string key(kLanesKey);
    const auto entry = co_await store_.Get(key);
    if (!entry) co_return true;
    LanesValue lanes = DecodeLanes(entry->value);
    DropLane(lanes, options_.vm, model);
    const std::string value = EncodeLanes(lanes);
    const auto result = co_await store_.CompareAndSwap(key, entry->revision,
                                                       value, std::string());
    co_return result.swapped;
  } catch (const Error&) {
    co_return true;
  }
}

}  // namespace sapphire::endpoint
