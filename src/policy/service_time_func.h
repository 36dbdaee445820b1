/** @file service_time_func.h How long a model's requests take, as learnt. */
#ifndef SAPPHIRE_POLICY_SERVICE_TIME_FUNC_H_
#define SAPPHIRE_POLICY_SERVICE_TIME_FUNC_H_

#include <chrono>

namespace sapphire::policy {

/** Running mean and mean deviation of one model's service times. */
struct ServiceTimes {
  std::chrono::milliseconds mean{0};
  std::chrono::milliseconds deviation{0};
};

/** Notes that a request ran for `duration`. */
void RecordServiceTime(ServiceTimes& times, std::chrono::milliseconds duration);

/**
 * @return A time that most requests keep to: what admission counts with, so
 *   that one admitted to the queue seldom ends late.
 */
std::chrono::milliseconds CautiousServiceTime(const ServiceTimes& times);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_SERVICE_TIME_FUNC_H_
