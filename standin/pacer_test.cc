/** @file pacer_test.cc Tests that slots are one interval apart and that unused
 * ones aren't saved up. */
#define BOOST_TEST_MODULE pacer
#include <boost/test/unit_test.hpp>

#include "standin/pacer_base.h"

namespace sapphire::standin {
namespace {

using core::Millis;

BOOST_AUTO_TEST_CASE(SpacesCallers) {
  core::ManualClock clock;
  Pacer pacer(10, clock);
  BOOST_TEST((pacer.Reserve() == Millis(0)));
  BOOST_TEST((pacer.Reserve() == Millis(100)));
  BOOST_TEST((pacer.Reserve() == Millis(200)));
  clock.Advance(Millis(250));
  BOOST_TEST((pacer.Reserve() == Millis(50)));
  clock.Advance(Millis(10'000));
  BOOST_TEST((pacer.Reserve() == Millis(0)));
  BOOST_TEST((pacer.Reserve() == Millis(100)));
}

BOOST_AUTO_TEST_CASE(RateZeroMeansNoLimit) {
  const core::ManualClock clock;
  Pacer pacer(0, clock);
  BOOST_TEST((pacer.Reserve() == Millis(0)));
  BOOST_TEST((pacer.Reserve() == Millis(0)));
}

}  // namespace
}  // namespace sapphire::standin
