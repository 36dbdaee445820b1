/** @file follow_func.h How entries follow the store. */
#ifndef SAPPHIRE_SERVING_FOLLOW_FUNC_H_
#define SAPPHIRE_SERVING_FOLLOW_FUNC_H_

#include <string>

#include "routing/store_follower_base.h"

namespace sapphire::serving {

/** @return How an entry follows the configuration. */
[[nodiscard]] routing::FollowOptions ConfigurationFollowOptions(
    const std::string& key);

/** @return How an entry follows engines' entries. */
[[nodiscard]] routing::FollowOptions EngineFollowOptions(
    const std::string& prefix);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_FOLLOW_FUNC_H_
