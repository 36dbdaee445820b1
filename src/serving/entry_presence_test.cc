/** @file entry_presence_test.cc Tests of how entries know of each other. */
#define BOOST_TEST_MODULE entry_presence
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "core/task_func.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "serving/entry_presence_base.h"

namespace sapphire::serving {

namespace {

using std::chrono::milliseconds;

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        presence(Options(), store, log) {
    core::Spawn(io.get_executor(), log, "keep_presence",
                [this] { return presence.Run(); });
  }

  static PresenceOptions Options() {
    PresenceOptions options;
    options.key = "entries/vm@1";
    options.value = "here";
    options.renew_pause = milliseconds(20);
    options.retry_pause = milliseconds(20);
    return options;
  }

  [[nodiscard]] bool IsShown() const {
    return store.Peek("entries/vm@1").has_value();
  }

  bool Shown() {
    return entry::testing::RunUntil(io, [this] { return IsShown(); });
  }

  core::Task<bool> Withdraw() {
    co_await presence.Withdraw();
    co_return true;
  }

  boost::asio::io_context io;
  core::SystemClock clock;
  core::ManualClock store_clock;
  core::Logger log;
  entry::testing::MemoryKeyValue store{store_clock};
  EntryPresence presence;
};

}  // namespace

/**
 * An entry serves callers, and the others count it out for good: they take too
 * large a share of all limits and hear nothing of its use.
 * Its lease ended while the store was away, or was revoked, and its presence
 * with it; the next renewal finds that out.
 */
BOOST_AUTO_TEST_CASE(APresenceThatLapsedIsShownAgain) {
  Rig rig;
  BOOST_TEST(rig.Shown());
  rig.store.LapseLeases();
  BOOST_TEST(!rig.IsShown());
  BOOST_TEST(rig.Shown());
}

/** Entries start while the store is away. */
BOOST_AUTO_TEST_CASE(APresenceIsShownOnceTheStoreIsBack) {
  Rig rig;
  rig.store.down = true;
  for (int i = 0; i < 50; ++i) rig.io.run_one();
  BOOST_TEST(!rig.IsShown());
  rig.store.down = false;
  BOOST_TEST(rig.Shown());
}

/** An entry that ends says so: the others do not wait for its lease. */
BOOST_AUTO_TEST_CASE(AnEntryThatEndsWithdrawsItsPresence) {
  Rig rig;
  BOOST_TEST(rig.Shown());
  entry::testing::RunTask(rig.io, rig.Withdraw());
  BOOST_TEST(!rig.IsShown());
}

}  // namespace sapphire::serving
