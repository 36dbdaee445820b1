/** @file service_time_test.cc Tests the admission estimate against random
 * service times. */
#define BOOST_TEST_MODULE service_time
#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/service_time_func.h"

namespace sapphire::policy {
namespace {

constexpr int kRequests = 2000;

BOOST_AUTO_TEST_CASE(MostRequestsStayWithinTheEstimate) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::normal_distribution<double> spread(
        2000, 50.0 * static_cast<double>(1 + seed % 8));
    ServiceTimes times;
    int kept = 0;
    for (int i = 0; i < kRequests; ++i) {
      const auto took = std::chrono::milliseconds(
          std::max<std::int64_t>(1, static_cast<std::int64_t>(spread(random))));
      if (took <= ConservativeServiceTime(times)) ++kept;
      RecordServiceTime(times, took);
    }
    BOOST_TEST(kept > kRequests * 7 / 10, "seed " << seed);
    BOOST_TEST(ConservativeServiceTime(times).count() < 4000);
  }
}

}  // namespace
}  // namespace sapphire::policy
