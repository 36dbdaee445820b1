/** @file engine_notices.cc Keeps what engines say of themselves in answers. */
#include <algorithm>

#include "fleet/engine_notices_base.h"

namespace sapphire::fleet {

using std::chrono::milliseconds;

namespace {

/** Longest rest that is granted at once, so that a mistyped one does not take
 * an engine out of use for good. */
constexpr milliseconds kMaxRest{300'000};
/** An engine that can't take a request turns it away within this time. */
constexpr milliseconds kTrialTime{100};
/** A rest that is prolonged by less is no news. */
constexpr milliseconds kNotableRest{500};
/** A registration that lapses in an outage of the store may be back later, and
 * may still not say that the engine leaves. */
constexpr milliseconds kKeepAfterGone{60'000};

}  // namespace

NoticeChange EngineNotices::Apply(const InstanceId& instance,
                                  const EngineNotice& notice,
                                  milliseconds spread) {
  NoticeChange change;
  if (notice.leaving) {
    change.leaving = leaving_.try_emplace(instance, clock_.Now()).second;
  }
  if (notice.unreadable) {
    change.unreadable = unreadable_.insert(instance).second;
  }
  if (notice.rest) {
    change.rest = *notice.rest > milliseconds(0) &&
                  ApplyRest(instance, *notice.rest, spread);
    return change;
  }
  const auto it = rests_.find(instance);
  // An answer that comes during the rest is to a request from before it.
  if (it != rests_.end() && clock_.Now() >= it->second.until) {
    rests_.erase(it);
    change.rest_ended = true;
  }
  return change;
}

/** @return True if the rest is news. */
bool EngineNotices::ApplyRest(const InstanceId& instance, milliseconds rest,
                              milliseconds spread) {
  const core::SteadyTime now = clock_.Now();
  const core::SteadyTime until = now + std::min(rest, kMaxRest) + spread;
  const auto [it, first] = rests_.try_emplace(instance, Rest{until, {}});
  if (first) return true;
  Rest& known = it->second;
  const bool is_news =
      now >= known.until || until >= known.until + kNotableRest;
  known.until = std::max(known.until, until);
  known.trial.reset();
  return is_news;
}

void EngineNotices::RecordSend(const InstanceId& instance) {
  const auto it = rests_.find(instance);
  if (it == rests_.end()) return;
  const core::SteadyTime now = clock_.Now();
  if (now < it->second.until) return;
  if (!it->second.trial) it->second.trial = now;
}

milliseconds EngineNotices::RestLeft(const InstanceId& instance) const {
  const auto it = rests_.find(instance);
  if (it == rests_.end()) return milliseconds(0);
  const Rest& rest = it->second;
  const core::SteadyTime end =
      rest.trial ? *rest.trial + kTrialTime : rest.until;
  const auto left = std::chrono::ceil<milliseconds>(end - clock_.Now());
  return std::max(left, milliseconds(0));
}

void EngineNotices::Forget(const std::set<InstanceId>& alive) {
  const core::SteadyTime now = clock_.Now();
  for (auto& [instance, last_alive] : leaving_) {
    if (alive.contains(instance)) last_alive = now;
  }
  std::erase_if(leaving_, [now](const auto& it) {
    return now - it.second >= kKeepAfterGone;
  });
  std::erase_if(rests_, [&](const auto& it) {
    return !alive.contains(it.first) && now >= it.second.until;
  });
  std::erase_if(unreadable_,
                [&](const InstanceId& it) { return !alive.contains(it); });
}

}  // namespace sapphire::fleet
