/** @file scheduler_test.cc Tests the scheduler under bursts, lost endpoints and
 * crashes. */
#define BOOST_TEST_MODULE entry_scheduler
#include <boost/test/unit_test.hpp>

#include "crash/quarantine_base.h"
#include "entry/fleet_fake_base.h"

namespace sapphire::entry::fake {

constexpr core::Millis kLong{20000};
constexpr char kModel[] = "cabin-8b";

/** Two endpoints, one entry and one model that is not loaded. */
struct Fleet {
  Fleet() : Fleet(1, 4) {}
  Fleet(int max_replicas, int max_concurrent) {
    for (FakeEndpoint* endpoint : {&left, &right}) {
      list.Add(endpoint == &left ? "left" : "right",
               external::VmRole::kEndpoint, endpoint->address());
    }
    config.Adopt(ConfigOf(kModel, max_replicas, max_concurrent));
    entry = std::make_unique<FakeEntry>(threads, "entry-1", list, store, config,
                                        clock, log);
    BOOST_REQUIRE(Eventually(
        [this] { return entry->directory().Endpoints().size() == 2; }));
  }
  ~Fleet() { threads.Stop(); }

  Outcome Place(gen::Place request) { return Place(*entry, request); }
  Outcome Place(FakeEntry& at, const gen::Place& request) {
    return threads.Start(TryPlace(at.scheduler(), request)).get();
  }
  int Loads() const { return left.loads + right.loads; }
  FakeEndpoint& EndpointNamed(const std::string& name) {
    return name == "left" ? left : right;
  }

  core::SystemClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("a")},
                   core::LogLevel::kError,
                   clock};
  FakeVmList list;
  FakeStore store;
  contract::ConfigHolder config;
  Threads threads;
  FakeEndpoint left{threads, "left", clock, log};
  FakeEndpoint right{threads, "right", clock, log};
  std::unique_ptr<FakeEntry> entry;
};

/** Places a request, holds its slot briefly and releases it. */
core::Task<bool> RunOnce(Scheduler& scheduler, std::atomic<int>& running,
                         std::atomic<int>& peak) {
  Outcome outcome = co_await TryPlace(scheduler, PlaceOf(kModel, kLong));
  if (!outcome.placement) co_return false;
  const int now = ++running;
  int seen = peak;
  while (now > seen && !peak.compare_exchange_weak(seen, now)) continue;
  co_await core::SleepFor(core::Millis(1));
  --running;
  outcome.placement->Finish(gen::RunResult::COMPLETED);
  co_return true;
}

// Hundreds of requests for an unloaded model arrive at once. The scheduler must
// order a single load, queue the rest, and serve all of them without exceeding
// the replica's concurrency limit.
BOOST_AUTO_TEST_CASE(BurstForUnloadedModelLoadsItOnce) {
  Fleet fleet;
  std::atomic<int> running{0};
  std::atomic<int> peak{0};
  std::vector<std::future<bool>> all;
  all.reserve(500);
  for (int i = 0; i < 500; ++i) {
    all.push_back(
        fleet.threads.Start(RunOnce(fleet.entry->scheduler(), running, peak)));
  }
  int served = 0;
  for (auto& one : all) served += one.get() ? 1 : 0;
  BOOST_TEST(served == 500);
  BOOST_TEST(fleet.Loads() == 1);
  BOOST_TEST(peak <= 4);
  const Scheduler::Stats stats = fleet.entry->scheduler().stats();
  BOOST_TEST(stats.placed == 500);
  BOOST_TEST(stats.loads_ordered == 1);
  BOOST_TEST(stats.queued == 0);
}

