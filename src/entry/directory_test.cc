/** @file directory_test.cc Tests the directory with a lagging or failing list.
 */
#define BOOST_TEST_MODULE entry_directory
#include <boost/test/unit_test.hpp>

#include "entry/fleet_fake_base.h"
#include "entry/ledger_cleanup_base.h"

namespace sapphire::entry::fake {

constexpr char kLedgerKey[] = "ledger/cabin";
constexpr char kLedger[] =
    R"({"grants":[{"model":"m","vm":"left","fence":1},)"
    R"({"model":"n","vm":"right","fence":2}],"next_fence":3})";

struct Fleet {
  Fleet() {
    list.Add("left", external::VmRole::kEndpoint, left->address());
    list.Add("right", external::VmRole::kEndpoint, right->address());
    config.Adopt(ConfigOf("m", 2, 4));
    entry = std::make_unique<FakeEntry>(threads, "entry-1", list, store, config,
                                        clock, log);
    BOOST_REQUIRE(Eventually([this] { return Connected() == 2; }));
  }
  ~Fleet() { threads.Stop(); }

  int Connected() {
    const auto all = entry->directory().Endpoints();
    return static_cast<int>(std::count_if(
        all.begin(), all.end(), [](const auto& it) { return it.connected; }));
  }
  /** Waits until the list has been read `more` times from now. */
  void AwaitReads(int more) {
    const int from = list.reads();
    BOOST_REQUIRE(Eventually([&] { return list.reads() >= from + more; }));
  }

  core::SystemClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("a")},
                   core::LogLevel::kError,
                   clock};
  FakeVmList list;
  FakeStore store;
  contract::ConfigHolder config;
  Threads threads;
  std::unique_ptr<FakeEndpoint> left =
      std::make_unique<FakeEndpoint>(threads, "left", clock, log);
  std::unique_ptr<FakeEndpoint> right =
      std::make_unique<FakeEndpoint>(threads, "right", clock, log);
  std::unique_ptr<FakeEntry> entry;
};

// The platform's list is down for a long time while the endpoints are healthy.
// They must stay in use, and none may count as removed.
BOOST_AUTO_TEST_CASE(ListOutageKeepsEndpointsInUse) {
  Fleet fleet;
  std::atomic<int> gone{0};
  fleet.entry->directory().OnVmRemoved([&gone](const core::VmId&) { ++gone; });
  fleet.list.down = true;
  fleet.AwaitReads(15);
  BOOST_TEST(fleet.Connected() == 2);
  BOOST_TEST(gone == 0);
}

// The list lags and still shows an endpoint whose VM has died. The lost link
// must mark it as disconnected immediately.
BOOST_AUTO_TEST_CASE(LostLinkDisconnectsWhileTheListLags) {
  Fleet fleet;
  fleet.left->node().Close();
  BOOST_REQUIRE(Eventually([&] { return fleet.Connected() == 1; }));
  const auto known = fleet.entry->directory().Find(core::EndpointId("left"));
  BOOST_REQUIRE(known.has_value());
  BOOST_TEST(!known->connected);
}

// A link breaks briefly while the endpoint is healthy. It must be reconnected
// without intervention.
BOOST_AUTO_TEST_CASE(ReconnectedEndpointIsUsedAgain) {
  Fleet fleet;
  const std::string address = fleet.left->address();
  fleet.left->node().Close();
  BOOST_REQUIRE(Eventually([&] { return fleet.Connected() == 1; }));
  auto again = std::make_unique<FakeEndpoint>(fleet.threads, "left",
                                              fleet.clock, fleet.log);
  fleet.list.Add("left", external::VmRole::kEndpoint, again->address());
  BOOST_TEST(Eventually([&] { return fleet.Connected() == 2; }));
  fleet.threads.Stop();
}

// A VM is reclaimed while it holds a grant. Once the list drops it, its grant
// must be removed, or it counts against the model's limit for ever. The other
// VM's grant and the fence counter must not change.
BOOST_AUTO_TEST_CASE(GrantsOfARemovedVmAreRemoved) {
  Fleet fleet;
  fleet.store.Put(kLedgerKey, kLedger);
  fleet.left->node().Close();
  fleet.list.Remove("left");
  BOOST_REQUIRE(Eventually([&] {
    return !GrantHolders(fleet.store.Find(kLedgerKey)->value)
                .contains(core::VmId("left"));
  }));
  const std::string value = fleet.store.Find(kLedgerKey)->value;
  BOOST_TEST(GrantHolders(value).contains(core::VmId("right")));
  BOOST_TEST(value.find("\"next_fence\":3") != std::string::npos);
}

// The list drops a VM that runs and holds a replica. Removing its grant would
// let the model be loaded once more than the limit allows, so the grant must
// stay while the link is up.
BOOST_AUTO_TEST_CASE(VmWithALiveLinkKeepsItsGrants) {
  Fleet fleet;
  fleet.store.Put(kLedgerKey, kLedger);
  fleet.list.Remove("left");
  fleet.AwaitReads(30);
  BOOST_TEST(GrantHolders(fleet.store.Find(kLedgerKey)->value).size() == 2U);
  BOOST_TEST(fleet.Connected() == 2);
}

// The list's service restarts and for a while shows only a few VMs, not even
// this entry. VMs missing from such a list must not count as removed.
BOOST_AUTO_TEST_CASE(ListWithoutThisEntryRemovesNoVms) {
  Fleet fleet;
  fleet.store.Put(kLedgerKey, kLedger);
  fleet.left->node().Close();
  fleet.list.Remove("left");
  fleet.list.Remove("entry-1");
  fleet.AwaitReads(30);
  BOOST_TEST(GrantHolders(fleet.store.Find(kLedgerKey)->value).size() == 2U);
}

// A VM was replaced and its address reused by another, while the list still
// shows the old one. Orders for the old VM must not reach the new one.
BOOST_AUTO_TEST_CASE(EndpointUnderAnotherNameIsRejected) {
  Fleet fleet;
  fleet.list.Add("old", external::VmRole::kEndpoint, fleet.right->address());
  fleet.AwaitReads(15);
  BOOST_TEST(
      !fleet.entry->directory().Find(core::EndpointId("old")).has_value());
  BOOST_TEST(fleet.Connected() == 2);
}

// An entry stops answering while the list shows it as live. Requests sent to it
// as a primary entry would all fail, so it must be excluded until it answers.
BOOST_AUTO_TEST_CASE(UnreachableEntryIsExcluded) {
  Fleet fleet;
  FakeEntry other(fleet.threads, "entry-2", fleet.list, fleet.store,
                  fleet.config, fleet.clock, fleet.log);
  const auto entries = [&] {
    return fleet.entry->directory().Entries().size();
  };
  BOOST_REQUIRE(Eventually([&] { return entries() == 2; }));
  other.node().Close();
  BOOST_TEST(Eventually([&] { return entries() == 1; }));
  fleet.threads.Stop();
}

}  // namespace sapphire::entry::fake
