/** @file version_store_test.cc Tests of sharing services' software versions
 * through the store. */
#define BOOST_TEST_MODULE version_store
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "serving/version_store_base.h"

namespace sapphire::serving {

namespace {

const core::ServiceId kService("drafts");
const std::string kKey = "service-versions/drafts";

/** An entry without peers. */
struct Rig {
  explicit Rig(entry::testing::MemoryKeyValue& store)
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        registry(fleet::RegistryOptions(), clock, log),
        loads(clock),
        peer_table("self", loads, clock, log),
        history(registry, clock),
        versions("self", history, peer_table, store, io.get_executor(), clock,
                 log),
        stored(store) {}

  void PutEngine(const std::string& id, const std::string& version) {
    fleet::EngineEntry engine;
    engine.instance = fleet::InstanceId(id);
    engine.service = kService;
    engine.software_version = fleet::SoftwareVersion(version);
    registry.Put(std::move(engine));
  }

  /** Passes on what the store holds, then does what is due. */
  void Maintain() {
    std::vector<external::KvEntry> entries;
    if (const auto entry = stored.Peek(kKey)) entries.push_back(*entry);
    versions.Hooks().listed(entries, std::nullopt);
    history.Update();
    versions.Maintain();
    io.restart();
    io.run();
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log;
  fleet::EngineRegistry registry;
  fleet::EngineLoads loads;
  fleet::PeerTable peer_table;
  streams::VersionHistory history;
  VersionStore versions;
  entry::testing::MemoryKeyValue& stored;
};

}  // namespace

/** Guards against calls to the store for services of one version. */
BOOST_AUTO_TEST_CASE(OneVersionIsNotStored) {
  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store(store_clock);
  Rig rig(store);
  rig.PutEngine("i-1", "v1");
  rig.Maintain();
  BOOST_TEST(!store.Peek(kKey).has_value());
}

/** Guards against an entry that has just started and takes the only version
 * that serves for the one that began a stream. */
BOOST_AUTO_TEST_CASE(StartedEntryKnowsVersionsThatHaveLeft) {
  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store(store_clock);
  Rig rig(store);
  rig.PutEngine("i-1", "v1");
  rig.PutEngine("i-2", "v2");
  rig.Maintain();
  Rig started(store);
  started.PutEngine("i-2", "v2");
  started.Maintain();
  BOOST_TEST(started.history.HasSeveral(kService));
}

/** Guards against entries that write a version that has left again and again,
 * each because it has read it from the store. */
BOOST_AUTO_TEST_CASE(ReportedVersionIsNotWrittenAgain) {
  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store(store_clock);
  Rig rig(store);
  rig.PutEngine("i-1", "v1");
  rig.PutEngine("i-2", "v2");
  rig.Maintain();
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  rig.clock.Advance(streams::kMinStreamAge - std::chrono::seconds(1));
  Rig later(store);
  later.PutEngine("i-2", "v2");
  later.Maintain();
  rig.clock.Advance(std::chrono::seconds(2));
  rig.Maintain();
  BOOST_TEST_REQUIRE(!store.Peek(kKey).has_value());
  later.Maintain();
  later.clock.Advance(std::chrono::seconds(5));
  later.Maintain();
  BOOST_TEST(!store.Peek(kKey).has_value());
}

/** Guards against versions that are stored for ever, so that streams of unknown
 * origin are refused although one version serves. */
BOOST_AUTO_TEST_CASE(VersionsThatLeftLongAgoAreRemoved) {
  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store(store_clock);
  Rig rig(store);
  rig.PutEngine("i-1", "v1");
  rig.PutEngine("i-2", "v2");
  rig.Maintain();
  BOOST_TEST_REQUIRE(store.Peek(kKey).has_value());
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  rig.clock.Advance(streams::kMinStreamAge + std::chrono::seconds(1));
  rig.Maintain();
  BOOST_TEST(!store.Peek(kKey).has_value());
  BOOST_TEST(!rig.history.HasSeveral(kService));
}

}  // namespace sapphire::serving
