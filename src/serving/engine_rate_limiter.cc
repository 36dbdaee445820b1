/** @file engine_rate_limiter.cc Keeps requests within the rates that engines
 * announce. */
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/task_func.h"
#include "serving/engine_rate_limiter_base.h"
#include "serving/quota_gate_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

/** Minimum rate: an engine with a limit of zero is still tried now and then, to
 * learn whether the limit has ended. */
constexpr double kMinPerSecond = 0.05;
constexpr double kMaxPerSecond = 1e6;
/** Requests allowed at once in addition to the rate. */
constexpr double kBurst = 1;
/** Window in which operators count an engine's requests. */
constexpr milliseconds kWindow{4000};
/** Minimum time for which an engine is throttled. */
constexpr milliseconds kMinThrottle{20};
/** A coordinator that does not answer is not waited for as long as for an
 * organisation's quota, since other engines may serve the request. */
constexpr milliseconds kAnswerLimit{100};
constexpr milliseconds kFailoverLimit{250};

/** @return The quota's id. Entries that know different limits of an engine use
 * different buckets. */
quota::QuotaId QuotaOf(const fleet::InstanceId& instance, double per_second) {
  return quota::QuotaId(fmt::format("{}#{}", instance.value(), per_second));
}

}  // namespace

quota::SharedLimit EngineQuotaLimit(double per_second) {
  quota::SharedLimit limit;
  limit.limit.per_second = std::clamp(per_second, kMinPerSecond, kMaxPerSecond);
  limit.limit.burst = kBurst;
  return limit;
}

quota::QuotaClientOptions EngineQuotaOptions() {
  quota::QuotaClientOptions options;
  options.rules.window = kWindow;
  options.answer_timeout = kAnswerLimit;
  options.failover_timeout = kFailoverLimit;
  return options;
}

EngineRateLimiter::EngineRateLimiter(fleet::EngineLimits& limits,
                                     quota::QuotaClient& client,
                                     FrontMetrics& metrics,
                                     const core::Logger& log)
    : limits_(limits), client_(client), metrics_(metrics), log_(log) {}

core::Task<bool> EngineRateLimiter::Acquire(fleet::InstanceId instance,
                                            core::RequestId request) {
  const auto per_second = limits_.RateOf(instance);
  if (!per_second) co_return true;
  const quota::QuotaDecision decision =
      co_await TakeUnits(client_, QuotaOf(instance, *per_second),
                         EngineQuotaLimit(*per_second), 1);
  metrics_.EngineLimitDecided(NameOf(decision.source), decision.granted);
  if (decision.granted) {
    if (decision.delay > milliseconds(0)) {
      co_await core::SleepFor(decision.delay);
    }
    co_return true;
  }
  const milliseconds time = std::max(decision.delay, kMinThrottle);
  limits_.Throttle(instance, time);
  log_.Event(LogLevel::kInfo, LogCategory::kRequest, "engine_limit_reached",
             {{"request", request},
              {"instance", instance},
              {"per_second", *per_second},
              {"source", NameOf(decision.source)},
              {"throttled_ms", time}});
  co_return false;
}

void EngineRateLimiter::Apply(const fleet::InstanceId& instance,
                              const fleet::LimitNotice& notice,
                              core::SteadyTime sent) {
  if (notice.unreadable) {
    log_.Event(LogLevel::kWarning, LogCategory::kReplica,
               "engine_limit_unreadable", {{"instance", instance}});
  }
  const fleet::LimitChange change = limits_.Apply(instance, notice, sent);
  if (change == fleet::LimitChange::kNone) return;
  const bool named = change == fleet::LimitChange::kReported;
  log_.Event(
      LogLevel::kInfo, LogCategory::kReplica,
      named ? "engine_limit_named" : "engine_limit_ended",
      {{"instance", instance}, {"per_second", notice.per_second.value_or(0)}});
}

}  // namespace sapphire::serving
