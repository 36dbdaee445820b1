/** @file controller_pool_test.cc Tests of entries that control engines. */
#define BOOST_TEST_MODULE controller_pool
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "fleet/entry_message_func.h"
#include "orders/controller_pool_base.h"
#include "orders/testing_engine.h"
#include "orders/testing_vm_store.h"

namespace sapphire::orders {

namespace {

using entry::testing::RunTask;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kGigabyte = 1'000'000'000;
const std::string kEngine("10.0.0.9:80");
const fleet::InstanceId kInstance("i-1");
const core::ServiceId kService("drafts");
const core::ModelId kModel("a");

routing::Configuration MakeConfiguration() {
  routing::Service service;
  service.id = kService;
  service.engine.emplace();
  service.engine->memory_bytes = 230 * kGigabyte;
  routing::ModelSpec& model = service.engine->models[kModel];
  model.id = kModel;
  model.bytes = 70 * kGigabyte;
  routing::Configuration configuration;
  configuration.version = 1;
  configuration.services[service.id] = service;
  return configuration;
}

/** A port to the engine that the entries of the test share. */
class SharedPort final : public EnginePort {
 public:
  explicit SharedPort(TestingEngine& engine) : engine_(engine) {}
  core::Task<EngineReport> Report() override { return engine_.Report(); }
  core::Task<OrderAnswer> Submit(EngineOrder order) override {
    return engine_.Submit(std::move(order));
  }

 private:
  TestingEngine& engine_;
};

core::Task<> IgnoreReleaseRequest(const gen::EngineHolder& /*holder*/,
                                  const std::string& /*engine*/) {
  co_return;
}

LeaseOptions LeaseOf(const std::string& vm, const std::string& address) {
  LeaseOptions options;
  options.self.vm = vm;
  options.self.address = address;
  return options;
}

/** The parts of one entry that control engines. */
struct TestEntry {
  TestEntry(const std::string& vm, const std::string& address,
            external::KeyValueStore& store, TestingEngine& engine,
            const routing::ConfigurationHolder& configuration,
            const core::Executor& executor, const core::Clock& clock,
            const core::Logger& log)
      : vm_store(store),
        registry(fleet::RegistryOptions(), clock, log),
        loads(clock),
        peer_table("entries/" + vm, loads, clock, log),
        holders(clock, log),
        leases(LeaseOf(vm, address), IgnoreReleaseRequest, vm_store, clock,
               log),
        pool(
            PoolOf(vm, address),
            [&engine](const std::string&) {
              return std::make_unique<SharedPort>(engine);
            },
            leases, registry, holders, peer_table, configuration, metrics,
            executor, clock, log) {}

  static PoolOptions PoolOf(const std::string& vm, const std::string& address) {
    PoolOptions options;
    options.vm = vm;
    options.address = address;
    options.busy_poll_interval = milliseconds(5);
    return options;
  }

  VmStore vm_store;
  fleet::EngineRegistry registry;
  fleet::EngineLoads loads;
  fleet::PeerTable peer_table;
  fleet::EngineHolders holders;
  EngineLeases leases;
  ControllerMetrics metrics;
  ControllerPool pool;
};

/** Entries, an engine and the store, on a manual clock. */
struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock) {
    clock.Advance(seconds(1000));
    configuration.Adopt(MakeConfiguration());
    AddEntry("front-1", "10.0.0.1:81");
    AddEntry("front-2", "10.0.0.2:81");
  }

  void AddEntry(const std::string& vm, const std::string& address) {
    auto entry =
        std::make_unique<TestEntry>(vm, address, store, engine, configuration,
                                    io.get_executor(), clock, log);
    fleet::EngineEntry described;
    described.instance = kInstance;
    described.service = kService;
    described.address = kEngine;
    entry->registry.Put(described);
    entries.push_back(std::move(entry));
    presences["entries/" + vm].vm = vm;
    for (const auto& it : entries) it->peer_table.SetEntries(presences);
  }

  /** Removes the entry's presence from the peer tables. */
  void RemovePresence(const TestEntry& entry) {
    const bool is_first = &entry == entries.front().get();
    presences.erase(is_first ? "entries/front-1" : "entries/front-2");
    for (const auto& it : entries) it->peer_table.SetEntries(presences);
  }

  /**
   * Once a second, all entries read the store, renew their leases and maintain
   * their engines.
   */
  void AdvanceTime(seconds time) {
    for (seconds gone{0}; gone < time; gone += seconds(1)) {
      clock.Advance(seconds(1));
      // The store deletes expired leases only when it is called.
      RunTask(io, store.List(""));
      for (const auto& it : entries) {
        RunTask(io, it->leases.RenewOnce());
        it->holders.ReplaceAll(Holders());
        it->pool.Maintain();
      }
    }
  }

