/** @file replicas_test.cc Tests of loads and unloads with injected faults. */
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

/** One endpoint with one engine. */
struct SingleEndpoint {
  explicit SingleEndpoint(int per_model = 1, int per_service = 9) {
    world.Configure(1, per_model, per_service);
    rig = std::make_unique<EndpointRig>(world, engine, "vm1");
  }

  /** Replaces the endpoint process; the engine stays. */
  void Restart() {
    rig->Kill();
    killed.push_back(std::move(rig));
    rig = std::make_unique<EndpointRig>(world, engine, "vm1");
  }

  World world;
  FakeEngine engine{world.replica_counter};
  std::unique_ptr<EndpointRig> rig;
  /** Killed endpoints, kept alive because their coroutines may still run. */
  std::vector<std::unique_ptr<EndpointRig>> killed;
};

}  // namespace

BOOST_AUTO_TEST_CASE(LoadsOnceForRepeatedRequestsAndUnloadsWhenIdle) {
  SingleEndpoint one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m0", {}, "", Millis(1)));
    BOOST_TEST(one.engine.Holds("m0"));
    BOOST_TEST(one.world.replica_counter->max_total == 1);
    BOOST_TEST(co_await one.rig->Until([&] {
      return !one.engine.Holds("m0") && one.world.Ledger().grants.empty();
    }));
  });
  BOOST_TEST(one.rig->table.Memory().reserved_bytes == 0);
}

// Failure: a request was refused although the model had been loaded. The engine
// carried the order out and its answer was lost; the endpoint must read the
// engine's status before it decides.
BOOST_AUTO_TEST_CASE(LoadWithLostAnswerSucceeds) {
  SingleEndpoint one;
  FailNextOrder(one.engine, Fault::kAnswerLost);
  one.world.Run(
      [&]() -> Task<> { BOOST_TEST(!co_await one.rig->Ensure("m0")); });
  BOOST_TEST(one.rig->table.Memory().reserved_bytes == 40);
  BOOST_TEST(one.world.Ledger().grants.size() == 1U);
}

// If an order never reaches the engine, its memory and grant must be freed, or
// the model could never be loaded on any VM.
BOOST_AUTO_TEST_CASE(LostLoadOrderFreesMemoryAndGrant) {
  SingleEndpoint one;
  FailNextOrder(one.engine, Fault::kNeverArrived);
  one.world.Run([&]() -> Task<> {
    BOOST_TEST((co_await one.rig->Ensure("m0")).has_value());
    BOOST_TEST(co_await one.rig->Until(
        [&] { return one.world.Ledger().grants.empty(); }));
    BOOST_TEST(one.rig->table.Memory().reserved_bytes == 0);
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
  });
}

// Failure: a load was given up and its grant released and taken by another VM;
// then the order arrived, and the fleet held one replica too many. An engine
// that honours fencing must refuse the order; on one that doesn't, the model
// must be unloaded.
BOOST_AUTO_TEST_CASE(LateOrderIsRefusedOrItsModelUnloaded) {
  for (const bool fencing : {true, false}) {
    SingleEndpoint one;
    one.engine.status.honours_fencing = fencing;
    FailNextOrder(one.engine, Fault::kArrivesLate);
    one.world.Run([&]() -> Task<> {
      BOOST_TEST((co_await one.rig->Ensure("m0")).has_value());
      BOOST_TEST(!co_await one.rig->Ensure("m1"));
      one.world.Configure(2, 0, 1);
      one.engine.DeliverLateOrders();
      BOOST_TEST(one.engine.Holds("m0") == !fencing);
      BOOST_TEST(
          co_await one.rig->Until([&] { return !one.engine.Holds("m0"); }));
    });
    BOOST_TEST(!one.engine.overcommitted);
  }
}