// The endpoint's VM is reclaimed during a load: its link breaks before the load
// is answered. The request must be served by another endpoint.
BOOST_AUTO_TEST_CASE(RequestIsPlacedElsewhereWhenItsLoadingEndpointIsLost) {
  Fleet fleet;
  fleet.left.mode = LoadMode::kHang;
  fleet.right.mode = LoadMode::kHang;
  auto placing = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, kLong)));
  BOOST_REQUIRE(Eventually([&] { return fleet.Loads() == 1; }));
  FakeEndpoint& lost = fleet.left.loads == 1 ? fleet.left : fleet.right;
  FakeEndpoint& other = &lost == &fleet.left ? fleet.right : fleet.left;
  other.mode = LoadMode::kSucceed;
  lost.node().Close();
  const Outcome outcome = placing.get();
  BOOST_REQUIRE(outcome.placement);
  BOOST_TEST(outcome.placement->placed().address == other.address());
}

// The load fails at one endpoint because of a broken checkpoint. The scheduler
// must try the other endpoint before it refuses the request.
BOOST_AUTO_TEST_CASE(FailedLoadIsRetriedAtAnotherEndpoint) {
  Fleet fleet;
  fleet.left.mode = LoadMode::kFail;
  fleet.right.mode = LoadMode::kFail;
  auto placing = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, kLong)));
  BOOST_REQUIRE(Eventually([&] { return fleet.Loads() == 1; }));
  FakeEndpoint& other = fleet.left.loads == 1 ? fleet.right : fleet.left;
  other.mode = LoadMode::kSucceed;
  const Outcome outcome = placing.get();
  BOOST_REQUIRE(outcome.placement);
  BOOST_TEST(outcome.placement->placed().address == other.address());
  BOOST_TEST(fleet.Loads() == 2);
}

// The checkpoint is broken at every endpoint. Once all were tried, the request
// must be refused immediately, with a retry hint.
BOOST_AUTO_TEST_CASE(LoadFailureAtAllEndpointsRefusesTheRequest) {
  Fleet fleet;
  fleet.left.mode = LoadMode::kFail;
  fleet.right.mode = LoadMode::kFail;
  const Outcome outcome = fleet.Place(PlaceOf(kModel, kLong));
  BOOST_REQUIRE(outcome.error);
  BOOST_TEST((outcome.error->code() == core::ErrorCode::kLoadFailed));
  BOOST_TEST((outcome.error->outcome() == core::Outcome::kNotRun));
  BOOST_TEST(outcome.error->retry_after().has_value());
  BOOST_TEST(fleet.Loads() == 2);
}

// A new entry gets a request before the endpoints' first reports. It must wait
// for them: it must neither refuse for lack of endpoints nor load a model that
// is already loaded.
BOOST_AUTO_TEST_CASE(NewEntryWaitsForTheFirstReports) {
  Fleet fleet;
  fleet.right.SetReady(kModel);
  FakeEntry next(fleet.threads, "entry-2", fleet.list, fleet.store,
                 fleet.config, fleet.clock, fleet.log);
  const Outcome outcome = fleet.Place(next, PlaceOf(kModel, kLong));
  BOOST_REQUIRE(outcome.placement);
  BOOST_TEST(outcome.placement->placed().endpoint == "right");
  BOOST_TEST(fleet.Loads() == 0);
  fleet.threads.Stop();
}

// Requests arrive with less time left than any load takes. They must be refused
// immediately with a retry hint. Exactly one load is started all the same, or
// the model would never be loaded for the retry.
BOOST_AUTO_TEST_CASE(TooShortDeadlineIsRefusedAndStartsOneLoad) {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    const Outcome outcome = fleet.Place(PlaceOf(kModel, core::Millis(20)));
    BOOST_REQUIRE(outcome.error);
    BOOST_TEST((outcome.error->code() == core::ErrorCode::kDeadlineTooShort));
    BOOST_TEST((outcome.error->outcome() == core::Outcome::kNotRun));
    BOOST_TEST(outcome.error->retry_after().has_value());
  }
  BOOST_TEST(fleet.Place(PlaceOf(kModel, kLong)).placement != nullptr);
  BOOST_TEST(fleet.Loads() == 1);
}

