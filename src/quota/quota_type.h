/** @file quota_type.h Limits that all entries share and answers to who asks. */
#ifndef SAPPHIRE_QUOTA_QUOTA_TYPE_H_
#define SAPPHIRE_QUOTA_QUOTA_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/id_type.h"
#include "quota/token_bucket_type.h"

namespace sapphire::quota {

using std::chrono::milliseconds;

/** What a quota limits, as all entries name it: an organisation, an engine. */
using QuotaId = core::StrongId<struct QuotaTag>;

/** A limit over all entries: in any window, the rate times the window and the
 * burst. */
struct SharedLimit {
  /** A higher one takes the place of a lower one. */
  std::int64_t version = 0;
  BucketLimit limit;
};

/** Which limits hold, and what operators bear beyond them. */
struct QuotaRules {
  /** Over which limits hold. */
  milliseconds window{8000};
  /** Part of a limit. */
  double excess = 0;
  /** Units on top, of any quota. */
  double slack = 0;
};

/** Whose bucket decided. */
enum class QuotaSource {
  kUnlimited,    ///< There is no limit.
  kSelf,         ///< This entry coordinates the quota.
  kCoordinator,  ///< Another entry does.
  kDenial,       ///< A denial of a moment ago still holds.
  kShare,        ///< This entry's share, as the coordinator can't be reached.
};

/** @return Its name in logs and metrics. */
constexpr std::string_view NameOf(QuotaSource source) {
  switch (source) {
    case QuotaSource::kUnlimited:
      return "unlimited";
    case QuotaSource::kSelf:
      return "self";
    case QuotaSource::kCoordinator:
      return "coordinator";
    case QuotaSource::kDenial:
      return "denial";
    case QuotaSource::kShare:
      return "share";
  }
  return "";
}

/** Whether a request is within a quota. */
struct QuotaDecision {
  bool granted = false;
  QuotaSource source = QuotaSource::kUnlimited;
  /** If granted: the request starts after this. If denied: when the quota is
   * expected to have room. */
  milliseconds delay{0};
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_QUOTA_TYPE_H_
