/** @file replicas_test.cc Loads and unloads while parts fail. */
#define BOOST_TEST_MODULE replicas
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "endpoint/endpoint_rig_test.h"

namespace sapphire::endpoint::test {

namespace {

using Fault = FakeEngine::Fault;

/** Applies `fault` to the next order only. */
void FailNextOrder(FakeEngine& engine, Fault fault) {
  engine.fault = [next = fault]() mutable {
    return std::exchange(next, Fault::kNone);
  };
}

/** One endpoint before one engine. */
struct Single {
  explicit Single(int per_model = 1, int per_service = 9) {
    world.Configure(1, per_model, per_service);
    rig = std::make_unique<EndpointRig>(world, engine, "vm1");
  }

  /** A new process beside the same engine. */
  void Restart() {
    rig->Kill();
    killed.push_back(std::move(rig));
    rig = std::make_unique<EndpointRig>(world, engine, "vm1");
  }

  World world;
  FakeEngine engine{world.judge};
  std::unique_ptr<EndpointRig> rig;
  /** Their last coroutines may still end. */
  std::vector<std::unique_ptr<EndpointRig>> killed;
};

}  // namespace

BOOST_AUTO_TEST_CASE(LoadsOnceForManyWishesAndUnloadsWhenIdle) {
  Single one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m0", {}, "", Millis(1)));
    BOOST_TEST(one.engine.Holds("m0"));
    BOOST_TEST(one.world.judge->most_in_all == 1);
    BOOST_TEST(co_await one.rig->Until([&] {
      return !one.engine.Holds("m0") && one.world.Ledger().grants.empty();
    }));
  });
  BOOST_TEST(one.rig->table.Memory().reserved_bytes == 0);
}

// A guest's request was refused although the model had been loaded: the
// engine carried the order out and its answer was lost. The endpoint has to
// look before it decides.
BOOST_AUTO_TEST_CASE(LostAnswerOfALoadIsFoundOut) {
  Single one;
  FailNextOrder(one.engine, Fault::kAnswerLost);
  one.world.Run(
      [&]() -> Task<> { BOOST_TEST(!co_await one.rig->Ensure("m0")); });
  BOOST_TEST(one.rig->table.Memory().reserved_bytes == 40);
  BOOST_TEST(one.world.Ledger().grants.size() == 1U);
}

// The order never reached the engine. Memory and grant must come free again,
// or the model could never be loaded anywhere.
BOOST_AUTO_TEST_CASE(LoadThatNeverArrivedLeavesNothingBehind) {
  Single one;
  FailNextOrder(one.engine, Fault::kNeverArrived);
  one.world.Run([&]() -> Task<> {
    BOOST_TEST((co_await one.rig->Ensure("m0")).has_value());
    BOOST_TEST(co_await one.rig->Until(
        [&] { return one.world.Ledger().grants.empty(); }));
    BOOST_TEST(one.rig->table.Memory().reserved_bytes == 0);
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
  });
}

// The load was given up, its grant handed back and taken by another VM; then
// the order arrived after all, and the fleet held one replica too many. An
// engine that honours fencing refuses it; on one that doesn't it is unloaded.
BOOST_AUTO_TEST_CASE(LateOrderIsRefusedOrUndone) {
  for (const bool fencing : {true, false}) {
    Single one;
    one.engine.status.honours_fencing = fencing;
    FailNextOrder(one.engine, Fault::kArrivesLate);
    one.world.Run([&]() -> Task<> {
      BOOST_TEST((co_await one.rig->Ensure("m0")).has_value());
      BOOST_TEST(!co_await one.rig->Ensure("m1"));
      one.world.Configure(2, 0, 1);
      one.engine.LandLateOrders();
      BOOST_TEST(one.engine.Holds("m0") == !fencing);
      BOOST_TEST(
          co_await one.rig->Until([&] { return !one.engine.Holds("m0"); }));
    });
    BOOST_TEST(!one.engine.overcommitted);
  }
}

// The engine dies while it loads. The caller is told, the books are emptied,
// and the next wish finds room and a grant.
BOOST_AUTO_TEST_CASE(EngineCrashDuringALoad) {
  Single one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    FailNextOrder(one.engine, Fault::kCrash);
    BOOST_TEST((co_await one.rig->Ensure("m1")).has_value());
    BOOST_TEST(co_await one.rig->Until([&] {
      return one.rig->keeper.Empty() && one.world.Ledger().grants.empty();
    }));
    BOOST_TEST(one.rig->table.Memory().reserved_bytes == 0);
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
  });
  BOOST_TEST(one.world.judge->most_of_a_model == 1);
}

