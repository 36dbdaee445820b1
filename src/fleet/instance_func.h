/** @file instance_func.h The parts of an engine's start. */
#ifndef SAPPHIRE_FLEET_INSTANCE_FUNC_H_
#define SAPPHIRE_FLEET_INSTANCE_FUNC_H_

#include <optional>

#include "fleet/instance_type.h"

namespace sapphire::fleet {

/** @param born Nothing if the engine does not tell. */
InstanceId MakeInstance(const EngineId& engine,
                        std::optional<EngineBirth> born);

/** @return The engine's name. */
EngineId EngineOf(const InstanceId& instance);

/** @return When it started; nothing if the engine does not tell. */
std::optional<EngineBirth> BirthOf(const InstanceId& instance);

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_INSTANCE_FUNC_H_
