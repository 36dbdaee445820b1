/** @file service_time.cc Estimates how long a model's requests take. */
#include "policy/service_time_func.h"

namespace sapphire::policy {

namespace {

/** A new value has a weight of one part in this many. */
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
/** Number of mean deviations added to the mean for admission. More of them mean
 * fewer late answers but more refusals, as measured in docs/POLICY.md. */
constexpr int kAddedDeviations = 1;

}  // namespace

void RecordServiceTime(ServiceTimes& times,
                       std::chrono::milliseconds duration) {
  if (times.mean.count() == 0) {
    times.mean = duration;
    times.deviation = duration / 4;
    return;
  }
  const auto error = duration - times.mean;
  times.mean += error / kMeanDivisor;
  times.deviation +=
      (std::chrono::abs(error) - times.deviation) / kDeviationDivisor;
}

std::chrono::milliseconds ConservativeServiceTime(const ServiceTimes& times) {
  return times.mean + kAddedDeviations * times.deviation;
}

}  // namespace sapphire::policy