  std::map<std::string, fleet::EngineHolder> Holders() {
    std::map<std::string, fleet::EngineHolder> holders;
    for (const std::string& key : store.Keys(fleet::kEngineLeasePrefix)) {
      const auto entry = *store.Peek(key);
      const gen::EngineHolder read = fleet::DecodeEngineHolder(entry.value);
      holders[key.substr(fleet::kEngineLeasePrefix.size())] = {
          read.vm, read.address, entry.revision};
    }
    return holders;
  }

  /** @return The entries that hold the engine's lease. */
  std::vector<TestEntry*> LeaseHolders() {
    std::vector<TestEntry*> holding;
    for (const auto& it : entries) {
      if (it->leases.Holds(kEngine)) holding.push_back(it.get());
    }
    return holding;
  }

  /** @return Empty, or the error's name. */
  std::string EnsureLoaded(TestEntry& entry) {
    return RunTask(io, [](Rig& rig, TestEntry& it) -> core::Task<std::string> {
      LoadRequest load_request;
      load_request.model = kModel;
      load_request.instance = kInstance;
      load_request.deadline = rig.clock.Now() + seconds(60);
      std::string error;
      try {
        const auto controller = it.pool.Find(kInstance);
        co_await controller->EnsureLoaded(load_request);
      } catch (const core::Error& e) {
        error = core::InfoOf(e.code()).name;
      }
      co_return error;
    }(*this, entry));
  }

  void Release(TestEntry& entry) {
    RunTask(io, [](ControllerPool& pool) -> core::Task<bool> {
      try {
        co_await pool.Release(kEngine);
      } catch (const core::Error&) {
        // The endpoint process that asked is told so, and asks again.
      }
      co_return true;
    }(entry.pool));
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log;
  entry::testing::MemoryKeyValue store{clock};
  TestingEngine engine{230 * kGigabyte, 70 * kGigabyte};
  routing::ConfigurationHolder configuration;
  std::vector<std::unique_ptr<TestEntry>> entries;
  std::map<std::string, gen::EntryPresence> presences;
};

}  // namespace

/**
 * Guards against models that are permanently refused at an engine without
 * endpoint process.
 */
BOOST_AUTO_TEST_CASE(OneEntryControlsEngineWithoutEndpoint) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  BOOST_REQUIRE(rig.LeaseHolders().size() == 1);
  BOOST_TEST(rig.EnsureLoaded(*rig.LeaseHolders().front()) == "");
  BOOST_TEST(rig.engine.Holds("a"));
  for (const auto& it : rig.entries) {
    if (it->leases.Holds(kEngine)) continue;
    BOOST_TEST(rig.EnsureLoaded(*it) == "not_holder");
  }
}

/** Guards against entries that claim engines of running endpoint processes. */
BOOST_AUTO_TEST_CASE(EngineWithEndpointIsNotClaimed) {
  Rig rig;
  EngineLeases endpoint(LeaseOf("side-1", "10.0.0.9:81"), IgnoreReleaseRequest,
                        rig.store, rig.clock, rig.log);
  endpoint.RequestLease(kEngine);
  RunTask(rig.io, endpoint.RenewOnce());
  rig.AdvanceTime(seconds(12));
  BOOST_TEST(rig.LeaseHolders().empty());
  // The endpoint process has ended; its lease expires.
  rig.AdvanceTime(seconds(15));
  BOOST_TEST(rig.LeaseHolders().size() == 1);
}

/**
 * Guards against an entry that claims an engine again which it has just
 * released to the endpoint process, because its view of the store is stale.
 */
BOOST_AUTO_TEST_CASE(ReleasedEngineIsNotReclaimedAtOnce) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  TestEntry& holder = *rig.LeaseHolders().front();
  const auto old_view = rig.Holders();
  rig.Release(holder);
  BOOST_TEST(rig.store.Keys(fleet::kEngineLeasePrefix).empty());
  holder.holders.ReplaceAll(old_view);
  holder.pool.Maintain();
  BOOST_TEST(holder.leases.RequestedEngines().empty());
  BOOST_TEST(rig.EnsureLoaded(holder) == "not_holder");
}

/**
 * Guards against interrupted loads: an order in progress ends before the engine
 * gets another holder.
 */
