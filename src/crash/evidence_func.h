/** @file evidence_func.h Finds what the requests that crash engines have in
 * common. */
#ifndef SAPPHIRE_CRASH_EVIDENCE_FUNC_H_
#define SAPPHIRE_CRASH_EVIDENCE_FUNC_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock_base.h"
#include "crash/evidence_type.h"

namespace sapphire::crash {

/** Crashes that are kept; the oldest are dropped first. */
inline constexpr std::size_t kMaxCrashes = 256;
/** Traits of which survivals are kept, some 100 bytes each; the older half is
 * dropped when there are more. */
inline constexpr std::size_t kMaxSurvivals = 20'000;
/** Crashes and survivals are forgotten after this. */
inline constexpr std::chrono::hours kEvidenceLifetime{24};

/** Adds what an entry has seen of a crash; repeating a report changes nothing.
 * @return True if it tells anything new. */
bool AddCrash(CrashEvidence& evidence, const CrashReport& report);

/** @return True if it is later than what was known. */
bool AddSurvival(CrashEvidence& evidence, const Survival& survival);

/** Removes crashes that are older than kEvidenceLifetime, or more than
 * kMaxCrashes. */
void Expire(CrashEvidence& evidence, core::SteadyTime now);

/** @return When a request with the trait was last answered, if known. */
std::optional<core::SteadyTime> LastSurvival(const CrashEvidence& evidence,
                                             const Trait& trait);

/** @return This entry's place among the entries that may try a trait, 0 for
 * the first; each trait has another order. */
using RankFunction = std::function<int(const Trait& trait)>;

/**
 * Decides whether a request may be sent.
 *
 * Each crash shows the traits of the requests that were beginning then. The
 * cause is among them; nothing else is known of the others. A trait is suspect
 * from its first crash on and is cleared by a request that is answered. Until
 * then a request that has it is a trial, which an entry sends one at a time:
 * - After its first crashes it is tried soon, at a time that differs between
 *   entries so that they do not all try at once.
 * - After several it is refused, and tried again after pauses that grow with
 *   each failed trial. A trait that was blamed wrongly, as when many
 *   engines fail at once for another reason, recovers with the first trial.
 * - If another trait, which this request lacks, was there in each of a prompt
 *   part's crashes too, the request is tried soon whatever their number: it is
 *   more likely sound, and its answer clears all that it shares with the cause.
 */
Assessment Assess(const CrashEvidence& evidence,
                  const std::vector<Trait>& traits, core::SteadyTime now,
                  const RankFunction& rank_of);

/** @return Those of the traits that crashes count against. */
std::vector<Trait> SuspectsAmong(const CrashEvidence& evidence,
                                 const std::vector<Trait>& traits);

/** @return All traits that crashes count against, for operators. */
std::vector<Assessment> ListSuspects(const CrashEvidence& evidence,
                                     core::SteadyTime now);

/** @return "part-HASH" or "request-HASH", the hash in hexadecimal. */
std::string NameOf(const Trait& trait);

/** @return The trait of a name; nullopt if it is none. */
std::optional<Trait> TraitNamed(std::string_view name);

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_EVIDENCE_FUNC_H_
