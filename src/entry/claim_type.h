/** @file claim_type.h Claims: which entry runs a non-idempotent request, and
 * its outcome. */
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
  kClaimed,  ///< The request may be running or may have run.
  kVoid,     ///< It certainly has not run; a resend may claim it again.
  kDone,     ///< It has run.
};

/** A complete answer, kept for callers that did not receive it. */
struct StoredAnswer {
  gen::RunHead head;
  std::string body;
};

/** Value of one `claims/...` key. */
struct Claim {
  /** Random per attempt; distinguishes this entry's own write from others. */
  core::AttemptId attempt;
  /** The entry that runs the request. */
  core::VmId entry;
  ClaimState state = ClaimState::kClaimed;
  /** Fingerprint of the request; the same key with another request is refused.
   */
  std::int64_t fingerprint = 0;
  core::WallTime created;
  /** Set only if done and within the platform's limit on values. */
  std::optional<StoredAnswer> answer;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CLAIM_TYPE_H_
