/** @file soak_notice_test.cc Tests a soak in which engines say in their answers
 * that they leave, or ask for rest. */
#define BOOST_TEST_MODULE soak_notice
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against requests to engines that have said in their answers that they
 * leave, or have asked for rest, beside faults of the store and of entries. */
BOOST_AUTO_TEST_CASE(EntriesHeedWhatEnginesSayOfThemselves) {
  SoakPlan plan;
  plan.seed = 54;
  plan.notices = 4;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(!record.leave_notices.empty());
  BOOST_TEST(!record.turned_away.empty());
}

}  // namespace sapphire::deploy::soak
