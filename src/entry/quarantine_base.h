/** @file quarantine_base.h Requests that crash engines, by fingerprint. */
#ifndef SAPPHIRE_ENTRY_QUARANTINE_BASE_H_
#define SAPPHIRE_ENTRY_QUARANTINE_BASE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::entry {

/** Engines that may die under one fingerprint before it is refused. */
inline constexpr int kCrashLimit = 2;

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

/**
 * Counts the engines that died while a request ran. Everything that ran beside
 * a crash is a suspect after it; a suspect runs alone, so the second crash
 * convicts the right one, and running to its end clears it. Safe to use from
 * any thread.
 */
class Quarantine {
 public:
  /** @pre `clock` outlives the object. */
  explicit Quarantine(const core::Clock& clock) : clock_(clock) {}

  /**
   * Notes that an engine died under a request.
   * @param placed_at When the request was placed there: copies that ran
   *   together on one engine saw the same crash, which counts once.
   * @return True if this crash was not yet counted.
   */
  bool RecordCrash(std::int64_t fingerprint, const core::ModelId& model,
                   const core::EndpointId& endpoint,
                   core::SteadyTime placed_at);

  /** Clears a suspect that ran to its end. @return True if it was one. */
  bool RecordCompleted(std::int64_t fingerprint);

  /** @return Engines that died under this fingerprint so far. */
  [[nodiscard]] int Crashes(std::int64_t fingerprint) const;

  /** @return What is known; no crashes if nothing is. */
  [[nodiscard]] CrashRecord Find(std::int64_t fingerprint) const;

  /** @return Every fingerprint with a crash. */
  [[nodiscard]] std::set<std::int64_t> Fingerprints() const;

  /** Adds what another entry saw. */
  void Merge(std::int64_t fingerprint, const CrashRecord& record);

  /** Forgets a fingerprint that another entry cleared. */
  void Drop(std::int64_t fingerprint);

 private:
  struct SeenHere {
    core::EndpointId endpoint;
    core::SteadyTime at;
  };
  struct Entry {
    CrashRecord record;
    std::vector<SeenHere> seen_here;
  };

  const core::Clock& clock_;
  mutable std::mutex mutex_;
  std::map<std::int64_t, Entry> entries_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_QUARANTINE_BASE_H_