BOOST_AUTO_TEST_CASE(ReleaseWaitsForOrderInProgress) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  TestEntry& holder = *rig.LeaseHolders().front();
  rig.engine.load_time = milliseconds(300);
  std::string loaded = "not ended";
  core::Spawn(rig.io.get_executor(), rig.log, "load", [&]() -> core::Task<> {
    const auto controller = holder.pool.Find(kInstance);
    LoadRequest load_request;
    load_request.model = kModel;
    load_request.instance = kInstance;
    load_request.deadline = rig.clock.Now() + seconds(60);
    co_await controller->EnsureLoaded(load_request);
    loaded = "";
  });
  RunTask(rig.io, []() -> core::Task<bool> {
    co_await core::SleepFor(milliseconds(100));
    co_return true;
  }());
  rig.Release(holder);
  BOOST_TEST(loaded == "");
  BOOST_TEST(rig.engine.Holds("a"));
}

/**
 * Guards against engines that nobody can give orders until the lease of a
 * killed and restarted entry expires.
 */
BOOST_AUTO_TEST_CASE(RestartedEntryRegainsEnginesAtOnce) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  const TestEntry* holder = rig.LeaseHolders().front();
  const bool is_first = holder == rig.entries.front().get();
  rig.entries.erase(rig.entries.begin() + (is_first ? 0 : 1));
  rig.AddEntry(is_first ? "front-1" : "front-2",
               is_first ? "10.0.0.1:81" : "10.0.0.2:81");
  rig.AdvanceTime(seconds(2));
  BOOST_REQUIRE(rig.LeaseHolders().size() == 1);
  BOOST_TEST(rig.LeaseHolders().front() == rig.entries.back().get());
  BOOST_TEST(rig.EnsureLoaded(*rig.LeaseHolders().front()) == "");
}

/**
 * Guards against an entry that takes the lease of another VM for its own, as
 * that VM had the entry's address before.
 */
BOOST_AUTO_TEST_CASE(LeaseOfAnotherVmAtTheSameAddressIsNotClaimed) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  const TestEntry* holder = rig.LeaseHolders().front();
  const bool is_first = holder == rig.entries.front().get();
  rig.RemovePresence(*holder);
  rig.entries.erase(rig.entries.begin() + (is_first ? 0 : 1));
  rig.AddEntry("front-3", is_first ? "10.0.0.1:81" : "10.0.0.2:81");
  rig.AdvanceTime(seconds(2));
  BOOST_TEST(rig.LeaseHolders().empty());
  BOOST_TEST(rig.entries.back()->leases.RequestedEngines().empty());
  rig.AdvanceTime(seconds(20));
  BOOST_TEST(rig.LeaseHolders().size() == 1);
}

/**
 * Guards against loads that are refused at each planned restart of an entry: it
 * gives orders until it ends, and the next process on its VM continues at once.
 */
BOOST_AUTO_TEST_CASE(LeavingEntryGivesOrdersUntilItEnds) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  TestEntry& holder = *rig.LeaseHolders().front();
  holder.pool.Leave();
  rig.RemovePresence(holder);
  rig.AdvanceTime(seconds(8));
  BOOST_TEST(rig.EnsureLoaded(holder) == "");
  rig.AdvanceTime(seconds(20));
  BOOST_REQUIRE(rig.LeaseHolders().size() == 1);
  BOOST_TEST(rig.LeaseHolders().front() != &holder);
}

/** Guards against an entry that never takes an engine over again, as the store
 * did not answer when it released the engine before. */
BOOST_AUTO_TEST_CASE(EngineIsClaimedAgainAfterAFailedRelease) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  TestEntry& holder = *rig.LeaseHolders().front();
  holder.vm_store.next_write = NextWrite::kAnswerLost;
  rig.Release(holder);
  rig.AdvanceTime(seconds(20));
  BOOST_REQUIRE(rig.LeaseHolders().size() == 1);
  BOOST_TEST(rig.EnsureLoaded(*rig.LeaseHolders().front()) == "");
}

/** Guards against an engine whose lease is given back while it restarts. */
BOOST_AUTO_TEST_CASE(LeaseOfCrashedEngineIsKept) {
  Rig rig;
  rig.AdvanceTime(seconds(10));
  TestEntry& holder = *rig.LeaseHolders().front();
  for (const auto& it : rig.entries) {
    it->registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  }
  rig.AdvanceTime(seconds(5));
  BOOST_TEST(holder.leases.Holds(kEngine));
  rig.AdvanceTime(seconds(10));
  BOOST_TEST(!holder.leases.Holds(kEngine));
}

}  // namespace sapphire::orders
