/** @file engine_leases_test.cc Tests of the leases of engines. */
#define BOOST_TEST_MODULE engine_leases
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/error_type.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "fleet/entry_message_func.h"
#include "orders/engine_leases_base.h"
#include "orders/testing_vm_store.h"

namespace sapphire::orders {

namespace {

using entry::testing::RunTask;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kEngine("10.0.0.1:80");
constexpr milliseconds kHandoverGap{3000};

const std::string kKey(std::string(fleet::kEngineLeasePrefix) + kEngine);

/** The endpoint process, an entry and their store, on a manual clock. */
struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock) {
    clock.Advance(seconds(1000));
  }

  std::unique_ptr<EngineLeases> Start(const std::string& vm,
                                      const std::string& address,
                                      external::KeyValueStore& vm_store) {
    LeaseOptions options;
    options.self.vm = vm;
    options.self.address = address;
    options.handover_gap = kHandoverGap;
    auto leases = std::make_unique<EngineLeases>(
        options,
        [this](const gen::EngineHolder& holder, const std::string&) {
          return RecordReleaseRequest(holder.vm);
        },
        vm_store, clock, log);
    leases->RequestLease(kEngine);
    return leases;
  }

  std::unique_ptr<EngineLeases> StartEndpoint() {
    return Start("side-1", "10.0.0.1:81", endpoint_store);
  }
  std::unique_ptr<EngineLeases> StartEntry() {
    return Start("front-1", "10.0.0.2:81", store);
  }

  /** Has the entry order the engine, and then release it. */
  void OrderAndRelease(EngineLeases& entry) {
    AdvanceTime(seconds(5), {&entry});
    BOOST_REQUIRE(MayGiveOrders(entry));
    last_entry_order = clock.Now();
    Release(entry);
  }

  void Release(EngineLeases& leases) {
    RunTask(io, [](EngineLeases& it) -> core::Task<bool> {
      co_await it.Release(kEngine);
      co_return true;
    }(leases));
  }

  /** Renews until orders are allowed; they must not be before the handover gap
   * after the entry's last order. */
  void CheckWaitsForGap(EngineLeases& leases) {
    while (!MayGiveOrders(leases)) {
      clock.Advance(milliseconds(100));
      Renew(leases);
      BOOST_REQUIRE((clock.Now() - last_entry_order < seconds(60)));
    }
    BOOST_TEST((clock.Now() - last_entry_order >= kHandoverGap));
  }

  core::Task<> RecordReleaseRequest(std::string holder) {
    release_requested_from = std::move(holder);
    co_return;
  }

  /** @return True if all requested leases are held; false also on a failure. */
  bool Renew(EngineLeases& leases) {
    try {
      return RunTask(io, leases.RenewOnce());
    } catch (const core::Error&) {
      return false;
    }
  }

  /**
   * Advances the clock; each of `alive` renews its leases once a second, if it
   * can.
   */
  void AdvanceTime(seconds time, std::initializer_list<EngineLeases*> alive) {
    for (seconds gone{0}; gone < time; gone += seconds(1)) {
      clock.Advance(seconds(1));
      for (EngineLeases* it : alive) Renew(*it);
      CheckSingleHolder(alive);
    }
  }

  /** Two holders must never be allowed to give orders at the same time. */
  void CheckSingleHolder(std::initializer_list<EngineLeases*> all) const {
    int may_order = 0;
    for (const EngineLeases* it : all) may_order += MayGiveOrders(*it) ? 1 : 0;
    BOOST_TEST(may_order <= 1);
  }

  static bool MayGiveOrders(const EngineLeases& leases) {
    return FencingTokenOf(leases).has_value();
  }

  static std::optional<std::int64_t> FencingTokenOf(
      const EngineLeases& leases) {
    try {
      return leases.FencingToken(kEngine, false);
    } catch (const core::Error&) {
      return std::nullopt;
    }
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log;
  entry::testing::MemoryKeyValue store{clock};
  VmStore endpoint_store{store};
  core::SteadyTime last_entry_order;
  /** The VM of the holder that got the latest release request. */
  std::string release_requested_from;
};

}  // namespace

/**
 * Guards against an engine that nobody can give orders after its endpoint
 * process has ended.
 */
