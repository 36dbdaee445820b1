/** @file quarantine_base.h Tracks requests that crash engines, by fingerprint.
 */
#ifndef SAPPHIRE_CRASH_QUARANTINE_BASE_H_
#define SAPPHIRE_CRASH_QUARANTINE_BASE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "policy/crash_func.h"

namespace sapphire::crash {

/** The crashes of one fingerprint, as stored in the key-value service. */
struct CrashRecord {
  core::ModelId model;
  /** One random id for each crash, so that merging a crash twice counts it
   * once. */
  std::set<std::string> crashes;
  core::WallTime last_crash;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/** @return The text stored under a `quarantine/` key. */
std::string EncodeCrashes(const CrashRecord& record);

/** @throws core::Error kInternal if the text isn't a valid value. */
CrashRecord DecodeCrashes(const std::string& text);

/** Crash history of a fingerprint, and whether its requests may run. */
struct QuarantineStatus {
  policy::DispatchDecision dispatch = policy::DispatchDecision::kRun;
  int crashes = 0;
  /** Endpoints that currently run a request with the fingerprint. */
  std::set<core::EndpointId> copies;

  [[nodiscard]] bool IsSuspect() const { return crashes > 0; }
  [[nodiscard]] bool IsQuarantined() const {
    return dispatch == policy::DispatchDecision::kQuarantined;
  }
};

/**
 * Thread-safe policy::CrashTracker with an id for each crash, so that entries
 * can share their crashes without counting one twice.
 */
class Quarantine {
 public:
  /** @pre `clock` outlives the object. */
  explicit Quarantine(const core::Clock& clock) : clock_(clock) {}

  [[nodiscard]] QuarantineStatus StatusOf(std::int64_t fingerprint) const;

  /** Records the placement of a request; `slot_id` is unique to it. */
  void RecordDispatch(std::int64_t fingerprint, std::int64_t slot_id,
                      const core::EndpointId& endpoint);

  /**
   * Records that an engine crashed while it ran a request.
   * @return True if the crash was not counted before: requests that ran
   *   together on one engine report the same crash.
   */
  bool RecordCrash(std::int64_t fingerprint, std::int64_t slot_id,
                   const core::ModelId& model);

  /** Records an end without a crash.
   * @return True if it cleared the fingerprint's crashes. */
  bool RecordEnd(std::int64_t fingerprint, std::int64_t slot_id,
                 bool completed);

  /** @return The fingerprint's record; one without crashes if none is known. */
  [[nodiscard]] CrashRecord Find(std::int64_t fingerprint) const;

  /** @return All fingerprints with a crash. */
  [[nodiscard]] std::set<std::int64_t> Fingerprints() const;

  /** Adds the crashes that another entry recorded. */
  void Merge(std::int64_t fingerprint, const CrashRecord& record);

  /** Removes the crashes of a fingerprint that another entry cleared. */
  void Erase(std::int64_t fingerprint);

 private:
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  policy::CrashTracker tracker_;
  std::map<std::int64_t, CrashRecord> records_;
};

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_QUARANTINE_BASE_H_
