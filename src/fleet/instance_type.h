/** @file instance_type.h Identifiers of engines and of their instances. */
#ifndef SAPPHIRE_FLEET_INSTANCE_TYPE_H_
#define SAPPHIRE_FLEET_INSTANCE_TYPE_H_

#include <chrono>

#include "core/id_type.h"

namespace sapphire::fleet {

/** The name under which an engine registers; may stay the same after a restart.
 */
using EngineId = core::StrongId<struct EngineTag>;

/** When an engine started, by its own clock. Distinguishes the instances of one
 * engine; never compared with times of other machines. */
using EngineStartTime = std::chrono::time_point<std::chrono::system_clock,
                                                std::chrono::milliseconds>;

/**
 * One run of an engine process, identified by the engine's name and start time.
 * All state about engines is kept per instance, as a restarted engine has lost
 * its models and its state. The text form, "NAME@MILLISECONDS", is used in logs
 * and between the processes of this system. An engine that doesn't report its
 * start time has a new name after each start; its text form is the name alone.
 */
using InstanceId = core::StrongId<struct InstanceTag>;

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_INSTANCE_TYPE_H_
