/** @file unnamed_version_model_test.cc Checks streams that began at a version
 * before the store named it. */
#define BOOST_TEST_MODULE unnamed_version_model
#include <boost/test/unit_test.hpp>

#include "serving/version_simulation_test.h"

namespace sapphire::serving {

/** Guards against streams that are joined from two versions although their
 * entries were killed before they had written the first one. */
BOOST_AUTO_TEST_CASE(VersionIsNotForgottenBeforeItIsWritten) {
  const std::vector<testing::Counts> all = testing::RunSimulations(600);
  for (std::size_t i = 0; i < all.size(); ++i) {
    BOOST_TEST(all[i].wrong_unnamed == 0, "seed " << i + 1 << ": "
                                                  << all[i].wrong_unnamed
                                                  << " at another version");
  }
}

}  // namespace sapphire::serving