// The weight store is slow: a load outlasts the deadline of its first request,
// and the endpoint reports so while it continues to load. The next request must
// wait for this load: no refusal and no second load.
BOOST_AUTO_TEST_CASE(LoadThatOutlastsItsRequestServesTheNextRequest) {
  Fleet fleet;
  fleet.left.mode = LoadMode::kOutlast;
  fleet.right.mode = LoadMode::kOutlast;
  auto first = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, core::Millis(1500))));
  BOOST_REQUIRE(Eventually([&] {
    const auto all = fleet.entry->directory().Endpoints();
    return std::any_of(all.begin(), all.end(), [](const auto& known) {
      return !known.report.replicas.empty();
    });
  }));
  FakeEndpoint& holder = fleet.left.loads == 1 ? fleet.left : fleet.right;
  auto second = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, kLong)));
  BOOST_TEST(
      (second.wait_for(core::Millis(300)) == std::future_status::timeout));
  holder.FinishLoading();
  BOOST_TEST(second.get().placement != nullptr);
  first.wait();
  BOOST_TEST(fleet.Loads() == 1);
}

// The weight store has stalled, and the load hangs beyond the request's
// deadline. The request must still be refused at its deadline.
BOOST_AUTO_TEST_CASE(DeadlineEndsTheWaitForAHangingLoad) {
  Fleet fleet;
  fleet.left.mode = LoadMode::kHang;
  fleet.right.mode = LoadMode::kHang;
  const Outcome outcome = fleet.Place(PlaceOf(kModel, core::Millis(800)));
  BOOST_REQUIRE(outcome.error);
  BOOST_TEST((outcome.error->outcome() == core::Outcome::kNotRun));
  BOOST_TEST(outcome.error->retry_after().has_value());
  BOOST_TEST(fleet.entry->scheduler().stats().queued == 0);
}

// A request has crashed two engines and is sent a third time, to another entry
// that has become the model's primary entry. It must be refused there before it
// crashes a third engine.
BOOST_AUTO_TEST_CASE(QuarantineAppliesAtTheNextPrimaryEntry) {
  Fleet fleet;
  constexpr std::int64_t kFatal = 666;
  for (int crash = 0; crash < 2; ++crash) {
    const Outcome outcome = fleet.Place(PlaceOf(kModel, kLong, kFatal));
    BOOST_REQUIRE(outcome.placement);
    outcome.placement->Finish(gen::RunResult::ENGINE_CRASHED);
  }
  const Outcome third = fleet.Place(PlaceOf(kModel, kLong, kFatal));
  BOOST_REQUIRE(third.error);
  BOOST_TEST((third.error->code() == core::ErrorCode::kQuarantined));
  BOOST_REQUIRE(Eventually([&] {
    const auto kept = fleet.store.Find("quarantine/666");
    return kept && kept->value.find("crashes") != std::string::npos;
  }));
  FakeEntry next(fleet.threads, "entry-2", fleet.list, fleet.store,
                 fleet.config, fleet.clock, fleet.log);
  BOOST_REQUIRE(
      Eventually([&] { return next.directory().Endpoints().size() == 2; }));
  BOOST_REQUIRE(Eventually([&] {
    const Outcome again = fleet.Place(next, PlaceOf(kModel, kLong, kFatal));
    return again.error && again.error->code() == core::ErrorCode::kQuarantined;
  }));
  fleet.threads.Stop();
}

