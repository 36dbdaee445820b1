/** @file token_bucket_func.h Refills token buckets and takes units
 * from them. */
#ifndef SAPPHIRE_QUOTA_TOKEN_BUCKET_FUNC_H_
#define SAPPHIRE_QUOTA_TOKEN_BUCKET_FUNC_H_

#include <chrono>

#include "quota/token_bucket_type.h"

namespace sapphire::quota {

/** Adds the units that accrued since the last call, up to the burst. */
void Refill(TokenBucket& bucket, const BucketLimit& limit,
            core::SteadyTime now);

/** Takes `cost` units if the bucket holds all of them.
 * @return True if it took them.
 * @pre Refill was called for the present time. */
bool TryTake(TokenBucket& bucket, double cost);

/** @return Time until the level is at least 0 again, rounded up.
 * @pre Refill was called for the present time. */
std::chrono::milliseconds TimeUntilDebtPaid(const TokenBucket& bucket,
                                            const BucketLimit& limit);

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_TOKEN_BUCKET_FUNC_H_
