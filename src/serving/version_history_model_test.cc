/** @file version_history_model_test.cc Checks that streams are taken up only at
 * the version that began them. */
#define BOOST_TEST_MODULE version_history_model
#include <boost/test/unit_test.hpp>

#include "serving/version_simulation_test.h"

namespace sapphire::serving {

/** Guards against streams that are joined from two versions, and against
 * refusing most of them. */
BOOST_AUTO_TEST_CASE(StreamsGoOnOnlyAtTheVersionThatBeganThem) {
  const std::vector<testing::Counts> all = testing::RunSimulations(300);
  int went_on = 0;
  int refused = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    BOOST_TEST(all[i].wrong == 0, "seed " << i + 1 << ": " << all[i].wrong
                                          << " at another version");
    went_on += all[i].went_on;
    refused += all[i].refused;
  }
  BOOST_TEST_MESSAGE(went_on << " went on, " << refused << " refused");
  BOOST_TEST(went_on > 2 * refused);
}

}  // namespace sapphire::serving