// The endpoint process is killed while its engine loads a model. The new one
// must neither order the same load again nor forget the memory.
BOOST_AUTO_TEST_CASE(RestartTakesOverWhatTheEngineHolds) {
  Single one;
  one.world.Run(
      [&]() -> Task<> { BOOST_TEST(!co_await one.rig->Ensure("m0")); });
  one.engine.status.order_in_progress = true;
  one.Restart();
  one.world.Run([&]() -> Task<> {
    co_await core::SleepFor(Millis(30));
    BOOST_TEST(!one.rig->table.recovered);
    one.engine.status.order_in_progress = false;
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(one.rig->table.Memory().reserved_bytes == 40);
    BOOST_TEST(one.engine.orders == 1);
    BOOST_TEST(co_await one.rig->Until([&] {
      const auto replica = one.rig->table.Find(core::ModelId("m0"));
      const std::lock_guard lock(replica->mutex);
      return replica->grant.has_value();
    }));
  });
  BOOST_TEST(one.world.Ledger().grants.size() == 1U);
  BOOST_TEST(!one.engine.orders_overlapped);
}

// An endpoint process restarted and left again soon after; its model could be
// loaded nowhere else, because the grant stayed in the ledger. Cause: the model
// was found loaded before the configuration had come, so its service, and with
// it the ledger, was not known.
BOOST_AUTO_TEST_CASE(GrantOfAModelFoundBeforeTheConfigurationIsEnded) {
  World earlier;
  earlier.Configure(1, 1, 9);
  World world;
  FakeEngine engine(world.judge);
  external::EngineOrder order;
  order.model = core::ModelId("m0");
  order.version = "1";
  order.bytes = 40;
  engine.Carry(order);
  EndpointRig rig(world, engine, "vm1");
  GrantLedger predecessor(core::VmId("vm1"), world.store, world.clock,
                          world.log);
  world.Run([&]() -> Task<> {
    co_await predecessor.Take(earlier.config.Current(), core::ModelId("m0"), 0,
                              world.clock.Now() + Millis(5000));
    BOOST_TEST(co_await rig.Until([&] { return rig.table.recovered.load(); }));
    world.Configure(1, 1, 9);
    BOOST_TEST(!co_await rig.Ensure("m0"));
    const auto replica = rig.table.Find(core::ModelId("m0"));
    BOOST_TEST(co_await rig.Until([&] {
      const std::lock_guard lock(replica->mutex);
      return replica->grant.has_value();
    }));
    rig.replicas.Leave();
    BOOST_TEST(co_await rig.Until(
        [&] { return rig.keeper.Empty() && rig.ledger.pending() == 0; }));
  });
  BOOST_TEST(!engine.Holds("m0"));
  BOOST_TEST(world.Ledger().grants.empty());
}

// The endpoint process dies between taking a grant and ordering the load. Its
// successor ends the grant, or the model could be loaded nowhere.
BOOST_AUTO_TEST_CASE(RestartEndsGrantsOfModelsThatAreNotLoaded) {
  Single one;
  one.world.Run([&]() -> Task<> {
    co_await one.rig->ledger.Take(one.world.config.Current(),
                                  core::ModelId("m3"), 0,
                                  one.world.clock.Now() + Millis(5000));
  });
  one.Restart();
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(co_await one.rig->Until(
        [&] { return one.world.Ledger().grants.empty(); }));
  });
}

// A model is loaded for which another VM holds the only grant (this VM's own
// was ended while the platform's list did not show it). It has to go.
BOOST_AUTO_TEST_CASE(LoadedModelWithoutAGrantIsUnloaded) {
  Single one;
  GrantLedger other(core::VmId("vm2"), one.world.store, one.world.clock,
                    one.world.log);
  external::EngineOrder order;
  order.model = core::ModelId("m0");
  order.version = "1";
  order.bytes = 40;
  one.world.Run([&]() -> Task<> {
    co_await other.Take(one.world.config.Current(), core::ModelId("m0"), 0,
                        one.world.clock.Now() + Millis(5000));
    one.engine.Carry(order);
    BOOST_TEST(
        co_await one.rig->Until([&] { return !one.engine.Holds("m0"); }));
  });
  BOOST_TEST(one.world.Ledger().grants.size() == 1U);
}

// An operator lowers a limit: the surplus replica goes once its request is
// done, not before, and the oldest stays.
BOOST_AUTO_TEST_CASE(LoweredLimitDrainsTheNewestReplica) {
  Single one(2, 9);
  FakeEngine second_engine(one.world.judge);
  EndpointRig second(one.world, second_engine, "vm2");
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await second.Ensure("m0"));
    gen::Run run;
    run.model = "m0";
    RunSlot slot = co_await second.replicas.Admit(
        run, one.world.clock.Now() + Millis(1000));
    one.world.Configure(2, 1, 9);
    const auto replica = second.table.Find(core::ModelId("m0"));
    BOOST_TEST(co_await second.Until([&] {
      const std::lock_guard lock(replica->mutex);
      return replica->life.phase() == ReplicaPhase::kDraining;
    }));
    BOOST_TEST(second_engine.Holds("m0"));
    slot.reset();
    BOOST_TEST(
        co_await second.Until([&] { return !second_engine.Holds("m0"); }));
  });
  BOOST_TEST(one.engine.Holds("m0"));
}

