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

/**
 * Counts the engines that died while a request ran. Everything that ran beside
 * a crash is a suspect after it; a suspect runs alone, so the second crash
 * convicts the right one, and running to its end clears it. Safe to use from
 * any thread.
 */
class Quarantine {
 public:
  /**
   * Notes that an engine died under a request.
   * @param placed_at When the request was placed there: copies that ran
   *   together on one engine saw the same crash, which counts once.
   * @return True if this crash was not yet counted.
   */
  bool RecordCrash(std::int64_t fingerprint, const core::ModelId& model,
                   const core::EndpointId& endpoint, core::SteadyTime placed_at,
                   core::SteadyTime now);

  /** Clears a suspect that ran to its end. @return True if it was one. */
  bool RecordCompleted(std::int64_t fingerprint);

  /** @return Engines that died under this fingerprint so far. */
  [[nodiscard]] int Crashes(std::int64_t fingerprint) const;

 private:
  struct Crash {
    core::EndpointId endpoint;
    core::SteadyTime at;
  };
  struct Record {
    core::ModelId model;
    std::vector<Crash> crashes;
  };

  mutable std::mutex mutex_;
  std::map<std::int64_t, Record> records_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_QUARANTINE_BASE_H_
