/** @file soak_key_move_test.cc Tests a soak in which keys change hands while
 * engines are silent. */
#define BOOST_TEST_MODULE soak_key_move
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against requests that run for nobody, or for a former holder of their
 * key, at a second engine while the first one is silent. */
BOOST_AUTO_TEST_CASE(RequestsNameTheHolderOfTheirKeyBesideSilentEngines) {
  SoakPlan plan;
  plan.seed = 2;
  plan.engines = 8;
  plan.callers = 48;
  plan.organisations = true;
  plan.key_moves = 4;
  const SoakRecord record = testing::RunPlan(plan);
  BOOST_TEST(CountSilentChanges(record, true) > 0);
}

}  // namespace sapphire::deploy::soak
