/** @file soak_judge_func.h Whether a soak's promises were kept. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_JUDGE_FUNC_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_JUDGE_FUNC_H_

#include <string>
#include <vector>

#include "soak_type.h"

namespace sapphire::deploy::soak {

/** Of the attempts sent in the quiet time at the end, at least this part is
 * served. */
inline constexpr double kServedAtEnd = 0.9;

/**
 * @param served_at_end On a machine that may be busy with other things, less
 *   than the usual share is asked: it depends on how fast models load.
 * @return Every broken promise, a line each; none if all were kept.
 */
std::vector<std::string> Judge(const SoakRecord& record,
                               double served_at_end = kServedAtEnd);

/** @return How many attempts ended which way. */
std::string Summary(const SoakRecord& record);

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_JUDGE_FUNC_H_