// A crash fails three requests, two of them innocent, and all three are sent
// again. Each must run alone: the innocent ones complete and are cleared, and
// only the fatal one is refused.
BOOST_AUTO_TEST_CASE(InnocentSuspectsAreClearedByRunningAlone) {
  Fleet fleet;
  std::vector<Outcome> together;
  for (const std::int64_t fingerprint : {1, 2, 666}) {
    together.push_back(fleet.Place(PlaceOf(kModel, kLong, fingerprint)));
    BOOST_REQUIRE(together.back().placement);
  }
  for (const Outcome& outcome : together) {
    outcome.placement->Finish(gen::RunResult::ENGINE_CRASHED);
  }
  Outcome innocent = fleet.Place(PlaceOf(kModel, kLong, 1));
  BOOST_REQUIRE(innocent.placement);
  auto fatal = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, kLong, 666)));
  BOOST_TEST(
      (fatal.wait_for(core::Millis(300)) == std::future_status::timeout));
  innocent.placement->Finish(gen::RunResult::COMPLETED);
  fatal.get().placement->Finish(gen::RunResult::ENGINE_CRASHED);
  BOOST_TEST(fleet.Place(PlaceOf(kModel, kLong, 1)).placement != nullptr);
  BOOST_TEST(fleet.Place(PlaceOf(kModel, kLong, 2)).placement != nullptr);
  const Outcome refused = fleet.Place(PlaceOf(kModel, kLong, 666));
  BOOST_REQUIRE(refused.error);
  BOOST_TEST((refused.error->code() == core::ErrorCode::kQuarantined));
}

// The key-value service is down during the crashes. The scheduler must still
// refuse the third attempt from memory, and write the crashes once the service
// is back.
BOOST_AUTO_TEST_CASE(QuarantineWorksWhileTheStoreIsDown) {
  Fleet fleet;
  fleet.store.down = true;
  for (int crash = 0; crash < 2; ++crash) {
    const Outcome outcome = fleet.Place(PlaceOf(kModel, kLong, 666));
    BOOST_REQUIRE(outcome.placement);
    outcome.placement->Finish(gen::RunResult::ENGINE_CRASHED);
  }
  const Outcome third = fleet.Place(PlaceOf(kModel, kLong, 666));
  BOOST_REQUIRE(third.error);
  BOOST_TEST((third.error->code() == core::ErrorCode::kQuarantined));
  BOOST_TEST(!fleet.store.Find("quarantine/666").has_value());
  fleet.store.down = false;
  BOOST_REQUIRE(Eventually(
      [&] { return fleet.store.Find("quarantine/666").has_value(); }));
  const auto kept =
      crash::DecodeCrashes(fleet.store.Find("quarantine/666")->value);
  BOOST_TEST(kept.crashes.size() == 2U);
}

// An endpoint reports that it is leaving. From that report on nothing new may
// be loaded or placed there.
BOOST_AUTO_TEST_CASE(LeavingEndpointGetsNoNewRequestsOrLoads) {
  Fleet fleet;
  const auto left = [&fleet] {
    return *fleet.entry->directory().Find(core::EndpointId("left"));
  };
  fleet.left.SetReady(kModel);
  BOOST_REQUIRE(Eventually([&] { return !left().report.replicas.empty(); }));
  BOOST_REQUIRE(fleet.Place(PlaceOf(kModel, kLong)).placement);
  fleet.left.SetLeaving();
  BOOST_REQUIRE(Eventually([&] { return left().leaving; }));
  const Outcome outcome = fleet.Place(PlaceOf(kModel, kLong));
  BOOST_TEST(fleet.left.loads == 0);
  BOOST_TEST(
      (outcome.error || outcome.placement->placed().endpoint == "right"));
}

// Operators remove a model while requests wait for it. The requests must be
// refused instead of waiting until their deadlines.
BOOST_AUTO_TEST_CASE(RemovedModelRefusesItsQueue) {
  Fleet fleet;
  fleet.left.mode = LoadMode::kHang;
  fleet.right.mode = LoadMode::kHang;
  auto waiting = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, kLong)));
  BOOST_REQUIRE(Eventually([&] { return fleet.Loads() == 1; }));
  contract::Config other = ConfigOf("another", 1, 1);
  other.version = 2;
  fleet.config.Adopt(other);
  const Outcome outcome = waiting.get();
  BOOST_REQUIRE(outcome.error);
  BOOST_TEST((outcome.error->code() == core::ErrorCode::kUnknownModel));
}