// If the engine crashes during a load, the caller must get an error, all memory
// and grants must be freed, and the next load must succeed.
BOOST_AUTO_TEST_CASE(EngineCrashDuringALoadFreesMemoryAndGrants) {
  SingleEndpoint one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    FailNextOrder(one.engine, Fault::kCrash);
    BOOST_TEST((co_await one.rig->Ensure("m1")).has_value());
    BOOST_TEST(co_await one.rig->Until([&] {
      return one.rig->reconciler.Empty() && one.world.Ledger().grants.empty();
    }));
    BOOST_TEST(one.rig->table.Memory().reserved_bytes == 0);
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
  });
  BOOST_TEST(one.world.replica_counter->max_per_model == 1);
}

// An endpoint process is killed while its engine loads a model. The new process
// must neither order the same load again nor lose track of the memory.
BOOST_AUTO_TEST_CASE(RestartAdoptsModelsOfTheEngine) {
  SingleEndpoint one;
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

// Failure: an endpoint process restarted and was drained soon after, but its
// grant stayed in the ledger, so that no other VM could load the model. The
// model was found loaded before the first configuration arrived, so its
// service, which selects the ledger, was not known.
BOOST_AUTO_TEST_CASE(GrantOfAModelFoundBeforeTheConfigurationIsReleased) {
  World earlier;
  earlier.Configure(1, 1, 9);
  World world;
  FakeEngine engine(world.replica_counter);
  external::EngineOrder order;
  order.model = core::ModelId("m0");
  order.version = "1";
  order.bytes = 40;
  engine.ApplyOrder(order);
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
        [&] { return rig.reconciler.Empty() && rig.ledger.pending() == 0; }));
  });
  BOOST_TEST(!engine.Holds("m0"));
  BOOST_TEST(world.Ledger().grants.empty());
}

