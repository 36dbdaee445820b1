/** @file store_follower_test.cc Tests when a follower of the store counts as
 * late. */
#define BOOST_TEST_MODULE store_follower
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "core/task_func.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "routing/store_follower_base.h"

namespace sapphire::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Runs a follower on an in-memory store. Each store call advances the clock by
 * a millisecond; the test advances it further. */
struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        follower(Options(), {}, store, clock, log) {
    core::Spawn(io.get_executor(), log, "follow",
                [this] { return follower.Run(); });
  }

  static FollowOptions Options() {
    FollowOptions options;
    options.watch_wait = milliseconds(20);
    options.retry_pause = milliseconds(1);
    options.late_after = milliseconds(3000);
    return options;
  }

  bool RunUntil(const std::function<bool()>& done) {
    return entry::testing::RunUntil(io, done);
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log;
  entry::testing::MemoryKeyValue store{clock};
  StoreFollower follower;
};

}  // namespace

/** Guards against a process that is too busy to follow the store and keeps
 * using outdated data although no call has failed. */
BOOST_AUTO_TEST_CASE(DelayedFollowerIsLate) {
  Rig rig;
  BOOST_REQUIRE(
      rig.RunUntil([&] { return rig.follower.last_answer().has_value(); }));
  BOOST_TEST(!rig.follower.IsLate());
  rig.clock.Advance(seconds(4));
  BOOST_TEST(rig.follower.IsLate());
  BOOST_TEST(rig.RunUntil([&] { return !rig.follower.IsLate(); }));
}

/** Guards against a gap in the history that passes for news: it tells that
 * changes may have been missed. */
BOOST_AUTO_TEST_CASE(AGapDoesNotRenewTheView) {
  Rig rig;
  BOOST_REQUIRE(
      rig.RunUntil([&] { return rig.follower.last_answer().has_value(); }));
  const core::SteadyTime before = *rig.follower.current_as_of();
  const core::SteadyTime answered = *rig.follower.last_answer();
  external::WatchBatch gap;
  gap.gap = true;
  rig.store.batches.push_back(gap);
  BOOST_REQUIRE(
      rig.RunUntil([&] { return *rig.follower.last_answer() != answered; }));
  BOOST_TEST((*rig.follower.current_as_of() == before));
}

/** Guards against refusals while the store is unavailable, when no entry can
 * have newer data. */
BOOST_AUTO_TEST_CASE(FollowerIsNotLateWhileTheStoreIsDown) {
  Rig rig;
  BOOST_REQUIRE(
      rig.RunUntil([&] { return rig.follower.last_answer().has_value(); }));
  rig.store.down = true;
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.follower.failing(); }));
  rig.clock.Advance(seconds(10));
  BOOST_TEST(!rig.follower.IsLate());
}

}  // namespace sapphire::routing
