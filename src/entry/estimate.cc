/** @file estimate.cc Estimates durations from measurements. */
#include <cmath>

#include "entry/estimate_func.h"

namespace sapphire::entry {

namespace {

/** Weight of the newest measurement in the moving average. */
constexpr double kNewestWeight = 0.3;
constexpr std::chrono::seconds kHalfLife{60};

constexpr std::int64_t kBytesPerMegabyte = 1000000;
constexpr double kMemoryMegabytesPerMs = 20;
constexpr double kDiskMegabytesPerMs = 4;
constexpr double kRemoteMegabytesPerMs = 2;
constexpr core::Millis kMinMemoryLoad{100};
constexpr core::Millis kMinDiskLoad{200};
constexpr core::Millis kMinRemoteLoad{300};

core::Millis EstimateFromBytes(std::int64_t bytes, double megabytes_per_ms,
                               core::Millis least) {
  const double megabytes =
      static_cast<double>(bytes) / static_cast<double>(kBytesPerMegabyte);
  return least +
         core::Millis(static_cast<std::int64_t>(megabytes / megabytes_per_ms));
}

Estimate& TierEstimate(LoadEstimates& loads, policy::Tier tier) {
  switch (tier) {
    case policy::Tier::kMemory:
      return loads.memory;
    case policy::Tier::kDisk:
      return loads.disk;
    case policy::Tier::kRemote:
      break;
  }
  return loads.remote;
}

}  // namespace

void RecordSample(Estimate& estimate, core::Millis sample,
                  core::SteadyTime now) {
  if (!estimate.measured_at) {
    estimate.measured = sample;
  } else {
    const double change =
        static_cast<double>((sample - estimate.measured).count());
    estimate.measured +=
        core::Millis(static_cast<std::int64_t>(change * kNewestWeight));
  }
  estimate.measured_at = now;
}

core::Millis EstimateAt(const Estimate& estimate, core::SteadyTime now) {
  if (!estimate.measured_at) return estimate.guess;
  const std::chrono::duration<double> age = now - *estimate.measured_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double kept = std::exp2(-(age / half_life));
  const double difference =
      static_cast<double>((estimate.measured - estimate.guess).count());
  return estimate.guess +
         core::Millis(static_cast<std::int64_t>(difference * kept));
}

LoadEstimates InitialLoadEstimates(std::int64_t weight_bytes) {
  LoadEstimates loads;
  loads.memory.guess =
      EstimateFromBytes(weight_bytes, kMemoryMegabytesPerMs, kMinMemoryLoad);
  loads.disk.guess =
      EstimateFromBytes(weight_bytes, kDiskMegabytesPerMs, kMinDiskLoad);
  loads.remote.guess =
      EstimateFromBytes(weight_bytes, kRemoteMegabytesPerMs, kMinRemoteLoad);
  return loads;
}

void RecordLoadTime(LoadEstimates& loads, policy::Tier tier,
                    core::Millis sample, core::SteadyTime now) {
  RecordSample(TierEstimate(loads, tier), sample, now);
}

policy::LoadTimes LoadTimesAt(const LoadEstimates& loads,
                              core::SteadyTime now) {
  policy::LoadTimes times;
  times.memory = EstimateAt(loads.memory, now);
  times.disk = EstimateAt(loads.disk, now);
  times.remote = EstimateAt(loads.remote, now);
  return times;
}

}  // namespace sapphire::entry
