/** @file entry_presence_test.cc Tests of how entries announce themselves. */
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

  [[nodiscard]] bool IsPresent() const {
    return store.Peek("entries/vm@1").has_value();
  }

  bool WaitUntilPresent() {
    return entry::testing::RunUntil(io, [this] { return IsPresent(); });
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
 * Guards against an entry that serves callers but stays unknown to its peers,
 * which then take too large a share of all limits and do not learn of its use.
 * The lease ended while the store was unavailable, or was revoked; the next
 * renewal finds that out.
 */
BOOST_AUTO_TEST_CASE(LapsedPresenceIsRestored) {
  Rig rig;
  BOOST_TEST(rig.WaitUntilPresent());
  rig.store.LapseLeases();
  BOOST_TEST(!rig.IsPresent());
  BOOST_TEST(rig.WaitUntilPresent());
}

/** Guards against an entry that stays unknown because it started while the
 * store was unavailable. */
BOOST_AUTO_TEST_CASE(PresenceIsWrittenOnceTheStoreIsBack) {
  Rig rig;
  rig.store.down = true;
  for (int i = 0; i < 50; ++i) rig.io.run_one();
  BOOST_TEST(!rig.IsPresent());
  rig.store.down = false;
  BOOST_TEST(rig.WaitUntilPresent());
}

/** Guards against peers that wait for the lease of an entry that has shut down.
 */
BOOST_AUTO_TEST_CASE(StoppingEntryWithdrawsItsPresence) {
  Rig rig;
  BOOST_TEST(rig.WaitUntilPresent());
  entry::testing::RunTask(rig.io, rig.Withdraw());
  BOOST_TEST(!rig.IsPresent());
}

}  // namespace sapphire::serving
