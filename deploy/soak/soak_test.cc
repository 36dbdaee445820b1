/** @file soak_test.cc Tests a short soak of the real programs. */
#define BOOST_TEST_MODULE soak
#include <boost/test/unit_test.hpp>
#include <string>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameFaults) {
  SoakPlan plan;
  plan.seed = 7;
  const std::string once = DescribeFaults(DrawFaults(plan));
  BOOST_TEST(!once.empty());
  BOOST_TEST(once == DescribeFaults(DrawFaults(plan)));
}

BOOST_AUTO_TEST_CASE(ShortSoakHasNoViolations) { testing::RunSeed(1); }

}  // namespace sapphire::deploy::soak
