/** @file quarantine_base.h Requests that crash engines, by fingerprint. */
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

/** The crashes seen under one fingerprint, as kept in the platform. */
struct CrashRecord {
  core::ModelId model;
  /** One random id for each crash: adding one twice counts it once. */
  std::set<std::string> crashes;
  core::WallTime last_crash;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/** @return The value of a `quarantine/` key. */
std::string EncodeCrashes(const CrashRecord& record);

/** @throws core::Error kInternal if the text isn't such a value. */
CrashRecord DecodeCrashes(const std::string& text);

/** How a request may be placed. */
struct Verdict {
  policy::DispatchDecision dispatch = policy::DispatchDecision::kRun;
  int crashes = 0;
  /** Engines that run a copy of it now. */
  std::set<core::EndpointId> copies;

  [[nodiscard]] bool IsSuspect() const { return crashes > 0; }
  [[nodiscard]] bool IsQuarantined() const {
    return dispatch == policy::DispatchDecision::kQuarantined;
  }
};

/**
 * policy::CrashTracker for several threads, with an id for each crash, so that
 * entries can share what they saw and count nothing twice.
 */
class Quarantine {
 public:
  /** @pre `clock` outlives the object. */
  explicit Quarantine(const core::Clock& clock) : clock_(clock) {}

  [[nodiscard]] Verdict Judge(std::int64_t fingerprint) const;

  /** Notes that a request is placed; `slot_id` is new for each. */
  void RecordDispatch(std::int64_t fingerprint, std::int64_t slot_id,
                      const core::EndpointId& endpoint);

  /**
   * Notes that an engine died under a request.
   * @return True if this crash was not yet counted: copies that ran together
   *   on one engine saw the same one.
   */
  bool RecordCrash(std::int64_t fingerprint, std::int64_t slot_id,
                   const core::ModelId& model);

  /** Notes an end without a crash. @return True if it cleared a suspect. */
  bool RecordEnd(std::int64_t fingerprint, std::int64_t slot_id,
                 bool completed);

  /** @return What is known; no crashes if nothing is. */
  [[nodiscard]] CrashRecord Find(std::int64_t fingerprint) const;

  /** @return Every fingerprint with a crash. */
  [[nodiscard]] std::set<std::int64_t> Fingerprints() const;

  /** Adds what another entry saw. */
  void Merge(std::int64_t fingerprint, const CrashRecord& record);

  /** Forgets a fingerprint that another entry cleared. */
  void Drop(std::int64_t fingerprint);

 private:
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  policy::CrashTracker tracker_;
  std::map<std::int64_t, CrashRecord> records_;
};

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_QUARANTINE_BASE_H_