BOOST_AUTO_TEST_CASE(EntryTakesOverAfterEndpointEnds) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  BOOST_TEST(rig.MayGiveOrders(*endpoint));
  const auto entry = rig.StartEntry();
  rig.AdvanceTime(seconds(12), {entry.get()});
  BOOST_TEST(!rig.MayGiveOrders(*entry));
  rig.AdvanceTime(seconds(8), {entry.get()});
  BOOST_TEST(rig.MayGiveOrders(*entry));
}

/**
 * Guards against orders of a process that was paused while its lease expired.
 */
BOOST_AUTO_TEST_CASE(ProcessPausedPastItsLeaseGivesNoOrders) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  const auto before = rig.FencingTokenOf(*endpoint);
  const auto entry = rig.StartEntry();
  rig.AdvanceTime(seconds(20), {entry.get()});
  BOOST_TEST(!rig.MayGiveOrders(*endpoint));
  rig.AdvanceTime(seconds(5), {entry.get(), endpoint.get()});
  BOOST_TEST(!rig.MayGiveOrders(*endpoint));
  BOOST_TEST(rig.release_requested_from == "front-1");
  BOOST_TEST(*rig.FencingTokenOf(*entry) > *before);
}

/**
 * Guards against alternating orders of two processes: the last order of one
 * holder and the first order of the next are kHandoverGap apart.
 */
BOOST_AUTO_TEST_CASE(NextHolderWaitsForHandoverGap) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  const auto entry = rig.StartEntry();
  core::SteadyTime last = rig.clock.Now();
  while (!rig.MayGiveOrders(*entry)) {
    rig.clock.Advance(milliseconds(100));
    rig.Renew(*entry);
    if (rig.MayGiveOrders(*endpoint)) last = rig.clock.Now();
    BOOST_REQUIRE((rig.clock.Now() - last < seconds(60)));
  }
  BOOST_TEST((rig.clock.Now() - last >= kHandoverGap));
}

/**
 * Guards against an engine that stays with an entry after its endpoint process
 * has restarted.
 */
BOOST_AUTO_TEST_CASE(ReleasedEngineReturnsToEndpoint) {
  Rig rig;
  const auto entry = rig.StartEntry();
  rig.AdvanceTime(seconds(5), {entry.get()});
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(2), {entry.get(), endpoint.get()});
  BOOST_TEST(rig.release_requested_from == "front-1");
  RunTask(rig.io, [](EngineLeases& it) -> core::Task<bool> {
    co_await it.Release(kEngine);
    co_return true;
  }(*entry));
  rig.Renew(*endpoint);
  BOOST_TEST(endpoint->Holds(kEngine));
  BOOST_TEST(!rig.MayGiveOrders(*endpoint));
  rig.AdvanceTime(seconds(4), {entry.get(), endpoint.get()});
  BOOST_TEST(rig.MayGiveOrders(*endpoint));
}

/**
 * Guards against refused loads after each restart of an endpoint process: no
 * other process can have given orders, as the lease is still valid.
 */
BOOST_AUTO_TEST_CASE(RestartedEndpointRegainsLeaseAtOnce) {
  Rig rig;
  auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  const auto before = rig.FencingTokenOf(*endpoint);
  endpoint = rig.StartEndpoint();
  rig.Renew(*endpoint);
  BOOST_TEST(rig.MayGiveOrders(*endpoint));
  BOOST_TEST(*rig.FencingTokenOf(*endpoint) > *before);
}

/**
 * Guards against orders within the handover gap after those of an entry, given
 * by a process whose predecessor was killed while it waited for the gap.
 */
BOOST_AUTO_TEST_CASE(RestartDuringHandoverWaitsForGap) {
  Rig rig;
  const auto entry = rig.StartEntry();
  rig.OrderAndRelease(*entry);
  auto endpoint = rig.StartEndpoint();
  rig.Renew(*endpoint);
  BOOST_REQUIRE(endpoint->Holds(kEngine));
  rig.clock.Advance(milliseconds(500));
  endpoint = rig.StartEndpoint();
  rig.CheckWaitsForGap(*endpoint);
}

/** The same, with each of several processes killed while it waits. */
BOOST_AUTO_TEST_CASE(RepeatedRestartsDuringHandoverWaitForGap) {
  Rig rig;
  const auto entry = rig.StartEntry();
  rig.OrderAndRelease(*entry);
  auto endpoint = rig.StartEndpoint();
  for (int i = 0; i < 3; ++i) {
    rig.Renew(*endpoint);
    BOOST_REQUIRE(endpoint->Holds(kEngine));
    rig.clock.Advance(milliseconds(500));
    endpoint = rig.StartEndpoint();
  }
  rig.CheckWaitsForGap(*endpoint);
}

