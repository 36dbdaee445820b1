/** @file run_time_test.cc Tests of the mean time of runs.
 *
 * The load: drafts of 1.7 to 2.3 s, verdicts of a quarter of a second, and now
 * and then a run that an engine holds up for half a minute.
 */
#define BOOST_TEST_MODULE run_time
#include <boost/test/unit_test.hpp>

#include "policy/run_time_base.h"

namespace sapphire::policy {

namespace {

using std::chrono::milliseconds;

void NoteMany(RunTimeEstimate& estimate, milliseconds run, int times) {
  for (int i = 0; i < times; ++i) estimate.Note(run);
}

}  // namespace

BOOST_AUTO_TEST_CASE(BeforeAnyRunAPriorServes) {
  BOOST_TEST((RunTimeEstimate().mean() == milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(AStepChangeShowsWithinSomeSeconds) {
  RunTimeEstimate estimate;
  NoteMany(estimate, milliseconds(400), 60);
  BOOST_TEST((estimate.mean() < milliseconds(500)));
  NoteMany(estimate, milliseconds(5000), 60);
  BOOST_TEST((estimate.mean() > milliseconds(4500)));
}

/** An engine that hangs, or a clock that steps, gives one absurd time. */
BOOST_AUTO_TEST_CASE(OneOutlierMovesItLittle) {
  RunTimeEstimate estimate;
  NoteMany(estimate, milliseconds(2000), 100);
  estimate.Note(milliseconds(3'600'000));
  BOOST_TEST((estimate.mean() < milliseconds(2700)));
  estimate.Note(milliseconds(-5000));
  BOOST_TEST((estimate.mean() > milliseconds(1900)));
}

}  // namespace sapphire::policy
