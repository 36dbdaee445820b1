/** @file soak_subnet_test.cc Tests subnets of concurrent soaks. */
#define BOOST_TEST_MODULE soak_subnet
#include <boost/test/unit_test.hpp>

#include "soak_subnet_base.h"

namespace sapphire::deploy::soak {

namespace {

/** Guards against a soak that fails to start because another one, whose process
 * id is the same modulo the number of subnets, listens on its addresses. */
BOOST_AUTO_TEST_CASE(ConcurrentSoaksUseDistinctSubnets) {
  const SoakSubnet one(90);
  const SoakSubnet other(290);
  BOOST_TEST(one.Ip(5, 1) != other.Ip(5, 1));
}

}  // namespace

}  // namespace sapphire::deploy::soak
