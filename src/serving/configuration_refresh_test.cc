/** @file configuration_refresh_test.cc Tests how an entry confirms that its
 * configuration is the newest one. */
#define BOOST_TEST_MODULE configuration_refresh
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "external/counting_store_base.h"
#include "serving/configuration_refresh_base.h"

namespace sapphire::serving {

namespace {

using entry::testing::RunTask;
using std::chrono::milliseconds;

const std::string kKey = "config";

struct Rig {
  Rig() { Publish(0, "first"); }

  void Publish(std::int64_t expected, const std::string& text) {
    RunTask(io, Write(expected, text));
  }

  core::Task<bool> Write(std::int64_t expected, std::string text) {
    co_await memory.CompareAndSwap(kKey, expected, text, "");
    co_return true;
  }

  bool Confirm() { return RunTask(io, refresh.Confirm(clock.Now())); }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log{{"entry", core::VmId("v"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  entry::testing::MemoryKeyValue memory{clock};
  int calls = 0;
  external::CountingStore store{
      memory, [this](const external::StoreCall&) { ++calls; }, clock};
  /** Revision of the configuration in force. */
  std::optional<std::int64_t> revision;
  bool usable = true;
  bool awaits_answer = false;
  std::vector<std::string> adopted;
  ConfigurationRefresh refresh{
      {kKey},
      {[] { return std::nullopt; }, [this] { return revision; },
       [this] { return awaits_answer; }},
      store,
      [this](const external::KvEntry& it) {
        adopted.push_back(it.value);
        if (usable && revision) revision = it.revision;
        return usable;
      },
      io.get_executor(),
      clock,
      log};
};

}  // namespace

/** Guards against reading a large document for each unknown path. */
BOOST_AUTO_TEST_CASE(OnlyTheRevisionIsAskedWhereOneIsInForce) {
  Rig rig;
  rig.revision = 1;
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.memory.checks == 1);
  BOOST_TEST(rig.memory.watches == 0);
  BOOST_TEST(rig.memory.gets == 0);
  BOOST_TEST(rig.adopted.empty());
}

BOOST_AUTO_TEST_CASE(AChangeSinceTheRevisionIsAdopted) {
  Rig rig;
  rig.revision = 1;
  rig.Publish(1, "second");
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.adopted == std::vector<std::string>{"second"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(TheDocumentIsReadWhereNoneIsInForce) {
  Rig rig;
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.memory.gets == 1);
  BOOST_TEST(rig.adopted == std::vector<std::string>{"first"},
             boost::test_tools::per_element());
}

/** Guards against watches as evidence, whose history may have been lost. */
BOOST_AUTO_TEST_CASE(AConfirmationNeedsNoHistory) {
  Rig rig;
  rig.revision = 1;
  rig.Publish(1, "second");
  external::WatchBatch gap;
  gap.gap = true;
  rig.memory.batches.push_back(gap);
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.memory.watches == 0);
  BOOST_TEST(rig.adopted == std::vector<std::string>{"second"},
             boost::test_tools::per_element());
}

/** Guards against a change that is missed for good, as a watch that reported
 * none named its revision. */
BOOST_AUTO_TEST_CASE(AnAnswerThatLacksAChangeConfirmsNothing) {
  Rig rig;
  rig.revision = 1;
  rig.Publish(1, "second");
  rig.memory.miss_changes = true;
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.adopted == std::vector<std::string>{"second"},
             boost::test_tools::per_element());
  rig.memory.miss_changes = false;
  rig.clock.Advance(milliseconds(1100));
  rig.Publish(2, "third");
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.adopted.back() == "third");
}

/** Guards against reading the same change again while the follower is behind.
 */
BOOST_AUTO_TEST_CASE(AChangeIsReadOnce) {
  Rig rig;
  rig.revision = 1;
  rig.Publish(1, "second");
  BOOST_TEST(rig.Confirm());
  rig.clock.Advance(milliseconds(1100));
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.adopted.size() == 1);
  BOOST_TEST(rig.memory.gets == 0);
}

/** Guards against a second transfer of a large document over a slow link while
 * the follower receives it. */
BOOST_AUTO_TEST_CASE(NothingIsReadWhileTheFollowerAwaitsAnAnswer) {
  Rig rig;
  rig.awaits_answer = true;
  BOOST_TEST(!rig.Confirm());
  BOOST_TEST(rig.calls == 0);
  rig.awaits_answer = false;
  BOOST_TEST(rig.Confirm());
}

/** Guards against an unusable document that hides a usable later one. */
BOOST_AUTO_TEST_CASE(OnlyTheLatestChangeIsAdopted) {
  Rig rig;
  rig.revision = 1;
  rig.Publish(1, "second");
  rig.Publish(2, "third");
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.adopted == std::vector<std::string>{"third"},
             boost::test_tools::per_element());
}

/** Guards against calls to a store that is down for each unknown path. */
BOOST_AUTO_TEST_CASE(AFailedReadIsNotRepeatedAtOnce) {
  Rig rig;
  rig.memory.down = true;
  for (int i = 0; i < 20; ++i) BOOST_TEST(!rig.Confirm());
  BOOST_TEST(rig.calls == 1);
  rig.memory.down = false;
  rig.clock.Advance(milliseconds(1000));
  BOOST_TEST(rig.Confirm());
}

/** Guards against denials by a configuration that could not be replaced, and
 * against a read of it for each of them. */
BOOST_AUTO_TEST_CASE(AnUnusableDocumentConfirmsNothing) {
  Rig rig;
  rig.usable = false;
  for (int i = 0; i < 20; ++i) BOOST_TEST(!rig.Confirm());
  BOOST_TEST(rig.calls == 1);
}

/** Guards against a store that has no configuration, as after a loss of its
 * data, as evidence that the one in force is the newest. */
BOOST_AUTO_TEST_CASE(AMissingDocumentConfirmsNothing) {
  Rig rig;
  const std::int64_t revision = rig.memory.Peek(kKey)->revision;
  BOOST_REQUIRE(RunTask(rig.io, rig.memory.DeleteIf(kKey, revision)));
  BOOST_TEST(!rig.Confirm());
  rig.clock.Advance(milliseconds(1100));
  rig.revision = revision;
  BOOST_TEST(!rig.Confirm());
  BOOST_TEST(rig.adopted.empty());
}

/** Guards against a replica of the store that lags as evidence. */
BOOST_AUTO_TEST_CASE(AnOlderDocumentConfirmsNothing) {
  Rig rig;
  rig.revision = rig.memory.Peek(kKey)->revision + 1;
  BOOST_TEST(!rig.Confirm());
  BOOST_TEST(rig.adopted.empty());
}

/** Guards against a read that began long before the request as evidence. */
BOOST_AUTO_TEST_CASE(ALaterRequestNeedsALaterRead) {
  Rig rig;
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.calls == 1);
  rig.clock.Advance(milliseconds(1100));
  BOOST_TEST(rig.Confirm());
  BOOST_TEST(rig.calls == 2);
}

}  // namespace sapphire::serving
