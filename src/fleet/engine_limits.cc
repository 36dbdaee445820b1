/** @file engine_limits.cc Rate limits that engines report. */
#include <algorithm>

#include "fleet/engine_limits_base.h"

namespace sapphire::fleet {

using std::chrono::milliseconds;

namespace {

/** A limit is sent to peers for this time after an engine reported it. */
constexpr milliseconds kReportToPeersFor{5000};
/** A limit received from a peer is valid for this time. In a large fleet each
 * peer sends a record only every few seconds. */
constexpr milliseconds kPeerLimitLifetime{10'000};

}  // namespace

LimitChange EngineLimits::Apply(const InstanceId& instance,
                                const LimitNotice& notice,
                                core::SteadyTime sent) {
  if (notice.unreadable) return LimitChange::kNone;
  const core::SteadyTime now = clock_.Now();
  if (notice.per_second) {
    Limit& limit = limits_[instance];
    const bool is_new = limit.reported_rate != notice.per_second;
    limit.reported_rate = notice.per_second;
    limit.reported_at = now;
    limit.ended_at.reset();
    return is_new ? LimitChange::kReported : LimitChange::kNone;
  }
  const auto it = limits_.find(instance);
  if (it == limits_.end()) return LimitChange::kNone;
  Limit& limit = it->second;
  const bool had_limit = RateOf(limit).has_value();
  if (limit.reported_rate && sent < limit.reported_at) {
    return LimitChange::kNone;
  }
  if (limit.peer_rate && sent < limit.peer_reported_at) {
    return LimitChange::kNone;
  }
  limit.reported_rate.reset();
  limit.peer_rate.reset();
  limit.ended_at = now;
  limit.throttled_until = now;
  return had_limit ? LimitChange::kEnded : LimitChange::kNone;
}

void EngineLimits::ApplyPeerLimit(const InstanceId& instance,
                                  double per_second) {
  const core::SteadyTime now = clock_.Now();
  Limit& limit = limits_[instance];
  // Peers may still send a limit for a while after it has ended.
  if (limit.ended_at && now - *limit.ended_at < kReportToPeersFor) return;
  limit.peer_rate = per_second;
  limit.peer_reported_at = now;
}

std::optional<double> EngineLimits::RateOf(const InstanceId& instance) const {
  const auto it = limits_.find(instance);
  if (it == limits_.end()) return std::nullopt;
  return RateOf(it->second);
}

std::optional<double> EngineLimits::RateOf(const Limit& limit) const {
  if (limit.reported_rate) return limit.reported_rate;
  if (limit.peer_rate &&
      clock_.Now() - limit.peer_reported_at < kPeerLimitLifetime) {
    return limit.peer_rate;
  }
  return std::nullopt;
}

void EngineLimits::Throttle(const InstanceId& instance, milliseconds time) {
  limits_[instance].throttled_until = clock_.Now() + time;
}

milliseconds EngineLimits::ThrottledFor(const InstanceId& instance) const {
  const auto it = limits_.find(instance);
  if (it == limits_.end()) return milliseconds(0);
  const auto left = std::chrono::ceil<milliseconds>(it->second.throttled_until -
                                                    clock_.Now());
  return std::max(left, milliseconds(0));
}

std::map<InstanceId, double> EngineLimits::RecentlyReported() const {
  std::map<InstanceId, double> lately;
  for (const auto& [instance, limit] : limits_) {
    if (limit.reported_rate &&
        clock_.Now() - limit.reported_at < kReportToPeersFor) {
      lately.emplace(instance, *limit.reported_rate);
    }
  }
  return lately;
}

int EngineLimits::limited() const {
  return static_cast<int>(std::ranges::count_if(
      limits_,
      [this](const auto& it) { return RateOf(it.second).has_value(); }));
}

void EngineLimits::Forget(const std::set<InstanceId>& alive) {
  std::erase_if(limits_,
                [&alive](const auto& it) { return !alive.contains(it.first); });
}

}  // namespace sapphire::fleet
