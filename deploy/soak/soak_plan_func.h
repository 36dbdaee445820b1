/** @file soak_plan_func.h Draws the faults of a soak from a seed. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_PLAN_FUNC_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_PLAN_FUNC_H_

#include "soak_type.h"

namespace sapphire::deploy::soak {

/**
 * Draws series of faults that overlap in time. The same seed and sizes give
 * the same plan.
 * @param plan Seed, sizes and duration; its faults are replaced.
 */
SoakPlan DrawFaults(SoakPlan plan);

/** @return The faults of the plan, one per line. */
std::string DescribeFaults(const SoakPlan& plan);

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_PLAN_FUNC_H_
