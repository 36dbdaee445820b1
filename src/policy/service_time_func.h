/** @file service_time_func.h Estimates how long a model's requests take. */
#ifndef SAPPHIRE_POLICY_SERVICE_TIME_FUNC_H_
#define SAPPHIRE_POLICY_SERVICE_TIME_FUNC_H_

#include <chrono>

namespace sapphire::policy {

/** Running mean and mean deviation of one model's service times. */
struct ServiceTimes {
  std::chrono::milliseconds mean{0};
  std::chrono::milliseconds deviation{0};
};

/** Adds the duration of one request to the running mean and deviation. */
void RecordServiceTime(ServiceTimes& times, std::chrono::milliseconds duration);

/**
 * @return A duration that most requests don't exceed. Admission uses it so that
 *   an admitted request seldom ends late.
 */
std::chrono::milliseconds ConservativeServiceTime(const ServiceTimes& times);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_SERVICE_TIME_FUNC_H_
