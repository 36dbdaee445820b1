/** @file instance_type.h One start of an engine. */
#ifndef SAPPHIRE_FLEET_INSTANCE_TYPE_H_
#define SAPPHIRE_FLEET_INSTANCE_TYPE_H_

#include <chrono>

#include "core/id_type.h"

namespace sapphire::fleet {

/** The name under which an engine registers; it may keep it over restarts. */
using EngineId = core::StrongId<struct EngineTag>;

/** When an engine started, by its own clock. Says which of two starts under
 * one name an answer is about; not compared with times of other machines. */
using EngineBirth = std::chrono::time_point<std::chrono::system_clock,
                                            std::chrono::milliseconds>;

/**
 * One start of an engine: its name and the time of its start. Whatever is
 * believed of an engine is believed of one start, as a later one under the same
 * name holds and knows nothing of before. Its text, "NAME@MILLISECONDS", goes
 * into logs and between our processes; an engine that does not tell when it
 * started has a new name at each start, and its text is the name alone.
 */
using InstanceId = core::StrongId<struct InstanceTag>;

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_INSTANCE_TYPE_H_
