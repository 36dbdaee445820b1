/** @file soak_regression_test.cc Tests soak seeds that failed in the past. */
#define BOOST_TEST_MODULE soak_regression
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

using testing::RunSeed;

/**
 * Guards against requests to engines that have left and refusals although new
 * engines are available. The store stops answering and drops a waiting watch
 * while the connection stays open; entries waited 20 s for that watch.
 */
BOOST_AUTO_TEST_CASE(UnresponsiveStoreIsDetected) { RunSeed(145); }

/**
 * Guards against refusals for some models although engines are idle. An engine
 * crashes during a load and restarts at once; its endpoint process waited 30 s
 * for the order, which the crash had aborted.
 */
BOOST_AUTO_TEST_CASE(OrderLostInACrashDoesNotBlockLaterLoads) { RunSeed(131); }

}  // namespace sapphire::deploy::soak
