/** @file soak_check_func.h Checks the record of a soak for violated
 * guarantees. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_CHECK_FUNC_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_CHECK_FUNC_H_

#include <string>
#include <vector>

#include "soak_type.h"

namespace sapphire::deploy::soak {

/** Least share of the attempts sent in the fault-free time at the end that has
 * to be served. */
inline constexpr double kMinServedShare = 0.9;

/**
 * @param min_served_share Least share of attempts served at the end. Use less
 * than the default on a machine that may be busy with other work, because the
 *   share depends on how fast models load.
 * @return One line per violation; empty if there is none.
 */
std::vector<std::string> FindViolations(
    const SoakRecord& record, double min_served_share = kMinServedShare);

/** @return The number of requests that were at a silent engine as their key
 * went to nobody, or to an organisation. */
int CountSilentChanges(const SoakRecord& record, bool to_nobody);

/** @return The number of attempts by outcome, of orders and of deadly crashes,
 * on one line. */
std::string Summary(const SoakRecord& record);

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_CHECK_FUNC_H_
