/** @file config_store_test.cc Tests the confirmation of plans under failures.
 */
#define BOOST_TEST_MODULE config_store
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "contract/intent_func.h"
#include "contract/testing_intent.h"
#include "entry/config_store_base.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"

namespace sapphire::entry {
namespace {

namespace data = boost::unit_test::data;
using contract::testing::Mutate;
using contract::testing::RandomIntent;
using core::ErrorCode;
using std::chrono::milliseconds;
using testing::WriteFault;

/** The configuration state of one entry. */
struct Entry {
  Entry(external::KeyValueStore& kv, const core::Clock& clock,
        const core::Logger& log)
      : store({milliseconds(200), milliseconds(1)}, kv, holder, parts, clock,
              log) {}

  contract::ConfigHolder holder;
  contract::PartCache parts{holder};
  ConfigStore store;
};

struct Fixture {
  core::PlanId Plan(Entry& entry, const contract::Intent& wanted) {
    return testing::RunTask(io, entry.store.SavePlan(wanted, {})).id;
  }

  std::int64_t Confirm(Entry& entry, const core::PlanId& id) {
    return testing::RunTask(io, entry.store.Confirm(id));
  }

  void CheckRefused(Entry& entry, const core::PlanId& id, ErrorCode code) {
    const auto is_code = [&](const core::Error& e) { return e.code() == code; };
    BOOST_CHECK_EXCEPTION(Confirm(entry, id), core::Error, is_code);
  }

  /** @return The configuration that a newly started entry reads. */
  std::shared_ptr<const contract::Config> ReadAsNewEntry() {
    Entry entry(kv, clock, log);
    ConfigStore& store = entry.store;
    testing::RunTask(io, store.SavePlan(RandomIntent(random, 1), {}));
    return entry.holder.Current();
  }

