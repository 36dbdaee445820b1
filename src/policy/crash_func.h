/** @file crash_func.h Finds the requests that crash engines. */
#ifndef SAPPHIRE_POLICY_CRASH_FUNC_H_
#define SAPPHIRE_POLICY_CRASH_FUNC_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::policy {

/** Number of crashes after which requests with a fingerprint are refused. */
inline constexpr int kCrashesToQuarantine = 2;

/** Crash history and running copies of one request fingerprint. */
struct CrashRecord {
  /** Engine crashes while a copy was running, since a copy last completed. */
  int crashes = 0;
  core::SteadyTime last_crash;
  /** Endpoint of each running copy. An engine crash ends all copies at its
   * endpoint. */
  std::map<core::AttemptId, core::EndpointId> running;
};

/** Fingerprints that are running or were running during a crash. */
struct CrashTracker {
  std::map<std::int64_t, CrashRecord> records;
};

enum class DispatchDecision {
  kRun,
  kRunAlone,       ///< Suspect: runs only on an engine without other requests.
  kWaitForCopies,  ///< Runs only on the engine of the running copies, or waits
                   ///< for them to end; a suspect always waits.
  kQuarantined,    ///< Refused, so that it can't crash a third engine.
};

/**
 * Decides how a request may be dispatched.
 *
 * This guards against a request that crashes every engine it runs on and is
 * resent by its caller. All copies of a request run on one engine at a time
 * (where its prefix is cached anyway), so that copies sent in parallel can't
 * crash several engines before the first crash is known. All requests that were
 * running during a crash become suspects with one crash each. A suspect is
 * retried alone on an engine, so that a second crash can't be caused by another
 * request, and a harmless suspect completes, which resets its count.
 */
DispatchDecision DecideDispatch(const CrashTracker& tracker,
                                std::int64_t fingerprint);

/** @return The endpoints that are running the request or a copy of it, that is,
 * a request with the same fingerprint. */
std::set<core::EndpointId> EnginesWithCopies(const CrashTracker& tracker,
                                             std::int64_t fingerprint);

/** Records a dispatch. Each dispatch has a new `attempt` id. */
void RecordDispatch(CrashTracker& tracker, std::int64_t fingerprint,
                    const core::AttemptId& attempt,
                    const core::EndpointId& endpoint);

/** Records that an attempt ended without a crash. If it completed, the crash
 * count is reset unless the fingerprint is quarantined. */
void RecordEnd(CrashTracker& tracker, std::int64_t fingerprint,
               const core::AttemptId& attempt, bool completed);

/**
 * Records that the engine crashed during an attempt. Reports for other copies
 * on the same engine count as the same crash.
 * @return True if the fingerprint is now quarantined.
 */
bool RecordCrash(CrashTracker& tracker, std::int64_t fingerprint,
                 const core::AttemptId& attempt, core::SteadyTime now);

/** Raises the crash count to `crashes`, as counted elsewhere, for example by
 * the entry that placed the model's requests before. */
void MergeCrashCount(CrashTracker& tracker, std::int64_t fingerprint,
                     int crashes, core::SteadyTime now);

/** Removes fingerprints without running copies whose last crash is longer ago
 * than `keep`. */
void ExpireCrashRecords(CrashTracker& tracker, core::SteadyTime now,
                        std::chrono::milliseconds keep);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_CRASH_FUNC_H_
