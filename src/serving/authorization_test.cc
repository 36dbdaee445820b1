/** @file authorization_test.cc Tests of the decision to send a request. */
#define BOOST_TEST_MODULE authorization
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/error_type.h"
#include "serving/authorization_func.h"

namespace sapphire::serving {

namespace {

const std::optional<organisation::ApiKey> kKnown("k1");
const std::optional<organisation::ApiKey> kUnknown("k2");

std::shared_ptr<const routing::RoutingTable> TableWith(bool organisations) {
  routing::Configuration configuration;
  configuration.version = 7;
  if (organisations) {
    organisation::Organisation drafts;
    drafts.id = core::OrganisationId("drafts-ltd");
    drafts.keys.push_back(*kKnown);
    drafts.rank = 12;
    configuration.organisations = {drafts};
  }
  return std::make_shared<const routing::RoutingTable>(configuration);
}

RouteAccess RouteOf(bool is_public) { return {is_public, 4}; }

}  // namespace

BOOST_AUTO_TEST_CASE(KnownKeyNamesItsOrganisation) {
  for (const bool is_public : {false, true}) {
    const Authorization authorization =
        Authorize(TableWith(true), RouteOf(is_public), kKnown);
    BOOST_TEST(authorization.organisation_id().value() == "drafts-ltd");
    BOOST_TEST(authorization.version() == 7);
    BOOST_TEST(authorization.rank() == 9);
    BOOST_TEST(authorization.label() == "named");
    BOOST_TEST(!authorization.passes_credentials());
  }
}

/** Guards against an authorization without the organisation that is needed. */
BOOST_AUTO_TEST_CASE(PrivateRouteNeedsAKnownKey) {
  for (const auto& key : {kUnknown, {}}) {
    BOOST_CHECK_THROW(Authorize(TableWith(true), RouteOf(false), key),
                      core::Error);
  }
}

BOOST_AUTO_TEST_CASE(OnlyAConfigurationWithoutOrganisationsPassesKeysOn) {
  for (const auto& key : {kUnknown, {}}) {
    const Authorization on_public_route =
        Authorize(TableWith(true), RouteOf(true), key);
    BOOST_TEST(on_public_route.label() == "public_route");
    BOOST_TEST(on_public_route.rank() == 4);
    BOOST_TEST(!on_public_route.passes_credentials());
    const Authorization in_the_open =
        Authorize(TableWith(false), RouteOf(false), key);
    BOOST_TEST(in_the_open.label() == "no_organisations");
    BOOST_TEST(in_the_open.passes_credentials());
  }
}

}  // namespace sapphire::serving
