/** @file evidence_type.h Crashes of engines and their possible causes. */
#ifndef SAPPHIRE_CRASH_EVIDENCE_TYPE_H_
#define SAPPHIRE_CRASH_EVIDENCE_TYPE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "core/clock_base.h"
#include "fleet/instance_type.h"

namespace sapphire::crash {

using std::chrono::milliseconds;

enum class TraitKind {
  kPromptPart,  ///< A part of the prompt that other requests may share.
  kRequest,     ///< The whole request; its repeats have it too.
};

/** A property of a request that may be the cause of an engine's crash. */
struct Trait {
  TraitKind kind = TraitKind::kPromptPart;
  std::uint64_t hash = 0;

  friend bool operator==(const Trait&, const Trait&) = default;
  friend bool operator<(const Trait& a, const Trait& b) {
    return std::tie(a.kind, a.hash) < std::tie(b.kind, b.hash);
  }
};

/** The traits of the requests that were beginning in an engine as it crashed,
 * as far as one entry knows. */
struct CrashReport {
  fleet::InstanceId instance;
  core::SteadyTime at;
  std::set<Trait> traits;
};

/** A request with the trait was answered: it crashed no engine. */
struct Survival {
  Trait trait;
  core::SteadyTime at;
};

/** One crash: an instance can crash only once. */
struct Crash {
  core::SteadyTime at;
  /** Traits of all requests that were beginning there, of all entries. */
  std::set<Trait> traits;
};

struct CrashEvidence {
  std::map<fleet::InstanceId, Crash> crashes;
  /** The instances that crashed while a request with the trait was beginning.
   */
  std::map<Trait, std::set<fleet::InstanceId>> crashes_of;
  /** When a request with the trait was last answered. */
  std::map<Trait, core::SteadyTime> survivals;
};

/** Whether a request may be sent, by its traits. */
struct Assessment {
  /** False if no trait of the request is suspected. */
  bool is_suspect = false;
  /** The trait that decides, and the crashes that count against it. */
  Trait trait;
  int crashes = 0;
  /** Time since the latest of them. */
  milliseconds age{0};
  /** Another trait, which this request lacks, explains them as well. */
  bool is_explained = false;
  /** Time until the request may be sent as a trial. */
  milliseconds wait{0};
};

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_EVIDENCE_TYPE_H_
