/** @file store_follower_test.cc Tests when a follower of the store counts as
 * late. */
#define BOOST_TEST_MODULE store_follower
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

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
  explicit Rig(const FollowOptions& options = Options())
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        follower(options, {Hooks()}, store, clock, log) {
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

  FollowHooks Hooks() {
    FollowHooks hooks;
    hooks.listed = [](const auto&, LapseGraceEnd) {};
    hooks.changed = [this](const auto&, LapseGraceEnd) {
      if (throws) throw std::runtime_error("not understood");
      ++changes;
    };
    return hooks;
  }

  /** Writes a key, without time passing for the follower's other calls. */
  void Change() {
    core::Spawn(io.get_executor(), log, "change", [this]() -> core::Task<> {
      co_await store.CompareAndSwap("key", 0, "value", "");
    });
  }

  bool RunUntil(const std::function<bool()>& done) {
    return entry::testing::RunUntil(io, done);
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log;
  entry::testing::MemoryKeyValue store{clock};
  int changes = 0;
  /** A change can't be applied while true. */
  bool throws = false;
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

/** Guards against changes that are missed for good, as a watch that reported
 * none named their revision. */
BOOST_AUTO_TEST_CASE(AnAnswerThatLacksChangesDoesNotRenewTheView) {
  Rig rig;
  BOOST_REQUIRE(
      rig.RunUntil([&] { return rig.follower.last_answer().has_value(); }));
  const core::SteadyTime before = *rig.follower.current_as_of();
  const core::SteadyTime answered = *rig.follower.last_answer();
  const std::int64_t revision = *rig.follower.revision();
  external::WatchBatch silent;
  silent.revision = revision + 1;
  rig.store.batches.push_back(silent);
  BOOST_REQUIRE(
      rig.RunUntil([&] { return *rig.follower.last_answer() != answered; }));
  BOOST_TEST((*rig.follower.current_as_of() == before));
  BOOST_TEST(!rig.follower.revision().has_value());
}

/** Guards against a change that is missed until the next listing, as a watch
 * left it out and reported a later one. */
BOOST_AUTO_TEST_CASE(AnAnswerThatLeavesAChangeOutDoesNotRenewTheView) {
  Rig rig;
  BOOST_REQUIRE(
      rig.RunUntil([&] { return rig.follower.last_answer().has_value(); }));
  const core::SteadyTime before = *rig.follower.current_as_of();
  const core::SteadyTime answered = *rig.follower.last_answer();
  const std::int64_t revision = *rig.follower.revision();
  external::WatchBatch batch;
  batch.revision = revision + 3;
  batch.events = {{"a", "x", revision + 1}, {"c", "x", revision + 3}};
  rig.store.batches.push_back(batch);
  BOOST_REQUIRE(
      rig.RunUntil([&] { return *rig.follower.last_answer() != answered; }));
  BOOST_TEST((*rig.follower.current_as_of() == before));
  BOOST_TEST(!rig.follower.revision().has_value());
  BOOST_TEST(rig.changes == 0);
}

/** Guards against a listing after each transaction that changes several keys
 * at one revision. */
BOOST_AUTO_TEST_CASE(SeveralChangesOfOneRevisionRenewTheView) {
  Rig rig;
  BOOST_REQUIRE(
      rig.RunUntil([&] { return rig.follower.last_answer().has_value(); }));
  const std::int64_t revision = *rig.follower.revision();
  external::WatchBatch batch;
  batch.revision = revision + 2;
  batch.events = {{"a", "x", revision + 1},
                  {"b", "x", revision + 1},
                  {"c", std::nullopt, revision + 2}};
  rig.store.batches.push_back(batch);
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.changes == 3; }));
  BOOST_TEST(*rig.follower.revision() == revision + 2);
}

/** Guards against a change that counts as known although it was not applied. */
BOOST_AUTO_TEST_CASE(AChangeThatFailsDoesNotRenewTheView) {
  Rig rig;
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.store.watches == 1; }));
  rig.throws = true;
  const core::SteadyTime before = *rig.follower.current_as_of();
  rig.Change();
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.follower.failing(); }));
  BOOST_TEST((*rig.follower.current_as_of() == before));
}

/** Guards against an answer of a watch that was cut, read late, as news of the
 * time after it was sent. */
BOOST_AUTO_TEST_CASE(AnAnswerTellsOfTheTimeOfItsCall) {
  FollowOptions options = Rig::Options();
  options.watch_wait = milliseconds(1000);
  Rig rig(options);
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.store.watches == 1; }));
  const core::SteadyTime called = rig.clock.Now();
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.store.watches == 2; }));
  BOOST_TEST((*rig.follower.current_as_of() <= called));
}

/** Guards against a view that becomes late in calm: a change at the end of one
 * wait, the pause after it and another whole wait exceed the bound. */
BOOST_AUTO_TEST_CASE(AQuietStoreDoesNotMakeTheViewLate) {
  FollowOptions options = Rig::Options();
  options.watch_wait = milliseconds(200);
  options.late_after = milliseconds(430);
  Rig rig(options);
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.store.watches == 1; }));
  rig.clock.Advance(milliseconds(150));
  rig.Change();
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.changes == 1; }));
  // The pause after a change takes no time of this clock.
  rig.clock.Advance(options.batch_pause);
  bool late = false;
  BOOST_TEST(rig.RunUntil([&] {
    late = late || rig.follower.IsLate();
    return rig.store.watches == 4;
  }));
  BOOST_TEST(!late);
}

/** Guards against a call that is taken for one of a busy store while it only
 * waits for changes, and the other way round. */
BOOST_AUTO_TEST_CASE(AnOverdueAnswerIsAwaited) {
  FollowOptions options = Rig::Options();
  options.watch_wait = milliseconds(1000);
  Rig rig(options);
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.store.watches == 1; }));
  rig.clock.Advance(milliseconds(900));
  BOOST_TEST(!rig.follower.IsAwaitingAnswer());
  rig.clock.Advance(milliseconds(400));
  BOOST_TEST(rig.follower.IsAwaitingAnswer());
  BOOST_REQUIRE(rig.RunUntil([&] { return rig.store.watches == 2; }));
  BOOST_TEST(!rig.follower.IsAwaitingAnswer());
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
