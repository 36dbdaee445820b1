/** @file engine_rate_limiter_base.h Keeps requests within the rates that
 * engines name.
 */
#ifndef SAPPHIRE_SERVING_ENGINE_RATE_LIMITER_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_RATE_LIMITER_BASE_H_

#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_limits_base.h"
#include "quota/quota_client_base.h"
#include "serving/front_metrics_base.h"

namespace sapphire::serving {

/** @return Settings of the quota client that shares engines' limits. */
quota::QuotaClientOptions EngineQuotaOptions();

/** @return The quota of an engine that takes this many requests a second. */
quota::SharedLimit EngineQuotaLimit(double per_second);

/** An engine's rate is a quota that all entries share. One thread. */
class EngineRateLimiter {
 public:
  /** @pre All references outlive the gate. */
  EngineRateLimiter(fleet::EngineLimits& limits, quota::QuotaClient& client,
                    FrontMetrics& metrics, const core::Logger& log);

  /**
   * Asks to send one request to the engine.
   * @return False if its limit is used up: it is throttled for a while.
   */
  core::Task<bool> Acquire(fleet::InstanceId instance, core::RequestId request);

  /** Takes what an answer says of the engine's limit. */
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
