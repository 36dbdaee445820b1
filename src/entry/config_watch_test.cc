/** @file config_watch_test.cc Tests the configuration watch under failures. */
#define BOOST_TEST_MODULE config_watch
#include <boost/test/unit_test.hpp>

#include "contract/testing_intent.h"
#include "entry/config_store_base.h"
#include "entry/config_watch_base.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"

namespace sapphire::entry {
namespace {

using contract::testing::Mutate;
using contract::testing::RandomIntent;
using std::chrono::milliseconds;

/** A revision that no event reaches. */
constexpr std::int64_t kFarAhead = 1'000'000;
constexpr milliseconds kNever = std::chrono::hours(1'000);

constexpr ConfigWatchOptions OptionsWith(milliseconds refresh_interval) {
  return {milliseconds(50), refresh_interval, milliseconds(1), milliseconds(4)};
}

struct Fixture {
  Fixture() { watch.Start(); }

  ~Fixture() {
    watch.Stop();
    io.run();
  }

  /** Confirms an intent through an operator's entry. */
  std::int64_t Confirm(const contract::Intent& wanted) {
    const auto plan = testing::RunTask(io, store.SavePlan(wanted, {}));
    return testing::RunTask(io, store.Confirm(plan.id));
  }

  /** Confirms an intent without any watch reporting it. */
  void ConfirmUnseen(const contract::Intent& wanted) {
    kv.miss_changes = true;
    Confirm(wanted);
    const int before = kv.watches;
    testing::RunUntil(io, [&] { return kv.watches >= before + 2; });
    kv.miss_changes = false;
  }

  bool RunUntilVersion(std::int64_t version) {
    return testing::RunUntil(io, [&] { return holder.version() == version; });
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  testing::MemoryKeyValue kv{clock};
  contract::testing::Random random{3};
  contract::ConfigHolder operators_holder;
  contract::PartCache operators_parts{operators_holder};
  ConfigStore store{{milliseconds(200), milliseconds(1)},
                    kv,
                    operators_holder,
                    operators_parts,
                    clock,
                    log};
  contract::ConfigHolder holder;
  contract::PartCache parts{holder};
  ConfigWatch watch{
      io.get_executor(), OptionsWith(kNever), kv, parts, clock, log};
};

BOOST_FIXTURE_TEST_CASE(EachVersionIsAdopted, Fixture) {
  for (int i = 1; i <= 5; ++i) {
    const auto wanted = RandomIntent(random, 20);
    BOOST_TEST(Confirm(wanted) == i);
    BOOST_TEST(RunUntilVersion(i));
    BOOST_CHECK(holder.Current()->intent == wanted);
  }
}

// A large deployment gets small changes all day. Reading every part for each of
// them would exhaust the service's read capacity.
BOOST_FIXTURE_TEST_CASE(OnlyChangedPartsAreRead, Fixture) {
  auto intent = RandomIntent(random, 500);
  Confirm(intent);
  BOOST_TEST(RunUntilVersion(1));
  Mutate(random, intent);
  Confirm(intent);
  const int before = kv.gets;
  BOOST_TEST(RunUntilVersion(2));
  BOOST_TEST(kv.gets - before <= 3);
}

// After a change, the service answers a read and a watch from a replica that
// lags and returns the older head. The older configuration must not be
// restored.
BOOST_FIXTURE_TEST_CASE(OlderHeadIsIgnored, Fixture) {
  Confirm(RandomIntent(random, 20));
  const auto older = kv.Peek("config/head");
  const auto newest = RandomIntent(random, 20);
  Confirm(newest);
  BOOST_TEST(RunUntilVersion(2));
  kv.batches = {{1, {{"config/head", older->value, older->revision}}, false},
                {1, {}, true}};
  kv.head_overrides = {older};
  BOOST_TEST(
      testing::RunUntil(io, [&] { return watch.counters().older_heads >= 2; }));
  BOOST_TEST(holder.version() == 2);
  BOOST_CHECK(holder.Current()->intent == newest);
}

// The service has lost its history in a restart, and the watch reports a gap. A
// change missed in the gap must still be found.
BOOST_FIXTURE_TEST_CASE(ChangeInAGapIsFound, Fixture) {
  Confirm(RandomIntent(random, 20));
  BOOST_TEST(RunUntilVersion(1));
  ConfirmUnseen(RandomIntent(random, 20));
  BOOST_TEST(holder.version() == 1);
  kv.batches = {{kFarAhead, {}, true}};
  BOOST_TEST(RunUntilVersion(2));
}

// A watch misses a change without reporting a gap. The periodic read of the
// head must find the change.
BOOST_FIXTURE_TEST_CASE(ChangeInAnUnreportedGapIsFound, Fixture) {
  watch.Stop();
  io.run();
  Confirm(RandomIntent(random, 20));
  ConfigWatch other(io.get_executor(), OptionsWith(milliseconds(200)), kv,
                    parts, clock, log);
  other.Start();
  BOOST_TEST(RunUntilVersion(1));
  ConfirmUnseen(RandomIntent(random, 20));
  BOOST_TEST(RunUntilVersion(2));
  other.Stop();
  io.run();
}

// The service is down for a while, and a plan is confirmed once it is back. The
// entry must keep the last configuration meanwhile and then adopt the new one.
BOOST_FIXTURE_TEST_CASE(ConfigurationIsAdoptedAfterAnOutage, Fixture) {
  Confirm(RandomIntent(random, 20));
  BOOST_TEST(RunUntilVersion(1));
  kv.down = true;
  BOOST_TEST(
      testing::RunUntil(io, [&] { return watch.counters().failures >= 3; }));
  BOOST_TEST(holder.version() == 1);
  kv.down = false;
  Confirm(RandomIntent(random, 20));
  BOOST_TEST(RunUntilVersion(2));
}

// Between reading a head and its parts, the next plan is confirmed and deletes
// replaced parts. The entry must recover and adopt the newer head.
BOOST_FIXTURE_TEST_CASE(WatchRecoversFromPartsDeletedMeanwhile, Fixture) {
  Confirm(RandomIntent(random, 20));
  const auto older = kv.Peek("config/head");
  Confirm(RandomIntent(random, 20));
  contract::ConfigHolder fresh_holder;
  contract::PartCache fresh_parts(fresh_holder);
  ConfigWatch fresh(io.get_executor(), OptionsWith(kNever), kv, fresh_parts,
                    clock, log);
  watch.Stop();
  io.run();
  kv.head_overrides = {older};
  fresh.Start();
  BOOST_TEST(
      testing::RunUntil(io, [&] { return fresh_holder.version() == 2; }));
  BOOST_TEST(fresh.counters().failures == 1);
  fresh.Stop();
  io.run();
}

}  // namespace
}  // namespace sapphire::entry
