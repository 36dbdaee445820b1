/** @file engine_rate_limiter_base.h Keeps requests within the rates that
 * engines announce. */
#ifndef SAPPHIRE_SERVING_ENGINE_RATE_LIMITER_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_RATE_LIMITER_BASE_H_

#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_limits_base.h"
#include "quota/quota_client_base.h"
#include "serving/front_metrics_base.h"

namespace sapphire::serving {

/** @return Options of the quota client that shares engines' limits. */
quota::QuotaClientOptions EngineQuotaOptions();

/** @return The quota of an engine that accepts this many requests per second.
 */
quota::SharedLimit EngineQuotaLimit(double per_second);

/** Limits the requests to engines; all entries share an engine's rate as a
 * quota. Not thread-safe. */
class EngineRateLimiter {
 public:
  /** @pre All references outlive the limiter. */
  EngineRateLimiter(fleet::EngineLimits& limits, quota::QuotaClient& client,
                    FrontMetrics& metrics, const core::Logger& log);

  /**
   * Waits for permission to send one request to the engine.
   * @return False if its limit is used up; the engine is then throttled for a
   *   while.
   */
  core::Task<bool> Acquire(fleet::InstanceId instance, core::RequestId request);

  /** Applies the limit that an engine's answer announces or omits. */
  void Apply(const fleet::InstanceId& instance,
             const fleet::LimitNotice& notice, core::SteadyTime sent);

 private:
  fleet::EngineLimits& limits_;
  quota::QuotaClient& client_;
  FrontMetrics& metrics_;
  const core::Logger& log_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_RATE_LIMITER_BASE_H_
