/** @file claim_type.h Claims: who runs a non-idempotent request, and how it
 * ended. */
#ifndef SAPPHIRE_ENTRY_CLAIM_TYPE_H_
#define SAPPHIRE_ENTRY_CLAIM_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/id_type.h"
#include "gen/link_types.h"

namespace sapphire::entry {

enum class ClaimState {
  kClaimed,  ///< It may run, or may have run.
  kVoid,     ///< It certainly has not run; a resend may claim it anew.
  kDone,     ///< It has run.
};

/** A whole answer, kept for callers who did not get it. */
struct StoredAnswer {
  gen::RunHead head;
  std::string body;
};

/** The value of one `claims/...` key. */
struct Claim {
  /** Random for each try to claim: tells our own write from another's. */
  core::AttemptId attempt;
  /** The entry that runs it. */
  core::VmId home;
  ClaimState state = ClaimState::kClaimed;
  /** Of the request: the same key with other work is refused. */
  std::int64_t fingerprint = 0;
  core::WallTime created;
  /** Only if done, and only if it fits the platform's values. */
  std::optional<StoredAnswer> answer;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CLAIM_TYPE_H_
