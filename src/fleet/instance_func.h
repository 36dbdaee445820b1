/** @file instance_func.h Builds and parses the identifiers of engine
 * instances. */
#ifndef SAPPHIRE_FLEET_INSTANCE_FUNC_H_
#define SAPPHIRE_FLEET_INSTANCE_FUNC_H_

#include <optional>

#include "fleet/instance_type.h"

namespace sapphire::fleet {

/** @param born Nothing if the engine doesn't report its start time. */
InstanceId MakeInstance(const EngineId& engine,
                        std::optional<EngineBirth> born);

/** @return The name of the instance's engine. */
EngineId EngineOf(const InstanceId& instance);

/** @return When the instance started; nothing if the engine doesn't report it.
 */
std::optional<EngineBirth> BirthOf(const InstanceId& instance);

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_INSTANCE_FUNC_H_
