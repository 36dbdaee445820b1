/** @file soak_regression_test.cc Seeds of the soak that failed once. */
#define BOOST_TEST_MODULE soak_regression
#include <boost/test/unit_test.hpp>

#include "soak_player_test.h"

namespace sapphire::deploy::soak {

using testing::PlaySeed;

/**
 * Requests reach engines that have left, and callers of new engines are
 * refused. The store falls silent while a watch waits and forgets it; the
 * connection lives on, and entries waited 20 s for the watch.
 */
BOOST_AUTO_TEST_CASE(ASilentStoreIsNoticed) { PlaySeed(145); }

/**
 * Callers of some models are refused although engines are idle.
 * An engine crashes in the middle of a load and is back at once; the process
 * beside it waited 30 s for the order, which nobody carried out any more.
 */
BOOST_AUTO_TEST_CASE(AnOrderLostInACrashHoldsNothingUp) { PlaySeed(131); }

}  // namespace sapphire::deploy::soak
