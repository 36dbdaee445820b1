/** @file token_bucket.cc Refills token buckets and takes units from
 * them. */
#include <algorithm>
#include <cmath>

#include "quota/token_bucket_func.h"

namespace sapphire::quota {

namespace {

using Seconds = std::chrono::duration<double>;
using FractionalMillis = std::chrono::duration<double, std::milli>;

/** Upper bound of the time that TimeUntilDebtPaid returns. */
constexpr std::chrono::hours kMaxDebtTime{1};

}  // namespace

void Refill(TokenBucket& bucket, const BucketLimit& limit,
            core::SteadyTime now) {
  if (now > bucket.filled_at) {
    const Seconds passed = now - bucket.filled_at;
    bucket.level += limit.per_second * passed.count();
    bucket.filled_at = now;
  }
  bucket.level = std::min(bucket.level, limit.burst);
}

bool TryTake(TokenBucket& bucket, double cost) {
  if (bucket.level < cost) return false;
  bucket.level -= cost;
  return true;
}

std::chrono::milliseconds TimeUntilDebtPaid(const TokenBucket& bucket,
                                            const BucketLimit& limit) {
  if (bucket.level >= 0) return std::chrono::milliseconds(0);
  const FractionalMillis time = Seconds(-bucket.level / limit.per_second);
  const FractionalMillis longest = kMaxDebtTime;
  return std::chrono::milliseconds(
      std::llround(std::ceil(std::min(time, longest).count())));
}

}  // namespace sapphire::quota