// Many requests for an adapter that is not loaded arrive at once, along with
// requests for the base model. The adapter must be loaded once, before its
// first request is placed, and must not delay the other requests.
BOOST_AUTO_TEST_CASE(AdapterIsLoadedOnceWithoutDelayingOthers) {
  Fleet fleet(1, 100);
  BOOST_REQUIRE(fleet.Place(PlaceOf(kModel, kLong)).placement);
  BOOST_REQUIRE(fleet.Loads() == 1);
  FakeEndpoint& holder = fleet.left.loads == 1 ? fleet.left : fleet.right;
  holder.mode = LoadMode::kHang;
  gen::Place with_adapter = PlaceOf(kModel, kLong);
  with_adapter.adapter = "lake";
  std::vector<std::future<Outcome>> waiting;
  waiting.reserve(20);
  for (int i = 0; i < 20; ++i) {
    waiting.push_back(
        fleet.threads.Start(TryPlace(fleet.entry->scheduler(), with_adapter)));
  }
  BOOST_REQUIRE(Eventually([&] { return fleet.Loads() == 2; }));
  BOOST_TEST(fleet.Place(PlaceOf(kModel, kLong)).placement != nullptr);
  holder.mode = LoadMode::kSucceed;
  for (auto& one : waiting) BOOST_TEST(one.get().placement != nullptr);
  BOOST_TEST(fleet.Place(with_adapter).placement != nullptr);
  BOOST_TEST(fleet.Loads() == 2);
  with_adapter.adapter = "unheard-of";
  const Outcome unknown = fleet.Place(with_adapter);
  BOOST_REQUIRE(unknown.error);
  BOOST_TEST((unknown.error->code() == core::ErrorCode::kUnknownAdapter));
}

core::Task<Outcome> TryPlaceService(Scheduler& scheduler, std::string service) {
  Outcome outcome;
  try {
    outcome.placement = co_await scheduler.PlaceService(
        core::ServiceId(service), core::OwnerId("one"), kLong, {});
  } catch (const core::Error& e) {
    outcome.error = e;
  }
  co_return outcome;
}

// The only endpoint of a plain service disconnects. Requests are placed there
// before, and must be refused immediately with a retry hint afterwards.
BOOST_AUTO_TEST_CASE(PlainServiceWithoutEndpointIsRefusedImmediately) {
  Fleet fleet;
  FakeEndpoint booth(fleet.threads, "booth", fleet.clock, fleet.log, "booths");
  fleet.list.Add("booth", external::VmRole::kEndpoint, booth.address());
  const auto place = [&fleet](const char* service) {
    return fleet.threads
        .Start(TryPlaceService(fleet.entry->scheduler(), service))
        .get();
  };
  BOOST_REQUIRE(Eventually([&] { return place("booths").placement; }));
  BOOST_TEST(place("booths").placement->placed().address == booth.address());
  booth.node().Close();
  BOOST_REQUIRE(Eventually([&] { return place("booths").error; }));
  const Outcome refused = place("booths");
  BOOST_TEST((refused.error->code() == core::ErrorCode::kNoEndpoint));
  BOOST_TEST(refused.error->retry_after().has_value());
  fleet.threads.Stop();
}

