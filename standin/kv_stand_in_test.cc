/** @file kv_stand_in_test.cc Tests the key-value stand-in and its faults
 * through the key-value client. */
#define BOOST_TEST_MODULE kv_stand_in
#include <boost/test/unit_test.hpp>

#include "core/task_func.h"
#include "external/external_func.h"
#include "external/test_runner_base.h"
#include "standin/kv_stand_in_base.h"
#include "standin/stand_in_server_base.h"

namespace sapphire::standin {
namespace {

using core::ErrorCode;
using core::Millis;
using external::KvEntry;

struct Fixture {
  Fixture()
      : host("kv", "127.0.0.1:0",
             [](const StandInContext& context) {
               return std::make_unique<KvStandIn>(context, KvOptions{});
             }),
        store(external::MakeHttpKeyValueStore(host.address(), Millis(5000))) {}

  void SetFaults(const std::string& json) {
    // Uses HTTP, as the benchmarks do.
    http::Client client(host.address());
    http::Request request{"POST", "/standin/faults", {}, json};
    BOOST_TEST(runner.Run(client.Fetch(request, Millis(5000))).head.status ==
               200);
  }

  external::CasResult Swap(std::int64_t expected, const std::string& value) {
    return runner.Run(store->CompareAndSwap("k", expected, value, ""));
  }

  std::optional<ErrorCode> SwapFailure(std::int64_t expected,
                                       const std::string& value) {
    return runner.FailureOf(store->CompareAndSwap("k", expected, value, ""));
  }

  std::string Value() {
    const auto entry = runner.Run(store->Get("k"));
    return entry ? entry->value : "absent";
  }

  StandInServer host;
  std::unique_ptr<external::KeyValueStore> store;
  external::TestRunner runner;
};

BOOST_FIXTURE_TEST_CASE(ServesTheWholeInterface, Fixture) {
  BOOST_TEST(Swap(0, "quote \" and \n line").swapped);
  const auto entries = runner.Run(store->List("k"));
  BOOST_TEST(entries.at(0).value == "quote \" and \n line");
  BOOST_TEST(Swap(0, "x").current->revision == 1);
  const auto lease = runner.Run(store->GrantLease(Millis(60'000)));
  BOOST_TEST(runner.Run(store->KeepAlive(lease.id)));
  BOOST_TEST(runner.Run(store->DeleteIf("k", 1)));
  const auto batch = runner.Run(store->Watch("k", 0, Millis(0)));
  BOOST_TEST(batch.events.size() == 2U);
  BOOST_TEST(!batch.events.back().value.has_value());
}

BOOST_FIXTURE_TEST_CASE(WatchReturnsOnChange, Fixture) {
  auto batch = runner.Begin(store->Watch("k", 0, Millis(60'000)));
  Swap(0, "v");
  BOOST_TEST(batch.get().events.at(0).value.value() == "v");
  BOOST_TEST(runner.Run(store->Watch("k", 1, Millis(10))).events.empty());
}

BOOST_FIXTURE_TEST_CASE(NoWriteTakesEffectWhileDown, Fixture) {
  SetFaults(R"({"down":true})");
  BOOST_TEST(SwapFailure(0, "v").has_value());
  SetFaults(R"({"down":false})");
  BOOST_TEST(Value() == "absent");
}

// A swap takes effect, but its answer is lost: the writer sees an unknown
// outcome, and the next reader sees the new value.
BOOST_FIXTURE_TEST_CASE(LostAnswerStillTakesEffect, Fixture) {
  SetFaults(R"({"lose_answers":1,"write_prefix":"other"})");
  BOOST_TEST(Swap(0, "first").swapped);
  SetFaults(R"({"write_prefix":"k"})");
  BOOST_TEST((SwapFailure(1, "second") == ErrorCode::kPlatformUnknownOutcome));
  BOOST_TEST(Value() == "second");
}

// The connection closes before a swap is applied. Readers see the old value
// until the late write takes effect; another write in between prevents it.
BOOST_FIXTURE_TEST_CASE(LateWriteAppliesUnlessKeyChanged, Fixture) {
  SetFaults(R"({"late_writes":2,"late_writes_ms":150})");
  BOOST_TEST((SwapFailure(0, "late") == ErrorCode::kPlatformUnknownOutcome));
  BOOST_TEST(Value() == "absent");
  const auto batch = runner.Run(store->Watch("k", 0, Millis(60'000)));
  BOOST_TEST(batch.events.at(0).value.value() == "late");

  BOOST_TEST((SwapFailure(1, "later") == ErrorCode::kPlatformUnknownOutcome));
  BOOST_TEST(Swap(1, "between").swapped);
  runner.Run(core::SleepFor(Millis(300)));
  BOOST_TEST(Value() == "between");
}

BOOST_FIXTURE_TEST_CASE(FaultEndsAllLeases, Fixture) {
  const auto lease = runner.Run(store->GrantLease(Millis(60'000)));
  BOOST_TEST(runner.Run(store->CompareAndSwap("k", 0, "v", lease.id)).swapped);
  auto batch = runner.Begin(store->Watch("k", 1, Millis(60'000)));
  SetFaults(R"({"lapse_leases":true})");
  BOOST_TEST(!batch.get().events.at(0).value.has_value());
  BOOST_TEST(!runner.Run(store->KeepAlive(lease.id)));
}

BOOST_FIXTURE_TEST_CASE(WatchSeesExpiredLease, Fixture) {
  const auto lease = runner.Run(store->GrantLease(Millis(100)));
  BOOST_TEST(runner.Run(store->CompareAndSwap("k", 0, "v", lease.id)).swapped);
  const auto batch = runner.Run(store->Watch("k", 1, Millis(60'000)));
  BOOST_TEST(!batch.events.at(0).value.has_value());
}

BOOST_FIXTURE_TEST_CASE(FaultsCauseGapAndOldValue, Fixture) {
  Swap(0, "old");
  Swap(1, "new");
  SetFaults(R"({"watch_gap":1,"show_old_key":"k"})");
  BOOST_TEST(runner.Run(store->Watch("k", 0, Millis(0))).gap);
  BOOST_TEST(!runner.Run(store->Watch("k", 0, Millis(0))).gap);
  BOOST_TEST(Value() == "old");
  SetFaults(R"({"show_old_key":""})");
  BOOST_TEST(Value() == "new");
}

BOOST_FIXTURE_TEST_CASE(UnknownSwitchChangesNothing, Fixture) {
  BOOST_CHECK_THROW(host.stand_in().faults().SetJson(R"({"down":1,"x":1})"),
                    core::Error);
  BOOST_TEST(!host.stand_in().faults().Flag("down"));
}

}  // namespace
}  // namespace sapphire::standin