/**
 * Guards against orders within the handover gap by a process that finds its own
 * key, as the response to the write that created it was lost.
 */
BOOST_AUTO_TEST_CASE(LostResponseOfClaimKeepsHandoverGap) {
  Rig rig;
  const auto entry = rig.StartEntry();
  rig.OrderAndRelease(*entry);
  const auto endpoint = rig.StartEndpoint();
  rig.endpoint_store.next_write = NextWrite::kAnswerLost;
  BOOST_TEST(!rig.Renew(*endpoint));
  BOOST_REQUIRE(rig.store.Peek(kKey).has_value());
  rig.CheckWaitsForGap(*endpoint);
}

/**
 * Guards against orders within the handover gap after a rolling upgrade: a key
 * of an earlier version doesn't say whether its writer has waited.
 */
BOOST_AUTO_TEST_CASE(KeyOfEarlierVersionMeansWait) {
  Rig rig;
  const auto entry = rig.StartEntry();
  rig.OrderAndRelease(*entry);
  // The fields vm and address in Thrift's compact protocol.
  const std::string earlier(
      "\x18\x06side-1\x18\x0b"
      "10.0.0.1:81\x00",
      22);
  RunTask(rig.io, rig.store.CompareAndSwap(kKey, 0, earlier, ""));
  const auto endpoint = rig.StartEndpoint();
  rig.CheckWaitsForGap(*endpoint);
}

/**
 * Guards against orders within the handover gap by a VM that replaces another
 * one at its address.
 */
BOOST_AUTO_TEST_CASE(VmAtAddressOfAnotherWaitsForGap) {
  Rig rig;
  auto old_vm = rig.StartEntry();
  rig.AdvanceTime(seconds(8), {old_vm.get()});
  BOOST_REQUIRE(rig.MayGiveOrders(*old_vm));
  rig.last_entry_order = rig.clock.Now();
  old_vm.reset();
  const auto replacement = rig.Start("front-9", "10.0.0.2:81", rig.store);
  rig.CheckWaitsForGap(*replacement);
}

/**
 * Guards against a wait after each restart: the wait is over once for all
 * processes of the VM, also if a response about that was lost.
 */
BOOST_AUTO_TEST_CASE(HandoverIsRecordedOnceForAllLaterProcesses) {
  Rig rig;
  auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(3), {endpoint.get()});
  rig.endpoint_store.next_write = NextWrite::kAnswerLost;
  rig.AdvanceTime(seconds(3), {endpoint.get()});
  for (int i = 0; i < 3; ++i) {
    const auto before = rig.FencingTokenOf(*endpoint);
    endpoint = rig.StartEndpoint();
    rig.Renew(*endpoint);
    BOOST_REQUIRE(rig.MayGiveOrders(*endpoint));
    BOOST_TEST(*rig.FencingTokenOf(*endpoint) > *before);
  }
}

/**
 * Guards against a lease that ends while its renewal waits for one write after
 * another that the store doesn't answer.
 */
BOOST_AUTO_TEST_CASE(RecordingOfHandoversStopsAtTheFirstFailure) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  endpoint->RequestLease("10.0.0.8:80");
  endpoint->RequestLease("10.0.0.9:80");
  rig.Renew(*endpoint);
  rig.clock.Advance(seconds(4));
  rig.endpoint_store.next_write = NextWrite::kAnswerLost;
  rig.endpoint_store.writes = 0;
  BOOST_TEST(rig.Renew(*endpoint));
  BOOST_TEST(rig.endpoint_store.writes == 1);
}

/** Guards against a fencing token that changes while orders with it are under
 * way. */
BOOST_AUTO_TEST_CASE(TokenStaysWhenHandoverIsRecorded) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.Renew(*endpoint);
  const auto token = rig.store.Peek(kKey)->revision;
  rig.AdvanceTime(seconds(8), {endpoint.get()});
  BOOST_TEST(rig.store.Peek(kKey)->revision > token);
  BOOST_TEST(*rig.FencingTokenOf(*endpoint) == token);
}

/**
 * Guards against a key that nobody deletes, as its revision changed while the
 * lease was given back.
 */
BOOST_AUTO_TEST_CASE(LeaseReleasedWhileHandoverIsRecordedIsDeleted) {
  Rig rig;
  const auto holder = rig.StartEndpoint();
  rig.Renew(*holder);
  rig.clock.Advance(seconds(4));
  rig.endpoint_store.before_answer = [&holder] {
    return holder->Release(kEngine);
  };
  rig.Renew(*holder);
  BOOST_TEST(!rig.endpoint_store.before_answer);
  BOOST_TEST(rig.store.Keys("engine-leases/").empty());
}

