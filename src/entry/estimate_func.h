/** @file estimate_func.h Estimates durations from measurements. */
#ifndef SAPPHIRE_ENTRY_ESTIMATE_FUNC_H_
#define SAPPHIRE_ENTRY_ESTIMATE_FUNC_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock_base.h"
#include "policy/placement_type.h"

namespace sapphire::entry {

/** A duration: an initial guess and a moving average of measurements. */
struct Estimate {
  core::Millis guess{0};
  core::Millis measured{0};
  std::optional<core::SteadyTime> measured_at;
};

/** Adds a measurement to the average. */
void RecordSample(Estimate& estimate, core::Millis sample,
                  core::SteadyTime now);

/**
 * @return The estimate at `now`. A measurement decays towards the guess as it
 *   ages: after one slow load, requests whose time seems too short are refused,
 *   so no new measurement would ever show that loads are fast again.
 */
core::Millis EstimateAt(const Estimate& estimate, core::SteadyTime now);

/** Load times of one model, by source tier. */
struct LoadEstimates {
  Estimate memory;
  Estimate disk;
  Estimate remote;
};

/** @return Initial guesses from the size of the weights. They are rather too
 * short than too long, for the reason given at EstimateAt. */
LoadEstimates InitialLoadEstimates(std::int64_t weight_bytes);

void RecordLoadTime(LoadEstimates& loads, policy::Tier tier,
                    core::Millis sample, core::SteadyTime now);

policy::LoadTimes LoadTimesAt(const LoadEstimates& loads, core::SteadyTime now);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ESTIMATE_FUNC_H_