// The key-value service is down: nothing new is loaded, what is loaded stays
// although it is idle, and a refused wish names a time to come back.
BOOST_AUTO_TEST_CASE(OutageLoadsNothingAndKeepsWhatIsLoaded) {
  Single one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    one.world.store.down = true;
    BOOST_TEST(
        (co_await one.rig->Ensure("m1") == ErrorCode::kPlatformUnavailable));
    BOOST_TEST(!co_await one.rig->Ensure("m0", {}, "", Millis(1)));
    co_await core::SleepFor(Millis(50));
    BOOST_TEST(one.engine.Holds("m0"));
    one.world.store.down = false;
    BOOST_TEST(
        co_await one.rig->Until([&] { return !one.engine.Holds("m0"); }));
  });
}

// A model moves from one VM to another: it is idle at the first, whose unload
// is slow, and whose first unload order gets lost. The second VM may load it
// only after the first engine has really let go of it.
BOOST_AUTO_TEST_CASE(GrantMovesOnlyAfterTheUnloadIsConfirmed) {
  for (const auto fault :
       {Fault::kNone, Fault::kNeverArrived, Fault::kAnswerLost}) {
    Single one;
    FakeEngine second_engine(one.world.judge);
    EndpointRig second(one.world, second_engine, "vm2");
    one.engine.order_time = Millis(25);
    one.world.Run([&]() -> Task<> {
      BOOST_TEST(!co_await one.rig->Ensure("m0", {}, "", Millis(1)));
      FailNextOrder(one.engine, fault);
      bool moved = false;
      for (int i = 0; i < 200 && !moved; ++i) {
        const auto error = co_await second.Ensure("m0");
        moved = !error.has_value();
        co_await core::SleepFor(Millis(2));
      }
      BOOST_TEST(moved);
    });
    BOOST_TEST(one.world.judge->most_of_a_model == 1);
    BOOST_TEST(!one.engine.Holds("m0"));
  }
}

// An endpoint process is stopped between its grant and its order. The platform
// shows its VM as gone, an entry ends the grant, another VM takes it and loads.
// The process continues: it must not load a second replica.
BOOST_AUTO_TEST_CASE(GrantLostWhileStoppedIsNotUsed) {
  Single one;
  FakeEngine second_engine(one.world.judge);
  EndpointRig second(one.world, second_engine, "vm2");
  std::optional<ErrorCode> outcome;
  bool ended = false;
  one.world.Run([&]() -> Task<> {
    co_await one.rig->Until([&] { return one.rig->table.recovered.load(); });
    OrderTurn stopped = co_await one.rig->desk.Enter();
    core::Spawn(one.world.context.get_executor(), one.world.log, "want",
                [&]() -> Task<> {
                  outcome = co_await one.rig->Ensure("m0");
                  ended = true;
                });
    BOOST_TEST(co_await one.rig->Until(
        [&] { return !one.world.Ledger().grants.empty(); }));
    co_await core::SleepFor(Millis(20));
    LedgerValue without = one.world.Ledger();
    without.grants.clear();
    one.world.store.Overwrite("ledger/cabin", EncodeLedger(without));
    BOOST_TEST(!co_await second.Ensure("m0"));
    stopped.reset();
    BOOST_TEST(co_await second.Until([&] { return ended; }));
  });
  BOOST_TEST((outcome == ErrorCode::kReplicaLimit));
  BOOST_TEST(one.world.judge->most_of_a_model == 1);
}

// A ship docks: two VMs want the last replica of a model at the same moment.
// Counted at the engines, there is never more than one.
BOOST_AUTO_TEST_CASE(TwoEndpointsRaceForTheLastGrant) {
  for (unsigned seed = 0; seed < 25; ++seed) {
    std::mt19937 random(seed);
    Single one;
    one.world.store.fault = [&] {
      return random() % 3 == 0 ? FakeStore::Fault::kAnswerLost
                               : FakeStore::Fault::kNone;
    };
    FakeEngine second_engine(one.world.judge);
    EndpointRig second(one.world, second_engine, "vm2");
    int done = 0;
    int ready = 0;
    const auto want = [&](EndpointRig& rig) -> Task<> {
      if (!co_await rig.Ensure("m0")) ++ready;
      ++done;
    };
    one.world.Run([&]() -> Task<> {
      for (EndpointRig* it : {one.rig.get(), &second}) {
        core::Spawn(one.world.context.get_executor(), one.world.log, "want",
                    [&want, it] { return want(*it); });
      }
      BOOST_TEST(co_await second.Until([&] { return done == 2; }));
    });
    BOOST_REQUIRE_EQUAL(ready, 1);
    BOOST_REQUIRE_EQUAL(one.world.judge->most_of_a_model, 1);
  }
}