core::Task<int> PlaceInTurn(Scheduler& scheduler, std::string owner,
                            std::atomic<int>& turn) {
  // The duration of the holder's run serves as the service time estimate; on a
  // busy machine, 200 times that is longer than kLong.
  constexpr core::Millis kAmple{600'000};
  Outcome outcome =
      co_await TryPlace(scheduler, PlaceOf(kModel, kAmple, 0, owner));
  const int mine = outcome.placement ? turn++ : -1;
  if (outcome.placement) {
    outcome.placement->Finish(gen::RunResult::COMPLETED);
  }
  co_return mine;
}

// One owner sends two hundred requests, and another owner's single request of
// the same priority arrives last. It must not wait behind the whole burst: the
// owners' shares put it near the front.
BOOST_AUTO_TEST_CASE(BurstOfOneOwnerDoesNotStarveAnother) {
  Fleet fleet(1, 1);
  Outcome holder = fleet.Place(PlaceOf(kModel, kLong, 0, "loud"));
  BOOST_REQUIRE(holder.placement);
  std::atomic<int> turn{0};
  std::vector<std::future<int>> loud;
  loud.reserve(200);
  for (int i = 0; i < 200; ++i) {
    loud.push_back(fleet.threads.Start(
        PlaceInTurn(fleet.entry->scheduler(), "loud", turn)));
  }
  BOOST_REQUIRE(Eventually(
      [&] { return fleet.entry->scheduler().stats().queued == 200; }));
  auto quiet =
      fleet.threads.Start(PlaceInTurn(fleet.entry->scheduler(), "quiet", turn));
  BOOST_REQUIRE(Eventually(
      [&] { return fleet.entry->scheduler().stats().queued == 201; }));
  holder.placement->Finish(gen::RunResult::COMPLETED);
  BOOST_TEST(quiet.get() <= 1);
  for (auto& one : loud) BOOST_TEST(one.get() >= 0);
}

core::Task<std::shared_ptr<link::Call>> OpenPlace(link::LinkNode& node,
                                                  std::string address) {
  gen::Message message;
  message.__set_place(PlaceOf(kModel, kLong));
  auto call = co_await node.Open(address, message);
  const gen::Message answer = co_await call->Receive(kLong);
  if (!answer.__isset.placed) co_return nullptr;
  co_return call;
}

// Another entry dies while it holds the only slot. The broken link must free
// the slot, or the model would stay blocked for ever.
BOOST_AUTO_TEST_CASE(LostLinkOfPlacingEntryFreesItsSlot) {
  Fleet fleet(1, 1);
  link::LinkNode placer(
      fleet.threads.executor(), LinkOptionsOf("entry-9", gen::Role::ENTRY),
      [](std::shared_ptr<link::Call>, gen::Message) -> core::Task<> {
        co_return;
      },
      NoVersions(), fleet.clock, fleet.log);
  const auto call =
      fleet.threads.Start(OpenPlace(placer, fleet.entry->address())).get();
  BOOST_REQUIRE(call);
  auto second = fleet.threads.Start(
      TryPlace(fleet.entry->scheduler(), PlaceOf(kModel, kLong)));
  BOOST_TEST(
      (second.wait_for(core::Millis(200)) == std::future_status::timeout));
  placer.Close();
  BOOST_TEST(second.get().placement != nullptr);
  fleet.threads.Stop();
}

// A caller disconnects while its request waits. The request must leave the
// queue, since nobody would free a slot granted to it.
BOOST_AUTO_TEST_CASE(AbandonedWaiterLeavesTheQueue) {
  Fleet fleet(1, 1);
  Outcome holder = fleet.Place(PlaceOf(kModel, kLong));
  BOOST_REQUIRE(holder.placement);
  link::LinkNode placer(
      fleet.threads.executor(), LinkOptionsOf("entry-9", gen::Role::ENTRY),
      [](std::shared_ptr<link::Call>, gen::Message) -> core::Task<> {
        co_return;
      },
      NoVersions(), fleet.clock, fleet.log);
  auto waiting = fleet.threads.Start(OpenPlace(placer, fleet.entry->address()));
  BOOST_REQUIRE(
      Eventually([&] { return fleet.entry->scheduler().stats().queued == 1; }));
  placer.Close();
  BOOST_TEST(
      Eventually([&] { return fleet.entry->scheduler().stats().queued == 0; }));
  BOOST_CHECK_THROW(waiting.get(), core::Error);
  fleet.threads.Stop();
}

}  // namespace sapphire::entry::fake