/**
 * Guards against refused loads where the engine's report proves that no other
 * process has given it orders.
 */
BOOST_AUTO_TEST_CASE(EngineWithoutForeignOrdersNeedsNoHandoverDelay) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.Renew(*endpoint);
  BOOST_TEST((endpoint->HandoverDelay(kEngine, false) > milliseconds(0)));
  BOOST_TEST((endpoint->HandoverDelay(kEngine, true) == milliseconds(0)));
}

/** Guards against refused loads during an outage of the store. */
BOOST_AUTO_TEST_CASE(HolderKeepsLeaseDuringShortStoreOutage) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  rig.store.down = true;
  rig.AdvanceTime(seconds(9), {endpoint.get()});
  BOOST_TEST(rig.MayGiveOrders(*endpoint));
  rig.store.down = false;
  rig.AdvanceTime(seconds(1), {endpoint.get()});
  BOOST_TEST(rig.MayGiveOrders(*endpoint));
}

/**
 * Guards against orders of two processes after a long outage, during which
 * leases continue to expire.
 */
BOOST_AUTO_TEST_CASE(HolderLosesLeaseInLongStoreOutage) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  rig.store.down = true;
  rig.AdvanceTime(seconds(15), {endpoint.get()});
  BOOST_TEST(!rig.MayGiveOrders(*endpoint));
  rig.store.down = false;
  const auto entry = rig.StartEntry();
  rig.AdvanceTime(seconds(10), {entry.get(), endpoint.get()});
  BOOST_TEST(rig.MayGiveOrders(*entry));
  BOOST_TEST(!rig.MayGiveOrders(*endpoint));
}

/**
 * Guards against refused loads after a lapse of the store's leases, if the
 * holder claims its key again before its own lease time ends.
 */
BOOST_AUTO_TEST_CASE(ReclaimAfterLapseNeedsNoHandoverDelay) {
  Rig rig;
  const auto endpoint = rig.StartEndpoint();
  rig.AdvanceTime(seconds(5), {endpoint.get()});
  rig.store.LapseLeases();
  rig.Renew(*endpoint);
  BOOST_TEST(rig.MayGiveOrders(*endpoint));
}

/**
 * Guards against an engine that nobody can give orders: the store did not
 * answer as its key was to be deleted, and the key is renewed with others.
 */
BOOST_AUTO_TEST_CASE(KeyOfReleasedLeaseIsDeletedOnceTheStoreAnswers) {
  Rig rig;
  const auto holder = rig.StartEndpoint();
  holder->RequestLease("10.0.0.9:80");
  rig.AdvanceTime(seconds(5), {holder.get()});
  rig.endpoint_store.rejects = true;
  BOOST_CHECK_NO_THROW(rig.Release(*holder));
  BOOST_REQUIRE(rig.store.Peek(kKey).has_value());
  rig.endpoint_store.rejects = false;
  rig.AdvanceTime(seconds(20), {holder.get()});
  BOOST_TEST(!rig.store.Peek(kKey).has_value());
}

/**
 * Guards against an engine that nobody can give orders until the lease of a
 * killed process ends: the process after it is asked for a key that it has not
 * claimed yet.
 */
BOOST_AUTO_TEST_CASE(KeyOfEarlierProcessIsReleasedOnRequest) {
  Rig rig;
  auto holder = rig.StartEntry();
  rig.AdvanceTime(seconds(5), {holder.get()});
  holder = rig.StartEntry();
  rig.Release(*holder);
  BOOST_TEST(!rig.store.Peek(kKey).has_value());
}

/**
 * Guards against a lease that is renewed permanently although it is no longer
 * requested.
 */
BOOST_AUTO_TEST_CASE(LeaseCancelledDuringClaimIsDeleted) {
  Rig rig;
  const auto entry = rig.StartEntry();
  entry::testing::Outcome<bool> claim;
  entry::testing::StartTask(rig.io, entry->RenewOnce(), claim);
  rig.io.restart();
  rig.io.run_one();
  entry->CancelRequest(kEngine);
  while (!claim.value && !claim.failure) rig.io.run_one();
  BOOST_TEST(rig.store.Keys("engine-leases/").empty());
}

}  // namespace sapphire::orders
