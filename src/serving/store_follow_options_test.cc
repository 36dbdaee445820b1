/** @file store_follow_options_test.cc Tests of the age limit of an entry's view
 * of the store.
 */
#define BOOST_TEST_MODULE store_follow_options
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "serving/store_follow_options_func.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** @return Time from the moment at which the store or a connection falls silent
 * until the listing that shows what has changed. */
milliseconds LongestDelay(const routing::FollowOptions& options,
                          const Freshness& freshness) {
  return options.batch_pause + options.watch_wait + freshness.call_limit +
         options.retry_pause;
}

}  // namespace

/** Guards against a view of the store that is older than operators allow. The
 * store loses a watch, or its connection dies without a reset: each wait until
 * the next listing is short, but their sum exceeded the bound. */
BOOST_AUTO_TEST_CASE(StoreViewIsNeverOlderThanItsBound) {
  for (const milliseconds bound : {milliseconds(3000), milliseconds(4000),
                                   milliseconds(5000), milliseconds(6000)}) {
    const Freshness freshness{bound, milliseconds(1000)};
    BOOST_TEST(
        (LongestDelay(StoreFollowOptions(freshness), freshness) < bound));
  }
}

/** Guards against calls to the store without a pause if the bound is too short
 * to be kept. */
BOOST_AUTO_TEST_CASE(WatchWaitsEvenForAShortBound) {
  const Freshness freshness{milliseconds(500), milliseconds(1000)};
  BOOST_TEST((StoreFollowOptions(freshness).watch_wait >= milliseconds(300)));
  BOOST_TEST((StoreFollowOptions(freshness).lapse_grace >= milliseconds(0)));
}

}  // namespace sapphire::serving
