/** @file cold_wait_test.cc Tests when a request waits for a model that is
 * loading. In these cases, callers of rare models without a local copy can wait
 * little longer than one load from the weight store takes. */
#define BOOST_TEST_MODULE cold_wait
#include <boost/test/unit_test.hpp>

#include "policy/cold_wait_func.h"

namespace sapphire::policy {

using std::chrono::milliseconds;

/** Guards against callers that wait until their deadline and are then
 * refused. */
BOOST_AUTO_TEST_CASE(RequestDoesNotWaitForALoadThatMayEndTooLate) {
  BOOST_TEST(!IsWorthWaiting(milliseconds(15'300), milliseconds(16'000)));
  BOOST_TEST(IsWorthWaiting(milliseconds(13'800), milliseconds(16'000)));
  BOOST_TEST(!IsWorthWaiting(milliseconds(0), milliseconds(29)));
}

/** Loads from local copies are short enough to wait for. */
BOOST_AUTO_TEST_CASE(RequestWaitsForALoadFromALocalCopy) {
  BOOST_TEST(IsWorthWaiting(milliseconds(2000), milliseconds(4000)));
  BOOST_TEST(IsWorthWaiting(milliseconds(30), milliseconds(100)));
}

}  // namespace sapphire::policy
