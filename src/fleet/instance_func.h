/** @file instance_func.h Builds and parses the identifiers of engine
 * instances. */
#ifndef SAPPHIRE_FLEET_INSTANCE_FUNC_H_
#define SAPPHIRE_FLEET_INSTANCE_FUNC_H_

#include <optional>

#include "fleet/instance_type.h"

namespace sapphire::fleet {

/** @param start_time Nothing if the engine doesn't report its start time. */
InstanceId MakeInstance(const EngineId& engine,
                        std::optional<EngineStartTime> start_time);

/** @return The name of the instance's engine. */
EngineId EngineOf(const InstanceId& instance);

/** @return When the instance started; nothing if the engine doesn't report it.
 */
std::optional<EngineStartTime> StartTimeOf(const InstanceId& instance);

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_INSTANCE_FUNC_H_
