/** @file lane_test.cc Tests of the weight store's lanes. */
#define BOOST_TEST_MODULE lane
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "endpoint/fake_platform_test.h"
#include "endpoint/lane_func.h"
#include "endpoint/lane_queue_base.h"

namespace sapphire::endpoint::test {

namespace {

core::WallTime At(int millis) { return core::WallTime(Millis(millis)); }

LaneEntry Bid(int vm, int deadline, int until) {
  return {core::VmId("vm" + std::to_string(vm)), core::ModelId("m"),
          At(deadline), At(until)};
}

}  // namespace

// Failure: all VMs load at the same moment and all loads are slow, because they
// share the store. The number of concurrent loads is limited, and the load with
// the earliest deadline goes first.
BOOST_AUTO_TEST_CASE(LoadsAreLimitedAndEarliestDeadlineGoesFirst) {
  LanesValue lanes;
  BOOST_TEST(BidForLane(lanes, Bid(0, 900, 1000), 1, At(0)));
  BOOST_TEST(!BidForLane(lanes, Bid(1, 800, 1000), 1, At(0)));
  BOOST_TEST(!BidForLane(lanes, Bid(2, 700, 1000), 1, At(0)));
  DropLane(lanes, core::VmId("vm0"), core::ModelId("m"));
  BOOST_TEST(!BidForLane(lanes, Bid(1, 800, 1000), 1, At(1)));
  BOOST_TEST(BidForLane(lanes, Bid(2, 700, 1000), 1, At(1)));
}

// Failure: a VM is reclaimed while it holds a lane, or while it waits for one,
// and blocks the lane for ever.
BOOST_AUTO_TEST_CASE(LapsedHoldersAndBidsAreRemoved) {
  LanesValue lanes;
  BOOST_TEST(BidForLane(lanes, Bid(0, 900, 100), 1, At(0)));
  BOOST_TEST(!BidForLane(lanes, Bid(1, 100, 100), 1, At(0)));
  BOOST_TEST(!BidForLane(lanes, Bid(2, 800, 500), 1, At(99)));
  BOOST_TEST(BidForLane(lanes, Bid(2, 800, 500), 1, At(100)));
}

BOOST_AUTO_TEST_CASE(NeverMoreHoldersThanLanesOverRandomSequences) {
  for (unsigned seed = 0; seed < 100; ++seed) {
    std::mt19937 random(seed);
    LanesValue lanes;
    for (int now = 0; now < 300; ++now) {
      const int vm = static_cast<int>(random() % 9);
      if (random() % 3 == 0) {
        DropLane(lanes, Bid(vm, 0, 0).vm, core::ModelId("m"));
      } else {
        const int deadline = static_cast<int>(random() % 500);
        BidForLane(lanes, Bid(vm, deadline, now + 20), 4, At(now));
      }
      lanes = DecodeLanes(EncodeLanes(lanes));
      const auto live = std::ranges::count_if(
          lanes.holders, [&](const auto& it) { return it.until > At(now); });
      BOOST_REQUIRE_LE(live, 4);
    }
  }
}

BOOST_AUTO_TEST_CASE(CorruptValueDecodesToNoLanes) {
  BOOST_TEST(DecodeLanes("spoilt").holders.empty());
  BOOST_TEST(DecodeLanes("{\"holders\":[1]}").bids.empty());
}

// While the key-value service is down, loads that need no new grant (because an
// unsent release is reclaimed) must continue; lanes only affect speed.
BOOST_AUTO_TEST_CASE(LoadsContinueInAnOutage) {
  boost::asio::io_context context;
  const core::SystemClock clock;
  const core::Logger log({"test", core::VmId("vm"), core::ZoneId("z")},
                         core::LogLevel::kError, clock);
  FakeStore store;
  LaneQueueOptions options;
  options.vm = core::VmId("vm1");
  options.poll = Millis(1);
  LaneQueue queue(options, store, clock, log);
  LaneQueueOptions other_options = options;
  other_options.vm = core::VmId("vm2");
  LaneQueue other(other_options, store, clock, log);
  std::vector<bool> entered;
  core::Spawn(context.get_executor(), log, "test", [&]() -> Task<> {
    const core::ModelId model("m");
    const auto soon = [&] { return clock.Now() + Millis(20); };
    entered.push_back(co_await queue.Enter(model, 1, soon()));
    entered.push_back(co_await other.Enter(model, 1, soon()));
    co_await queue.Leave(model);
    entered.push_back(co_await other.Enter(model, 1, soon()));
    store.down = true;
    entered.push_back(co_await queue.Enter(model, 1, soon()));
  });
  context.run();
  const std::vector<bool> expected = {true, false, true, true};
  BOOST_TEST((entered == expected));
}

}  // namespace sapphire::endpoint::test
