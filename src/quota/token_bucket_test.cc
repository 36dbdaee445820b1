/** @file token_bucket_test.cc Tests of token buckets and sliding windows. */
#define BOOST_TEST_MODULE token_bucket
#include <boost/test/unit_test.hpp>

#include "quota/token_bucket_func.h"
#include "quota/usage_window_base.h"

namespace sapphire::quota {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BucketLimit kLimit{1000, 500};
const core::SteadyTime kStart{seconds(100)};

TokenBucket EmptyAt(core::SteadyTime now) { return {0, now}; }

}  // namespace

BOOST_AUTO_TEST_CASE(BucketRefillsUpToItsBurst) {
  TokenBucket bucket = EmptyAt(kStart);
  Refill(bucket, kLimit, kStart + milliseconds(200));
  BOOST_TEST(bucket.level == 200);
  Refill(bucket, kLimit, kStart + seconds(60));
  BOOST_TEST(bucket.level == 500);
}

BOOST_AUTO_TEST_CASE(TryTakeDeniesMoreThanTheLevel) {
  TokenBucket bucket = EmptyAt(kStart);
  Refill(bucket, kLimit, kStart + milliseconds(100));
  BOOST_TEST(!TryTake(bucket, 101));
  BOOST_TEST(TryTake(bucket, 100));
}

/** Guards against a bucket that is refilled twice for the same time when
 * timestamps arrive out of order. */
BOOST_AUTO_TEST_CASE(TimestampsOutOfOrderAddNothing) {
  TokenBucket bucket = EmptyAt(kStart);
  Refill(bucket, kLimit, kStart + milliseconds(100));
  Refill(bucket, kLimit, kStart);
  Refill(bucket, kLimit, kStart + milliseconds(100));
  BOOST_TEST(bucket.level == 100);
}

BOOST_AUTO_TEST_CASE(OldSamplesExpireFromTheWindow) {
  UsageWindow used;
  used.Add(10, kStart);
  used.Add(5, kStart + seconds(4));
  BOOST_TEST(used.Sum(seconds(8), kStart + seconds(7)) == 15);
  BOOST_TEST(used.Sum(seconds(8), kStart + seconds(9)) == 5);
  BOOST_TEST(used.Sum(seconds(8), kStart + seconds(20)) == 0);
}

BOOST_AUTO_TEST_CASE(RemovedUnitsAreNotCounted) {
  UsageWindow used;
  used.Add(10, kStart);
  used.Add(5, kStart + seconds(1));
  used.Remove(7);
  BOOST_TEST(used.Sum(seconds(8), kStart + seconds(1)) == 8);
  used.Remove(100);
  BOOST_TEST(used.Sum(seconds(8), kStart + seconds(1)) == 0);
}

BOOST_AUTO_TEST_CASE(TimeUntilBelowIsWhenSamplesExpire) {
  UsageWindow used;
  used.Add(10, kStart);
  used.Add(5, kStart + seconds(1));
  BOOST_TEST(used.TimeUntilBelow(20, seconds(8), kStart).count() == 0);
  const auto wait = used.TimeUntilBelow(6, seconds(8), kStart + seconds(1));
  BOOST_TEST(used.Sum(seconds(8), kStart + seconds(1) + wait) < 6);
  BOOST_TEST((wait < milliseconds(7100)));
}

}  // namespace sapphire::quota
