/** @file entry_follower_test.cc Tests of how an entry learns about its peers.
 */
#define BOOST_TEST_MODULE entry_follower
#include <boost/test/unit_test.hpp>
#include <string>

#include "fleet/entry_message_func.h"
#include "serving/entry_follower_base.h"

namespace sapphire::serving {

namespace {

struct Rig {
  core::ManualClock clock;
  core::Logger log{{"entry", core::VmId("vm"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  fleet::EngineLoads loads{clock};
  fleet::PeerTable peers{"entries/self", loads, clock, log};
  EntryFollower follower{peers, log};
  routing::FollowHooks hooks = follower.Hooks();
};

std::string PresenceOf(const std::string& vm) {
  gen::EntryPresence presence;
  presence.vm = vm;
  presence.address = "10.0.0.1:80";
  return fleet::Encode(presence);
}

}  // namespace

/** Guards against one unreadable presence that hides all peers. */
BOOST_AUTO_TEST_CASE(UnreadablePresenceDoesNotHideOtherPeers) {
  Rig rig;
  rig.hooks.listed({{"entries/a", PresenceOf("a"), 1},
                    {"entries/b", "no presence", 2},
                    {"entries/c", PresenceOf("c"), 3}},
                   std::nullopt);
  BOOST_TEST(rig.peers.Peers().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ChangesAddAndRemovePeers) {
  Rig rig;
  rig.hooks.changed({"entries/a", PresenceOf("a"), 1}, std::nullopt);
  BOOST_TEST(rig.peers.Peers().size() == 1U);
  rig.hooks.changed({"entries/a", std::nullopt, 2}, std::nullopt);
  // Presences lapse with the store, so a removed peer is kept for a while.
  rig.clock.Advance(std::chrono::minutes(1));
  BOOST_TEST(rig.peers.Peers().empty());
}

}  // namespace sapphire::serving
