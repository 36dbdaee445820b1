/** @file token_bucket_type.h A token bucket over monotonic time. */
#ifndef SAPPHIRE_QUOTA_TOKEN_BUCKET_TYPE_H_
#define SAPPHIRE_QUOTA_TOKEN_BUCKET_TYPE_H_

#include "core/clock_base.h"

namespace sapphire::quota {

/** Refill rate and capacity of a token bucket. */
struct BucketLimit {
  /** Units per second, above 0. */
  double per_second = 1;
  /** Capacity in units. */
  double burst = 0;
};

struct TokenBucket {
  /** Units. May be negative after a large request, so that requests larger than
   * the burst can be served. */
  double level = 0;
  core::SteadyTime filled_at;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_TOKEN_BUCKET_TYPE_H_