// Random wishes, evictions, adapters, lost and late orders: the engine itself
// counts what it holds, and it is never more than it has.
BOOST_AUTO_TEST_CASE(MemoryIsNeverOvercommitted) {
  for (unsigned seed = 0; seed < 12; ++seed) {
    std::mt19937 random(seed);
    Single one;
    one.engine.status.honours_fencing = seed % 2 == 0;
    one.engine.fault = [&] {
      constexpr std::array kFaults = {Fault::kAnswerLost, Fault::kNeverArrived,
                                      Fault::kLoadFails, Fault::kCrash};
      return random() % 4 == 0 ? kFaults.at(random() % kFaults.size())
                               : Fault::kNone;
    };
    one.world.Run([&]() -> Task<> {
      for (int i = 0; i < 25; ++i) {
        std::vector<std::string> evict;
        for (int m = 0; m < 5; ++m) {
          if (random() % 2 == 0) evict.push_back("m" + std::to_string(m));
        }
        const std::string adapter =
            random() % 2 == 0 ? "" : (random() % 2 == 0 ? "x" : "y");
        co_await one.rig->Ensure("m" + std::to_string(random() % 5), evict,
                                 adapter);
        BOOST_REQUIRE_LE(one.rig->table.Memory().reserved_bytes, 100);
      }
    });
    BOOST_REQUIRE(!one.engine.overcommitted);
    BOOST_REQUIRE(!one.engine.orders_overlapped);
    BOOST_REQUIRE_EQUAL(one.world.judge->most_of_a_model, 1);
  }
}

// An adapter needs the room that an idle model takes, which the home allows to
// be unloaded for it.
BOOST_AUTO_TEST_CASE(IdleModelMakesRoomForAnAdapter) {
  Single one;
  const std::vector<std::string> may_go(1, "m1");
  one.engine.status.memory_bytes = 90;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
    BOOST_TEST(
        (co_await one.rig->Ensure("m0", {}, "x") == ErrorCode::kOverMemory));
    BOOST_TEST(!co_await one.rig->Ensure("m0", may_go, "x"));
  });
  BOOST_TEST(!one.engine.Holds("m1"));
  BOOST_TEST(!one.engine.overcommitted);
}

// A model was unloaded and reloaded for the sake of a few bytes that an adapter
// nobody used had taken.
BOOST_AUTO_TEST_CASE(IdleAdapterGoesBeforeAModel) {
  Single one;
  const std::vector<std::string> may_go(1, "m0");
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0", {}, "x"));
    BOOST_TEST(!co_await one.rig->Ensure("m0", {}, "y"));
    BOOST_TEST(!co_await one.rig->Ensure("m1", may_go));
  });
  BOOST_TEST(one.engine.Holds("m0"));
  BOOST_TEST(one.engine.Holds("m1"));
  BOOST_TEST(one.rig->table.Memory().reserved_bytes == 95);
}

// Guests want four adapters where there is room for one. Each load pushed out
// the adapter just loaded before its waiter had woken up; all loads began anew,
// and nobody got anywhere while the model counted as in use.
BOOST_AUTO_TEST_CASE(AdaptersInTurnsServeSomebodyWithEachLoad) {
  Single one;
  constexpr int kWishes = 4;
  one.engine.status.memory_bytes = 95;
  int ended = 0;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
    for (int i = 0; i < kWishes; ++i) {
      const std::string model = i < 2 ? "m0" : "m1";
      const std::string adapter = i % 2 == 0 ? "x" : "y";
      core::Spawn(one.world.context.get_executor(), one.world.log, "wish",
                  [&one, &ended, model, adapter]() -> Task<> {
                    co_await one.rig->Ensure(model, {}, adapter);
                    ++ended;
                  });
    }
    BOOST_TEST(co_await one.rig->Until([&] { return ended == kWishes; }));
  });
  // The models, and for each wish at most one load and one unload.
  BOOST_TEST(one.engine.orders <= 2 + 2 * kWishes);
}

// SIGTERM: everything is unloaded and every grant handed back, also when the
// key-value service is slow to come back.
BOOST_AUTO_TEST_CASE(LeavingUnloadsAndHandsEveryGrantBack) {
  Single one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
    one.rig->replicas.Leave();
    BOOST_TEST((co_await one.rig->Ensure("m2") == ErrorCode::kLeaving));
    BOOST_TEST(co_await one.rig->Until([&] {
      return one.rig->keeper.Empty() && one.world.Ledger().grants.empty();
    }));
  });
  BOOST_TEST(one.engine.status.models.empty());
}

}  // namespace sapphire::endpoint::test
