/** @file soak_crashing_part_test.cc Tests a soak in which one part of callers'
 * prompts crashes engines. */
#define BOOST_TEST_MODULE soak_crashing_part
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against a prompt part that crashes engine after engine although no
 * two requests with it are alike, and against refusing the requests that share
 * its other parts. */
BOOST_AUTO_TEST_CASE(CrashingPartIsStoppedAndSoundRequestsAreServed) {
  SoakPlan plan;
  plan.seed = 51;
  plan.engines = 8;
  plan.crashing_part = true;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(!record.part_crashes.empty());
}

/** Guards against a check that blames the crashing part for refusals by entries
 * that are stopping or cut off from the store. */
BOOST_AUTO_TEST_CASE(EntriesThatStopOrAreCutOffAreLeftOut) {
  SoakPlan plan;
  plan.seed = 9628;
  plan.engines = 8;
  plan.crashing_part = true;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(!record.part_crashes.empty());
}

}  // namespace sapphire::deploy::soak
