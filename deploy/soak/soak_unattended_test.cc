/** @file soak_unattended_test.cc Engines without a process beside them. */
#define BOOST_TEST_MODULE soak_unattended
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "soak_player_test.h"

namespace sapphire::deploy::soak {

/** Guards against models that are refused at engines which no process orders,
 * and against orders of two entries. */
BOOST_AUTO_TEST_CASE(EntriesOrderEnginesWithoutAProcessBesideThem) {
  SoakPlan plan;
  plan.seed = 801;
  plan.unattended = 3;
  const SoakRecord record = testing::PlayPlan(plan);
  const bool ordered = std::ranges::any_of(
      record.orders,
      [](const SeenOrder& it) { return it.holder.starts_with("entry-"); });
  BOOST_TEST(ordered);
}

}  // namespace sapphire::deploy::soak
