/** @file organisation_test.cc Tests organisations, API keys and request
 * costs. */
#define BOOST_TEST_MODULE organisation
#include <boost/test/unit_test.hpp>
#include <limits>

#include "core/error_type.h"
#include "organisation/directory_base.h"
#include "organisation/organisation_func.h"

namespace sapphire::organisation {

namespace {

Organisation MakeOrganisation(const std::string& name,
                              std::vector<std::string> keys) {
  Organisation out;
  out.id = core::OrganisationId(name);
  for (std::string& it : keys) out.keys.emplace_back(std::move(it));
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(FindsTheOrganisationOfEachKey) {
  const Directory directory(
      {MakeOrganisation("a", {"k1", "k2"}), MakeOrganisation("b", {"k3"})});
  BOOST_TEST(directory.Find(ApiKey("k2"))->id.value() == "a");
  BOOST_TEST(directory.Find(ApiKey("k3"))->id.value() == "b");
  BOOST_TEST(directory.Find(ApiKey("k4")) == nullptr);
  BOOST_TEST(directory.Find(ApiKey("")) == nullptr);
}

/** Guards against requests that are attributed to another organisation. */
BOOST_AUTO_TEST_CASE(KeyOfTwoOrganisationsIsRejected) {
  BOOST_CHECK_THROW(
      Directory({MakeOrganisation("a", {"k1"}), MakeOrganisation("b", {"k1"})}),
      core::Error);
}

BOOST_AUTO_TEST_CASE(InvalidOrganisationsAreRejected) {
  BOOST_CHECK_THROW(Directory({MakeOrganisation("", {"k"})}), core::Error);
  BOOST_CHECK_THROW(Directory({MakeOrganisation("a", {""})}), core::Error);
  BOOST_CHECK_THROW(
      Directory({MakeOrganisation("a", {}), MakeOrganisation("a", {})}),
      core::Error);
  for (const double units : {-1.0, std::numeric_limits<double>::infinity()}) {
    Organisation rate = MakeOrganisation("a", {"k"});
    rate.quota.per_second = units;
    BOOST_CHECK_THROW(Directory({rate}), core::Error);
    Organisation burst = MakeOrganisation("a", {"k"});
    burst.quota.burst = units;
    BOOST_CHECK_THROW(Directory({burst}), core::Error);
  }
}

/** Guards against API keys that are logged as part of an error. */
BOOST_AUTO_TEST_CASE(ErrorsContainNoKey) {
  try {
    const Directory directory(
        {MakeOrganisation("a", {"secret"}), MakeOrganisation("b", {"secret"})});
    BOOST_FAIL("no error");
  } catch (const core::Error& e) {
    BOOST_TEST(std::string(e.what()).find("secret") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(RequestCostFollowsTheQuotaUnit) {
  Quota quota;
  BOOST_TEST(CostOf(quota, TokenCount{1460, 80}) == 1);
  quota.unit = QuotaUnit::kTokens;
  quota.default_tokens = 200;
  BOOST_TEST(CostOf(quota, TokenCount{1460, 80}) == 1540);
  BOOST_TEST(CostOf(quota, std::nullopt) == 200);
}

}  // namespace sapphire::organisation