  boost::asio::io_context io;
  core::ManualClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  testing::MemoryKeyValue kv{clock};
  contract::testing::Random random{7};
  Entry a{kv, clock, log};
  Entry b{kv, clock, log};
};

BOOST_FIXTURE_TEST_CASE(NothingChangesBeforeConfirmation, Fixture) {
  const auto wanted = RandomIntent(random, 30);
  const core::PlanId id = Plan(a, wanted);
  BOOST_TEST(!ReadAsNewEntry());
  BOOST_TEST(Confirm(b, id) == 1);
  BOOST_CHECK(ReadAsNewEntry()->intent == wanted);
  BOOST_CHECK(b.holder.Current()->intent == wanted);
}

BOOST_FIXTURE_TEST_CASE(ConfirmingAgainChangesNothing, Fixture) {
  const core::PlanId first = Plan(a, RandomIntent(random, 30));
  BOOST_TEST(Confirm(a, first) == 1);
  BOOST_TEST(Confirm(b, first) == 1);
  // The same after so many later plans that the head's history has dropped it.
  for (int i = 0; i < 40; ++i) Confirm(a, Plan(a, RandomIntent(random, 3)));
  BOOST_TEST(Confirm(b, first) == 1);
  BOOST_TEST(ReadAsNewEntry()->version == 41);
}

// Plans expire with their leases. A confirmed one still returns its version; an
// unconfirmed one is unknown and changes nothing.
BOOST_FIXTURE_TEST_CASE(ExpiredPlansAreResolvedByTheHead, Fixture) {
  const core::PlanId first = Plan(a, RandomIntent(random, 30));
  Confirm(a, first);
  const core::PlanId second = Plan(a, RandomIntent(random, 30));
  kv.LapseLeases();
  BOOST_TEST(Confirm(b, first) == 1);
  CheckRefused(b, second, ErrorCode::kUnknownPlan);
}

// Two plans on the same base are confirmed concurrently through different
// entries. Exactly one must succeed, and the configuration must be entirely its
// own; the other must get a conflict.
BOOST_DATA_TEST_CASE_F(Fixture, ExactlyOneOfTwoPlansOnOneBaseIsConfirmed,
                       data::xrange(12), seed) {
  random.seed(seed);
  Confirm(a, Plan(a, RandomIntent(random, 30)));
  const auto wanted_a = RandomIntent(random, 30);
  const auto wanted_b = RandomIntent(random, 30);
  const core::PlanId id_a = Plan(a, wanted_a);
  const core::PlanId id_b = Plan(b, wanted_b);
  testing::Outcome<std::int64_t> result_a;
  testing::Outcome<std::int64_t> result_b;
  testing::StartTask(io, a.store.Confirm(id_a), result_a);
  for (int i = 0; i < seed * 4; ++i) io.poll_one();
  testing::StartTask(io, b.store.Confirm(id_b), result_b);
  io.restart();
  io.run();
  BOOST_TEST((result_a.value.has_value() != result_b.value.has_value()));
  const auto now = ReadAsNewEntry();
  BOOST_TEST(now->version == 2);
  BOOST_CHECK(now->intent == (result_a.value ? wanted_a : wanted_b));
  CheckRefused(a, result_a.value ? id_b : id_a, ErrorCode::kPlanConflict);
}

// The write of a confirmation takes effect but its answer is lost. The operator
// must get a success, and the change must count only once.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsResolved, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults = {WriteFault::kAnswerLost};
  BOOST_TEST(Confirm(a, id) == 1);
  BOOST_TEST(ReadAsNewEntry()->version == 1);
}

// A write of the head times out and takes effect only after a second attempt
// and another plan. It must not restore the older configuration.
BOOST_FIXTURE_TEST_CASE(LateWriteDoesNotRestoreAnOlderVersion, Fixture) {
  const core::PlanId first = Plan(a, RandomIntent(random, 30));
  kv.head_faults = {WriteFault::kTakesEffectLate};
  BOOST_TEST(Confirm(a, first) == 1);
  BOOST_TEST(Confirm(b, Plan(b, RandomIntent(random, 30))) == 2);
  kv.ApplyLateWrites();
  BOOST_TEST(ReadAsNewEntry()->version == 2);
}

// No attempt learns its outcome before the timeout, so the operator must get an
// unknown outcome. After the write has taken effect, confirming the plan again
// must return its version and change nothing.
BOOST_FIXTURE_TEST_CASE(UnknownOutcomeIsReportedAndResolvedLater, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults.assign(1'000, WriteFault::kTakesEffectLate);
  CheckRefused(a, id, ErrorCode::kPlatformUnknownOutcome);
  kv.head_faults.clear();
  kv.ApplyLateWrites();
  BOOST_TEST(Confirm(b, id) == 1);
  BOOST_TEST(ReadAsNewEntry()->version == 1);
}

// The write takes effect, and the service goes down before the entry learns so.
// Later other plans are confirmed on top. Confirming the first plan again must
// return its version: a conflict would be wrong, although the head holds
// another plan by then.
BOOST_FIXTURE_TEST_CASE(EarlierSuccessIsReportedAfterLaterPlans, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults = {WriteFault::kAnswerLost};
  kv.down_after_fault = true;
  CheckRefused(a, id, ErrorCode::kPlatformUnknownOutcome);
  kv.down = false;
  for (int i = 0; i < 10; ++i) Confirm(b, Plan(b, RandomIntent(random, 3)));
  BOOST_TEST(Confirm(a, id) == 1);
  BOOST_TEST(ReadAsNewEntry()->version == 11);
}

// As above, but another plan is confirmed first: the delayed writes can't take
// effect any more, and the first plan must get a conflict.
BOOST_FIXTURE_TEST_CASE(UnknownOutcomeBecomesConflict, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults.assign(1'000, WriteFault::kTakesEffectLate);
  CheckRefused(a, id, ErrorCode::kPlatformUnknownOutcome);
  kv.head_faults.clear();
  BOOST_TEST(Confirm(b, Plan(b, RandomIntent(random, 30))) == 1);
  kv.ApplyLateWrites();
  CheckRefused(a, id, ErrorCode::kPlanConflict);
  BOOST_TEST(ReadAsNewEntry()->version == 1);
}

// With the service down, planning and confirming must fail with an error that
// says that nothing was changed.
BOOST_FIXTURE_TEST_CASE(ServiceDownChangesNothing, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.down = true;
  CheckRefused(a, id, ErrorCode::kPlatformUnavailable);
  BOOST_CHECK_THROW(Plan(a, RandomIntent(random, 3)), core::Error);
  kv.down = false;
  BOOST_TEST(Confirm(a, id) == 1);
}

// A replica that lags returns an older head, briefly or for long. A plan on the
// newest head must not get a conflict, as it may still come into force; a plan
// on the older head must.
BOOST_FIXTURE_TEST_CASE(OlderHeadIsNoConflictForANewerPlan, Fixture) {
  Confirm(a, Plan(a, RandomIntent(random, 30)));
  const auto older = kv.Peek("config/head");
  const core::PlanId on_older = Plan(a, RandomIntent(random, 30));
  Confirm(b, Plan(b, RandomIntent(random, 30)));
  kv.head_overrides = {older};
  CheckRefused(a, on_older, ErrorCode::kPlanConflict);
  kv.head_overrides = {older};
  const core::PlanId on_newer = Plan(b, RandomIntent(random, 30));
  kv.head_overrides.assign(1'000, older);
  CheckRefused(b, on_newer, ErrorCode::kPlatformUnavailable);
  kv.head_overrides.clear();
  BOOST_TEST(ReadAsNewEntry()->version == 2);
  kv.head_overrides = {older, older};
  BOOST_TEST(Confirm(b, on_newer) == 3);
}

// A change is confirmed and then its reversal. The first confirmation still
// deletes the parts it replaced while the second needs them again. Whenever the
// deletes take effect, all parts of the newest head must exist, or entries that
// start later find no configuration.
BOOST_DATA_TEST_CASE_F(Fixture, ReversalKeepsItsParts, data::xrange(40), seed) {
  const auto first = RandomIntent(random, 30);
  auto second = first;
  for (int i = 0; i < 5; ++i) Mutate(random, second);
  Confirm(a, Plan(a, first));
  const core::PlanId change = Plan(a, second);
  kv.hold_deletes = true;
  testing::Outcome<std::int64_t> changed;
  testing::StartTask(io, a.store.Confirm(change), changed);
  testing::RunUntil(io, [&] { return a.holder.version() == 2; });
  const core::PlanId reversal = Plan(b, first);
  testing::Outcome<std::int64_t> reversed;
  testing::StartTask(io, b.store.Confirm(reversal), reversed);
  io.restart();
  for (int i = 0; i < seed * 2; ++i) io.run_one();
  kv.hold_deletes = false;
  io.run();
  BOOST_TEST(changed.value.value_or(0) == 2);
  BOOST_TEST(reversed.value.value_or(0) == 3);
  const auto now = ReadAsNewEntry();
  BOOST_TEST(now->version == 3);
  BOOST_CHECK(now->intent == first);
}

BOOST_FIXTURE_TEST_CASE(ReplacedPartsAreDeleted, Fixture) {
  auto intent = RandomIntent(random, 100);
  Confirm(a, Plan(a, intent));
  for (int i = 0; i < 20; ++i) {
    Mutate(random, intent);
    Confirm(a, Plan(a, intent));
  }
  const auto head = contract::HeadFromJson(kv.Peek("config/head")->value);
  BOOST_TEST(kv.Keys("config/parts/").size() == head.part_hashes.size());
}

BOOST_FIXTURE_TEST_CASE(PlansAreReadBack, Fixture) {
  const auto read = [&](const core::PlanId& id) {
    return testing::RunTask(io, a.store.ReadPlan(id, {}));
  };
  const auto wanted = RandomIntent(random, 30);
  const core::PlanId id = Plan(a, wanted);
  const core::PlanId other = Plan(a, wanted);
  BOOST_CHECK(read(id).wanted == wanted);
  Confirm(b, id);
  BOOST_TEST(read(id).confirmed_version == 1);
  BOOST_TEST(read(other).stale);
  BOOST_CHECK_THROW(read(core::PlanId("none")), core::Error);
}

}  // namespace
}  // namespace sapphire::entry
