/** @file evidence_codec_func.h Encodes crash evidence for other entries and for
 * the store. */
#ifndef SAPPHIRE_CRASH_EVIDENCE_CODEC_FUNC_H_
#define SAPPHIRE_CRASH_EVIDENCE_CODEC_FUNC_H_

#include <string>

#include "core/clock_base.h"
#include "crash/evidence_type.h"
#include "gen/link_types.h"

namespace sapphire::crash {

/** Messages hold ages, as entries' clocks differ. */
gen::CrashSeen ToMessage(const CrashReport& report, core::SteadyTime now);
gen::TraitSurvived ToMessage(const Survival& survival, core::SteadyTime now);
CrashReport FromMessage(const gen::CrashSeen& message, core::SteadyTime now);
Survival FromMessage(const gen::TraitSurvived& message, core::SteadyTime now);

/** Values in the store hold the time of day: they are read after a restart. */
std::string Encode(const CrashReport& report, const core::Clock& clock);
std::string Encode(const Survival& survival, const core::Clock& clock);

/** @throws core::Error kInternal if the text isn't such a value. */
CrashReport DecodeCrashReport(const std::string& text,
                              const core::Clock& clock);
Survival DecodeSurvival(const std::string& text, const core::Clock& clock);

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_EVIDENCE_CODEC_FUNC_H_
