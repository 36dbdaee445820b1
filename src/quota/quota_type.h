/** @file quota_type.h Rate limits that all entries share, and the decisions on
 * requests. */
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

/** Names what a quota limits, such as an organisation or an engine; the same in
 * all entries. */
using QuotaId = core::StrongId<struct QuotaTag>;

/** A limit on the sum over all entries: in any window, the rate times the
 * window's length, plus the burst. */
struct SharedLimit {
  /** Version of the configuration; a limit with a higher one replaces this. */
  std::int64_t version = 0;
  BucketLimit limit;
};

/** The window of the limits, and by how much use may exceed them. */
struct QuotaRules {
  /** Length of the sliding window over which limits apply. */
  milliseconds window{8000};
  /** Tolerated excess, as a fraction of the limit. */
  double excess = 0;
  /** Tolerated excess in units, on top of `excess`, the same for any quota. */
  double slack = 0;
};

/** What a decision is based on. */
enum class QuotaSource {
  kUnlimited,    ///< No limit applies.
  kSelf,         ///< This entry coordinates the quota.
  kCoordinator,  ///< Another entry coordinates the quota.
  kDenial,       ///< A cached denial by the coordinator is still valid.
  kShare,        ///< This entry's even share: the coordinator is unreachable.
};

/** @return The name of the source in logs and metrics. */
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

/** Whether a request is within its quota. */
struct QuotaDecision {
  bool granted = false;
  QuotaSource source = QuotaSource::kUnlimited;
  /** If granted: how long to delay the request. If denied: when to retry, as
   * the quota is expected to have units then. */
  milliseconds delay{0};
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_QUOTA_TYPE_H_
