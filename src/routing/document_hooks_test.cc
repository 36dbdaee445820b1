/** @file document_hooks_test.cc Tests what a follower makes of the key that
 * holds the configuration. */
#define BOOST_TEST_MODULE document_hooks
#include <boost/test/unit_test.hpp>
#include <string>

#include "core/clock_base.h"
#include "routing/document_hooks_func.h"
#include "routing/routing_table_base.h"

namespace sapphire::routing {

namespace {

const std::string kKey = "config";

struct Rig {
  core::ManualClock clock;
  core::Logger log{{"entry", core::VmId("v"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  ConfigurationHolder holder;
  FollowHooks hooks = FollowDocument(
      kKey,
      [this](const external::KvEntry& it) {
        AdoptDocument(holder, Read, it, log);
      },
      [this] { RecordMissingDocument(holder, log); });

  static Configuration Read(const std::string& text) {
    Configuration configuration;
    configuration.version = std::stoll(text);
    return configuration;
  }
};

}  // namespace

/** Guards against denials by a configuration that the store does not have any
 * more, as a listing without one renews the view. */
BOOST_AUTO_TEST_CASE(AListingWithoutTheDocumentIsNoEvidence) {
  Rig rig;
  rig.hooks.listed({{kKey, "4", 7}, {"config/other", "9", 8}}, {});
  BOOST_TEST(rig.holder.version() == 4);
  BOOST_TEST(!rig.holder.LacksNewest());
  rig.hooks.listed({{"config/other", "9", 8}}, {});
  BOOST_TEST(rig.holder.LacksNewest());
  BOOST_TEST(!rig.holder.revision_in_force().has_value());
  BOOST_TEST(rig.holder.version() == 4);
}

/** Guards against the same after the document was deleted. */
BOOST_AUTO_TEST_CASE(ADeletedDocumentIsNoEvidence) {
  Rig rig;
  rig.hooks.listed({{kKey, "4", 7}}, {});
  rig.hooks.changed({"config/other", std::nullopt, 8}, {});
  BOOST_TEST(!rig.holder.LacksNewest());
  rig.hooks.changed({kKey, std::nullopt, 9}, {});
  BOOST_TEST(rig.holder.LacksNewest());
}

/** Guards against a document that stays missing after it was seen again. */
BOOST_AUTO_TEST_CASE(ADocumentThatIsBackIsInForce) {
  for (const std::int64_t revision : {7, 10}) {
    Rig rig;
    rig.hooks.listed({{kKey, "4", 7}}, {});
    rig.hooks.listed({}, {});
    rig.hooks.listed({{kKey, "4", revision}}, {});
    BOOST_TEST(!rig.holder.LacksNewest());
    BOOST_TEST(*rig.holder.revision_in_force() == revision);
  }
}

}  // namespace sapphire::routing
