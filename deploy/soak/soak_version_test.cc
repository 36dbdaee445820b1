/** @file soak_version_test.cc Tests a soak whose engines are of two software
 * versions. */
#define BOOST_TEST_MODULE soak_version
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against streams with events of two software versions, in one answer
 * or over a caller's attempts, and against streams that can't be taken up. */
BOOST_AUTO_TEST_CASE(StreamsStayAtTheVersionThatBeganThem) {
  SoakPlan plan;
  plan.seed = 48;
  plan.broken_answers = true;
  plan.software_versions = true;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(record.went_on > 0);
}

}  // namespace sapphire::deploy::soak
