/** @file soak_organisation_test.cc Tests a soak with revoked keys and an
 * exceeded quota. */
#define BOOST_TEST_MODULE soak_organisation
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against serving revoked keys, rejecting valid keys and exceeding
 * quotas while entries and the store fail. */
BOOST_AUTO_TEST_CASE(KeysAndQuotasAreEnforcedUnderFaults) {
  constexpr std::uint64_t kSeed = 31;
  testing::RunSeed(kSeed, 0, true);
}

}  // namespace sapphire::deploy::soak
