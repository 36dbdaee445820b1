/** @file soak_restart_test.cc Tests a soak in which all entries are killed
 * while engines of another software version replace theirs. */
#define BOOST_TEST_MODULE soak_restart
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against streams that are taken up at another software version by
 * entries that have started after the version which began them had left. */
BOOST_AUTO_TEST_CASE(StartedEntriesDoNotJoinStreamsOfTwoVersions) {
  SoakPlan plan;
  plan.seed = 204;
  plan.callers = 32;
  plan.departures = 1;
  plan.broken_answers = true;
  plan.software_versions = true;
  plan.kills_of_all_entries = 2;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(record.versions_lost > 0);
}

}  // namespace sapphire::deploy::soak
