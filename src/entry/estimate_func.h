/** @file estimate_func.h Durations learned from what was measured. */
#ifndef SAPPHIRE_ENTRY_ESTIMATE_FUNC_H_
#define SAPPHIRE_ENTRY_ESTIMATE_FUNC_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock_base.h"
#include "policy/placement_type.h"

namespace sapphire::entry {

/** A duration: a first guess, and what was measured since. */
struct Estimate {
  core::Millis guess{0};
  core::Millis measured{0};
  std::optional<core::SteadyTime> measured_at;
};

/** Takes a measurement into the average. */
void Learn(Estimate& estimate, core::Millis sample, core::SteadyTime now);

/**
 * @return The estimate now. A measurement fades towards the guess as it ages:
 *   after one slow load, requests whose time seems too short are refused, so
 *   nothing would ever be measured again to show that loads are fast once more.
 */
core::Millis ValueAt(const Estimate& estimate, core::SteadyTime now);

/** Load times of one model, by the tier loaded from. */
struct LoadEstimates {
  Estimate memory;
  Estimate disk;
  Estimate remote;
};

/** @return First guesses from the size of the weights; rather too fast than
 * too slow, for the same reason. */
LoadEstimates GuessLoads(std::int64_t weight_bytes);

void LearnLoad(LoadEstimates& loads, policy::Tier tier, core::Millis sample,
               core::SteadyTime now);

policy::LoadTimes LoadTimesAt(const LoadEstimates& loads, core::SteadyTime now);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ESTIMATE_FUNC_H_
