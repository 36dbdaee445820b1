/** @file estimate.cc Estimates durations from measurements. */
#include <cmath>

#include "entry/estimate_func.h"

namespace sapphire::entry {

namespace {

/** Weight of the newest measurement in the moving average. */
constexpr double kNewestPart = 0.3;
constexpr std::chrono::seconds kHalfLife{60};

constexpr std::int64_t kBytesPerMegabyte = 1000000;
constexpr double kMemoryMegabytesPerMs = 20;
constexpr double kDiskMegabytesPerMs = 4;
constexpr double kRemoteMegabytesPerMs = 2;
constexpr core::Millis kLeastMemoryLoad{100};
constexpr core::Millis kLeastDiskLoad{200};
constexpr core::Millis kLeastRemoteLoad{300};

core::Millis ByBytes(std::int64_t bytes, double megabytes_per_ms,
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

void Learn(Estimate& estimate, core::Millis sample, core::SteadyTime now) {
  if (!estimate.measured_at) {
    estimate.measured = sample;
  } else {
    const double change =
        static_cast<double>((sample - estimate.measured).count());
    estimate.measured +=
        core::Millis(static_cast<std::int64_t>(change * kNewestPart));
  }
  estimate.measured_at = now;
}

core::Millis ValueAt(const Estimate& estimate, core::SteadyTime now) {
  if (!estimate.measured_at) return estimate.guess;
  const std::chrono::duration<double> age = now - *estimate.measured_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double kept = std::exp2(-(age / half_life));
  const double difference =
      static_cast<double>((estimate.measured - estimate.guess).count());
  return estimate.guess +
         core::Millis(static_cast<std::int64_t>(difference * kept));
}

LoadEstimates GuessLoads(std::int64_t weight_bytes) {
  LoadEstimates loads;
  loads.memory.guess =
      ByBytes(weight_bytes, kMemoryMegabytesPerMs, kLeastMemoryLoad);
  loads.disk.guess = ByBytes(weight_bytes, kDiskMegabytesPerMs, kLeastDiskLoad);
  loads.remote.guess =
      ByBytes(weight_bytes, kRemoteMegabytesPerMs, kLeastRemoteLoad);
  return loads;
}

void LearnLoad(LoadEstimates& loads, policy::Tier tier, core::Millis sample,
               core::SteadyTime now) {
  Learn(TierEstimate(loads, tier), sample, now);
}

policy::LoadTimes LoadTimesAt(const LoadEstimates& loads,
                              core::SteadyTime now) {
  policy::LoadTimes times;
  times.memory = ValueAt(loads.memory, now);
  times.disk = ValueAt(loads.disk, now);
  times.remote = ValueAt(loads.remote, now);
  return times;
}

}  // namespace sapphire::entry
