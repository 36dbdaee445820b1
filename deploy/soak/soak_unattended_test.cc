/** @file soak_unattended_test.cc Tests engines without an endpoint. */
#define BOOST_TEST_MODULE soak_unattended
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against refusals for models at engines without an endpoint process,
 * and against orders of two entries to one engine. */
BOOST_AUTO_TEST_CASE(EntriesSendOrdersToEnginesWithoutAnEndpoint) {
  SoakPlan plan;
  plan.seed = 801;
  plan.engines_without_endpoint = 3;
  const SoakRecord record = testing::RunPlan(plan);
  const bool ordered = std::ranges::any_of(
      record.orders,
      [](const ReceivedOrder& it) { return it.holder.starts_with("entry-"); });
  BOOST_TEST(ordered);
}

/** Guards against orders of an entry and of the process beside an engine within
 * the minimum time, as that process is killed while it takes the engine back.
 */
BOOST_AUTO_TEST_CASE(EndpointKilledAsItTakesItsEngineBackKeepsTheGap) {
  SoakPlan plan;
  plan.seed = 6001;
  plan.duration = std::chrono::seconds(40);
  plan.callers = 24;
  plan.endpoint_outages = 2;
  plan.kills_after_outage = 2;
  testing::RunPlan(plan);
}

}  // namespace sapphire::deploy::soak
