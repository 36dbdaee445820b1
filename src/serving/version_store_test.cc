/** @file version_store_test.cc Tests of sharing services' software versions
 * through the store. */
#define BOOST_TEST_MODULE version_store
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "fleet/entry_message_func.h"
#include "serving/version_rig_test.h"
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

  /** Passes on what has changed in the store, then does what is due. */
  void Maintain() {
    const auto entry = stored.Peek(kKey);
    const std::int64_t now = entry ? entry->revision : 0;
    if (!revision) {
      std::vector<external::KvEntry> entries;
      if (entry) entries.push_back(*entry);
      versions.Hooks().listed(entries, std::nullopt);
    } else if (*revision != now) {
      external::KvEvent event{kKey, std::nullopt, now};
      if (entry) event.value = entry->value;
      versions.Hooks().changed(event, std::nullopt);
    }
    revision = now;
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
  /** Revision of the key that was passed on; nothing before the listing. */
  std::optional<std::int64_t> revision;
};

/** @return The only version that the key names, each of several followed by a
 * blank, or "no key". */
std::string Named(const std::optional<external::KvEntry>& entry) {
  if (!entry) return "no key";
  const auto message = fleet::DecodeServiceVersions(entry->value);
  std::string names = message.only_version;
  for (const std::string& it : message.versions) names += it + " ";
  return names;
}

}  // namespace

/** Guards against more than one write for a service of one version, however
 * many entries start together and however long they run. */
BOOST_FIXTURE_TEST_CASE(OneVersionIsWrittenOnce, testing::VersionFleet) {
  PutEngine("i-1", "v1");
  for (const char* vm : {"a", "b", "c", "d", "e", "f", "g", "h"}) Start(vm);
  Pass(3 * streams::kMinStreamAge);
  BOOST_TEST(store.writes == 1);
  BOOST_TEST(Named(store.entry) == "v1");
  Kill("a");
  Start("a");
  Pass(3 * streams::kMinStreamAge);
  BOOST_TEST(store.writes == 1);
}

/** Guards against entries that call a store that refuses writes for ever. */
BOOST_FIXTURE_TEST_CASE(RefusedWritesAreTriedLessAndLessOften,
                        testing::VersionFleet) {
  PutEngine("i-1", "v1");
  store.state = testing::StoreState::kRefusesWrites;
  Start("a");
  Pass(std::chrono::seconds(60));
  BOOST_TEST(store.writes >= 4);
  BOOST_TEST(store.writes <= 6);
  store.state = testing::StoreState::kWorks;
  Pass(std::chrono::seconds(31));
  BOOST_TEST(Named(store.entry) == "v1");
}

/** Guards against keys of services that are gone. */
BOOST_FIXTURE_TEST_CASE(KeyIsDeletedLongAfterTheLastEngine,
                        testing::VersionFleet) {
  PutEngine("i-1", "v1");
  Start("a");
  Pass(std::chrono::seconds(2));
  RemoveEngine("i-1");
  Pass(streams::kMinStreamAge - std::chrono::seconds(1));
  BOOST_TEST(Named(store.entry) == "v1");
  Pass(std::chrono::seconds(2));
  BOOST_TEST(Named(store.entry) == "no key");
  BOOST_TEST(store.writes == 2);
}

/** Guards against an entry that drops versions which it can't have seen leave.
 */
BOOST_FIXTURE_TEST_CASE(StartedEntryKeepsStoredVersions,
                        testing::VersionFleet) {
  PutEngine("i-1", "v1");
  PutEngine("i-2", "v2");
  Start("a");
  Pass(std::chrono::seconds(2));
  RemoveEngine("i-1");
  for (int i = 0; i < 3; ++i) {
    Kill("a");
    Start("a");
    Pass(streams::kMinStreamAge - std::chrono::seconds(1));
    BOOST_TEST(Named(store.entry) == "v1 v2 ");
  }
  Pass(std::chrono::seconds(2));
  BOOST_TEST(Named(store.entry) == "v2");
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
  BOOST_TEST_REQUIRE(Named(store.Peek(kKey)) == "v2");
  later.Maintain();
  later.clock.Advance(std::chrono::seconds(5));
  later.Maintain();
  BOOST_TEST(Named(store.Peek(kKey)) == "v2");
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
  BOOST_TEST_REQUIRE(Named(store.Peek(kKey)) == "v1 v2 ");
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  rig.clock.Advance(streams::kMinStreamAge + std::chrono::seconds(1));
  rig.Maintain();
  BOOST_TEST(Named(store.Peek(kKey)) == "v2");
  rig.Maintain();
  BOOST_TEST(!rig.history.HasSeveral(kService));
}

}  // namespace sapphire::serving
