/** @file follow_test.cc Tests of how old what an entry believes may be. */
#define BOOST_TEST_MODULE follow
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "serving/follow_func.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

/** From the moment at which the store or a connection falls silent until the
 * listing that tells what has changed. */
milliseconds LongestBlindness(const routing::FollowOptions& options,
                              const Freshness& freshness) {
  return options.batch_pause + options.watch_wait + freshness.call_limit +
         options.retry_pause;
}

}  // namespace

/**
 * Callers get answers by a configuration, a list of engines or of deadly
 * requests that is older than the operators allow. The store forgets a watch,
 * or its connection dies without a reset; each wait until the next listing is
 * short, together they are longer than the bound.
 */
BOOST_AUTO_TEST_CASE(NothingThatFollowsTheStoreIsBlindForLongerThanItsBound) {
  for (const milliseconds bound :
       {milliseconds(3000), milliseconds(4000), milliseconds(5000)}) {
    const Freshness freshness{bound, milliseconds(1000)};
    BOOST_TEST(
        (LongestBlindness(StoreFollowOptions(freshness), freshness) < bound));
  }
}

/** A bound that can't be kept must not make an entry ask without a pause. */
BOOST_AUTO_TEST_CASE(AWatchWaitsHoweverShortTheBound) {
  const Freshness freshness{milliseconds(500), milliseconds(1000)};
  BOOST_TEST((StoreFollowOptions(freshness).watch_wait >= milliseconds(300)));
  BOOST_TEST((StoreFollowOptions(freshness).lapse_grace >= milliseconds(0)));
}

}  // namespace sapphire::serving