// Failure: an endpoint process crashes between taking a grant and ordering the
// load, and no VM can load the model. The successor must release the grant.
BOOST_AUTO_TEST_CASE(RestartReleasesGrantsOfUnloadedModels) {
  SingleEndpoint one;
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

// A loaded model must be unloaded if another VM holds the only grant, because
// this VM's grant was ended while the platform's list did not show the VM.
BOOST_AUTO_TEST_CASE(LoadedModelWithoutAGrantIsUnloaded) {
  SingleEndpoint one;
  GrantLedger other(core::VmId("vm2"), one.world.store, one.world.clock,
                    one.world.log);
  external::EngineOrder order;
  order.model = core::ModelId("m0");
  order.version = "1";
  order.bytes = 40;
  one.world.Run([&]() -> Task<> {
    co_await other.Take(one.world.config.Current(), core::ModelId("m0"), 0,
                        one.world.clock.Now() + Millis(5000));
    one.engine.ApplyOrder(order);
    BOOST_TEST(
        co_await one.rig->Until([&] { return !one.engine.Holds("m0"); }));
  });
  BOOST_TEST(one.world.Ledger().grants.size() == 1U);
}

// After an operator lowers a limit, the oldest replica must stay, and the
// surplus replica must be unloaded once its request has ended, not before.
BOOST_AUTO_TEST_CASE(LoweredLimitDrainsTheNewestReplica) {
  SingleEndpoint one(2, 9);
  FakeEngine second_engine(one.world.replica_counter);
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

// While the key-value service is down, no model is newly loaded, and loaded
// models stay loaded even if they are idle.
BOOST_AUTO_TEST_CASE(OutageRefusesLoadsAndKeepsLoadedModels) {
  SingleEndpoint one;
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

// A model moves from one VM to another. It is idle at the first VM, where the
// unload is slow and the first unload order may be lost. The second VM may load
// it only after the first engine has actually unloaded it.
BOOST_AUTO_TEST_CASE(GrantMovesOnlyAfterTheUnloadIsConfirmed) {
  for (const auto fault :
       {Fault::kNone, Fault::kNeverArrived, Fault::kAnswerLost}) {
    SingleEndpoint one;
    FakeEngine second_engine(one.world.replica_counter);
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
    BOOST_TEST(one.world.replica_counter->max_per_model == 1);
    BOOST_TEST(!one.engine.Holds("m0"));
  }
}

// Failure: an endpoint process is suspended between its grant and its order.
// The platform lists its VM as gone, an entry ends the grant, and another VM
// takes it and loads the model. The process resumes and loads a second replica.
BOOST_AUTO_TEST_CASE(GrantLostWhileSuspendedIsNotUsed) {
  SingleEndpoint one;
  FakeEngine second_engine(one.world.replica_counter);
  EndpointRig second(one.world, second_engine, "vm2");
  std::optional<ErrorCode> outcome;
  bool ended = false;
  one.world.Run([&]() -> Task<> {
    co_await one.rig->Until([&] { return one.rig->table.recovered.load(); });
    OrderLock stopped = co_await one.rig->order_sender.Enter();
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
  BOOST_TEST(one.world.replica_counter->max_per_model == 1);
}

// Two VMs take the last grant of a model at the same time. The engines may
// never hold more than one replica.
BOOST_AUTO_TEST_CASE(TwoEndpointsRaceForTheLastGrant) {
  for (unsigned seed = 0; seed < 25; ++seed) {
    std::mt19937 random(seed);
    SingleEndpoint one;
    one.world.store.fault = [&] {
      return random() % 3 == 0 ? FakeStore::Fault::kAnswerLost
                               : FakeStore::Fault::kNone;
    };
    FakeEngine second_engine(one.world.replica_counter);
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
    BOOST_REQUIRE_EQUAL(one.world.replica_counter->max_per_model, 1);
  }
}

// Random loads with evictions, adapters and faulty orders must never use more
// memory than the engine has, as counted by the engine itself.
BOOST_AUTO_TEST_CASE(MemoryIsNeverOvercommitted) {
  for (unsigned seed = 0; seed < 12; ++seed) {
    std::mt19937 random(seed);
    SingleEndpoint one;
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
    BOOST_REQUIRE_EQUAL(one.world.replica_counter->max_per_model, 1);
  }
}

// An adapter needs the memory of an idle model that the scheduler allows to be
// evicted.
BOOST_AUTO_TEST_CASE(IdleModelIsEvictedForAnAdapter) {
  SingleEndpoint one;
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

// Failure: a model was evicted, and loaded again later, although evicting an
// idle adapter would have freed enough memory.
BOOST_AUTO_TEST_CASE(IdleAdapterIsEvictedBeforeAModel) {
  SingleEndpoint one;
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

// Failure: four adapters are requested where there is room for one. Each load
// evicted the adapter loaded before it, before its waiter had resumed; all
// loads started again and none was used, while the model counted as in use.
BOOST_AUTO_TEST_CASE(EachAdapterLoadServesAWaiter) {
  SingleEndpoint one;
  constexpr int kRequests = 4;
  one.engine.status.memory_bytes = 95;
  int ended = 0;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
    for (int i = 0; i < kRequests; ++i) {
      const std::string model = i < 2 ? "m0" : "m1";
      const std::string adapter = i % 2 == 0 ? "x" : "y";
      core::Spawn(one.world.context.get_executor(), one.world.log, "wish",
                  [&one, &ended, model, adapter]() -> Task<> {
                    co_await one.rig->Ensure(model, {}, adapter);
                    ++ended;
                  });
    }
    BOOST_TEST(co_await one.rig->Until([&] { return ended == kRequests; }));
  });
  // Two model loads, and at most one load and one unload for each request.
  BOOST_TEST(one.engine.orders <= 2 + 2 * kRequests);
}

// Leaving must unload all models and release all grants.
BOOST_AUTO_TEST_CASE(LeavingUnloadsModelsAndReleasesGrants) {
  SingleEndpoint one;
  one.world.Run([&]() -> Task<> {
    BOOST_TEST(!co_await one.rig->Ensure("m0"));
    BOOST_TEST(!co_await one.rig->Ensure("m1"));
    one.rig->replicas.Leave();
    BOOST_TEST((co_await one.rig->Ensure("m2") == ErrorCode::kLeaving));
    BOOST_TEST(co_await one.rig->Until([&] {
      return one.rig->reconciler.Empty() && one.world.Ledger().grants.empty();
    }));
  });
  BOOST_TEST(one.engine.status.models.empty());
}

}  // namespace sapphire::endpoint::test
