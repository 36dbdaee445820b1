/** @file soak_departure_test.cc Tests engines that are deregistered while an
 * entry is cut off from the store. */
#define BOOST_TEST_MODULE soak_departure
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/**
 * Guards against requests to engines that left seconds before. Engines are
 * deregistered without draining and keep serving while entries are cut off from
 * the store. After the partition, entries took up to 1.4 s to notice that the
 * store was reachable and kept engines that the listing no longer named for
 * another 2 s. With this seed, four requests reached such engines too late, as
 * the engines' records show.
 */
BOOST_AUTO_TEST_CASE(EnginesDeregisteredDuringAPartitionGetNoLateRequests) {
  constexpr std::uint64_t kSeed = 523;
  constexpr int kDepartures = 3;
  testing::RunSeed(kSeed, kDepartures);
}

}  // namespace sapphire::deploy::soak
