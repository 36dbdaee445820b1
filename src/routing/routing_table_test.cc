/** @file routing_table_test.cc Tests route lookups and the order of
 * configuration versions. */
#define BOOST_TEST_MODULE routing_table
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>

#include "routing/routing_table_base.h"

namespace sapphire::routing {

namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.services = {{core::ServiceId("s"), 1}};
  return route;
}

Configuration WithVersion(std::int64_t version) {
  Configuration configuration;
  configuration.version = version;
  return configuration;
}

}  // namespace

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  Configuration configuration;
  configuration.routes = {MakeRoute("a.example", "/x/"),
                          MakeRoute("a.example", "/x/y/"),
                          MakeRoute("b.example", "/x/y/z/")};
  const RoutingTable table(configuration);
  BOOST_TEST(table.Find("a.example", "/x/y/z/1")->prefix == "/x/y/");
  BOOST_TEST(table.Find("A.example:80", "/x/1")->prefix == "/x/");
  BOOST_TEST(table.Find("a.example", "/x") == nullptr);
  BOOST_TEST(table.Find("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(WeightsSplitRequests) {
  Route route;
  route.services = {{core::ServiceId("big"), 90},
                    {core::ServiceId("small"), 10}};
  BOOST_TEST(ChooseService(route, 0.0).value() == "big");
  BOOST_TEST(ChooseService(route, 0.89).value() == "big");
  BOOST_TEST(ChooseService(route, 0.91).value() == "small");
  BOOST_TEST(ChooseService(route, 1.0).value() == "small");
}

/**
 * Guards against going back to an older configuration when the entry reads the
 * store again after an outage and gets a stale copy: a caller would be served
 * by the new version first and then by the old one.
 */
BOOST_AUTO_TEST_CASE(OlderVersionNeverReplacesANewerOne) {
  ConfigurationHolder holder;
  BOOST_TEST(holder.current() == nullptr);
  BOOST_TEST(holder.Adopt(WithVersion(7)));
  BOOST_TEST(!holder.Adopt(WithVersion(5)));
  BOOST_TEST(!holder.Adopt(WithVersion(7)));
  BOOST_TEST(holder.version() == 7);
}

/** Guards against denials by a configuration that an unusable document should
 * have replaced. */
BOOST_AUTO_TEST_CASE(AnUnusableDocumentIsMissedUntilALaterUsableOne) {
  ConfigurationHolder holder;
  BOOST_TEST(!holder.LacksNewest());
  holder.RecordDocument(5, false);
  BOOST_TEST(holder.LacksNewest());
  holder.RecordDocument(4, true);
  BOOST_TEST(holder.LacksNewest());
  holder.RecordDocument(6, true);
  BOOST_TEST(!holder.LacksNewest());
}

/** Guards against a document that counts as read although reading it failed:
 * denials would rest on the older configuration for good. */
BOOST_AUTO_TEST_CASE(ADocumentWhoseReadingFailsIsMissed) {
  const core::ManualClock clock;
  const core::Logger log({"entry", core::VmId("v"), core::ZoneId("z")},
                         core::LogLevel::kError, clock);
  ConfigurationHolder holder;
  const auto fails = [](const std::string&) -> Configuration {
    throw std::length_error("too long");
  };
  BOOST_TEST(!AdoptDocument(holder, fails, {"config", "", 5}, log));
  BOOST_TEST(holder.LacksNewest());
  const auto reads = [](const std::string&) { return WithVersion(2); };
  BOOST_TEST(!AdoptDocument(holder, reads, {"config", "", 4}, log));
  BOOST_TEST(holder.LacksNewest());
  BOOST_TEST(AdoptDocument(holder, reads, {"config", "", 6}, log));
  BOOST_TEST(!holder.LacksNewest());
}

/** Guards against a key that counts as revoked because a configuration without
 * organisations was in force for a while. */
BOOST_AUTO_TEST_CASE(AConfigurationWithoutOrganisationsRevokesNoKey) {
  const organisation::ApiKey key("k");
  organisation::Organisation holder;
  holder.id = core::OrganisationId("drafts-ltd");
  holder.keys = {key};
  Configuration with_key = WithVersion(1);
  with_key.organisations = {holder};
  ConfigurationHolder configurations;
  configurations.Adopt(with_key);
  configurations.Adopt(WithVersion(2));
  BOOST_TEST(!configurations.WasRevoked(key));
  with_key.version = 3;
  configurations.Adopt(with_key);
  Configuration without_key = WithVersion(4);
  without_key.organisations.emplace();
  configurations.Adopt(without_key);
  BOOST_TEST(configurations.WasRevoked(key));
}

}  // namespace sapphire::routing
