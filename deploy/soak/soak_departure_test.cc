/** @file soak_departure_test.cc Engines that leave while an entry can't know.
 */
#define BOOST_TEST_MODULE soak_departure
#include <boost/test/unit_test.hpp>

#include "soak_player_test.h"

namespace sapphire::deploy::soak {

/**
 * Requests reach engines that left seconds before.
 * Entries lose the store, engines leave without a word and serve on, and the
 * path is back: entries took up to 1.4 s to find it, and held on to what the
 * listing did not name for 2 s more. Four requests of this seed came too late;
 * the engines' own records prove it.
 */
BOOST_AUTO_TEST_CASE(EnginesThatLeaveBehindAPartitionAreNotUsedForLong) {
  constexpr std::uint64_t kSeed = 523;
  constexpr int kDepartures = 3;
  testing::PlaySeed(kSeed, kDepartures);
}

}  // namespace sapphire::deploy::soak
