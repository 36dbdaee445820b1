/** @file crash_func.h Which request crashes engines: told from its fellows. */
#ifndef SAPPHIRE_POLICY_CRASH_FUNC_H_
#define SAPPHIRE_POLICY_CRASH_FUNC_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::policy {

/** Crashes after which a fingerprint is refused. */
inline constexpr int kCrashesToQuarantine = 2;

/** What is known of one request fingerprint. */
struct CrashRecord {
  /** Engine crashes in which it was running, since it last completed. */
  int crashes = 0;
  core::SteadyTime last_crash;
  /** Copies in progress. A crash takes all copies at its endpoint at once. */
  std::map<core::AttemptId, core::EndpointId> running;
};

/** Fingerprints that run now or were running in a crash. */
struct CrashTracker {
  std::map<std::int64_t, CrashRecord> records;
};

enum class DispatchVerdict {
  kRun,
  kRunAlone,       ///< A suspect: only on an engine where nothing else runs.
  kWaitForCopies,  ///< Only on an engine that runs a copy, and a suspect not
                   ///< even there; else wait.
  kQuarantined,    ///< Refused: it may not reach a third engine.
};

/**
 * Judges a request before it is dispatched.
 *
 * The failure guarded against: one request crashes each engine that runs it,
 * and its caller sends it again. Copies of one request run on one engine at a
 * time (where its prefix is cached anyway), so copies sent in parallel can't
 * take several engines down before the first crash is known. Requests that
 * merely ran beside it are suspects too, with one crash each; a suspect is
 * retried alone, so a second crash can't be another request's doing, and an
 * innocent one completes, which clears it.
 */
DispatchVerdict JudgeDispatch(const CrashTracker& tracker,
                              std::int64_t fingerprint);

/** @return Engines that run a copy right now. */
std::set<core::EndpointId> EnginesWithCopies(const CrashTracker& tracker,
                                             std::int64_t fingerprint);

/** Notes a dispatch; `attempt` is new for each. */
void RecordDispatch(CrashTracker& tracker, std::int64_t fingerprint,
                    const core::AttemptId& attempt,
                    const core::EndpointId& endpoint);

/** Notes that an attempt ended without a crash; clears it if it completed. */
void RecordEnd(CrashTracker& tracker, std::int64_t fingerprint,
               const core::AttemptId& attempt, bool completed);

/**
 * Notes that the engine crashed under an attempt. Reports of further copies on
 * the same engine count as the same crash.
 * @return True if the fingerprint is quarantined by it.
 */
bool RecordCrash(CrashTracker& tracker, std::int64_t fingerprint,
                 const core::AttemptId& attempt, core::SteadyTime now);

/** Takes over a count kept elsewhere, as after a change of the home. */
void AdoptCrashes(CrashTracker& tracker, std::int64_t fingerprint, int crashes,
                  core::SteadyTime now);

/** Forgets fingerprints whose last crash is longer ago than `keep`. */
void ForgetCrashes(CrashTracker& tracker, core::SteadyTime now,
                   std::chrono::milliseconds keep);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_CRASH_FUNC_H_
