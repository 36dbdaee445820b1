/** @file soak_broken_answer_test.cc Tests a soak whose engines answer without
 * length or chunks and break answers off. */
#define BOOST_TEST_MODULE soak_broken_answer
#include <boost/test/unit_test.hpp>

#include "soak_runner_test.h"

namespace sapphire::deploy::soak {

/** Guards against answers that were broken off and reach callers as complete.
 */
BOOST_AUTO_TEST_CASE(BrokenAnswersNeverLookComplete) {
  SoakPlan plan;
  plan.seed = 46;
  plan.broken_answers = true;
  testing::RunPlan(plan);
}

}  // namespace sapphire::deploy::soak
