/** @file config_store_test.cc Confirming plans under failure. */
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

/** What one entry holds. */
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

  /** @return What an entry that just started finds. */
  std::shared_ptr<const contract::Config> Fresh() {
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
  BOOST_TEST(!Fresh());
  BOOST_TEST(Confirm(b, id) == 1);
  BOOST_CHECK(Fresh()->intent == wanted);
  BOOST_CHECK(b.holder.Current()->intent == wanted);
}

BOOST_FIXTURE_TEST_CASE(ConfirmingAgainChangesNothing, Fixture) {
  const core::PlanId first = Plan(a, RandomIntent(random, 30));
  BOOST_TEST(Confirm(a, first) == 1);
  BOOST_TEST(Confirm(b, first) == 1);
  // Still so when many plans have come since and the head has forgotten it.
  for (int i = 0; i < 40; ++i) Confirm(a, Plan(a, RandomIntent(random, 3)));
  BOOST_TEST(Confirm(b, first) == 1);
  BOOST_TEST(Fresh()->version == 41);
}

// Leases lapse, and with them the plans. One that is in force answers with its
// version all the same; one that isn't is unknown and changes nothing.
BOOST_FIXTURE_TEST_CASE(LapsedPlansAreSettledByTheHead, Fixture) {
  const core::PlanId first = Plan(a, RandomIntent(random, 30));
  Confirm(a, first);
  const core::PlanId second = Plan(a, RandomIntent(random, 30));
  kv.LapseLeases();
  BOOST_TEST(Confirm(b, first) == 1);
  CheckRefused(b, second, ErrorCode::kUnknownPlan);
}

// Two operators look at the same configuration and confirm different plans at
// the same moment through different entries. One of them must be told that
// the other came first; the configuration must be wholly the other's.
BOOST_DATA_TEST_CASE_F(Fixture, OfTwoPlansOnOneBaseOneIsConfirmed,
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
  const auto now = Fresh();
  BOOST_TEST(now->version == 2);
  BOOST_CHECK(now->intent == (result_a.value ? wanted_a : wanted_b));
  CheckRefused(a, result_a.value ? id_b : id_a, ErrorCode::kPlanConflict);
}

// The operator confirms, the write takes effect, its answer is lost on the
// way. He must be told of success, and once only may it count as a change.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsSettled, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults = {WriteFault::kAnswerLost};
  BOOST_TEST(Confirm(a, id) == 1);
  BOOST_TEST(Fresh()->version == 1);
}

// The write of the head times out and is still on its way. A second attempt
// succeeds, another plan comes, and then the first write lands. It must not
// bring the older configuration back.
BOOST_FIXTURE_TEST_CASE(LateWriteDoesNoHarm, Fixture) {
  const core::PlanId first = Plan(a, RandomIntent(random, 30));
  kv.head_faults = {WriteFault::kLandsLate};
  BOOST_TEST(Confirm(a, first) == 1);
  BOOST_TEST(Confirm(b, Plan(b, RandomIntent(random, 30))) == 2);
  kv.LandLate();
  BOOST_TEST(Fresh()->version == 2);
}

// No attempt learns its outcome before the operator's patience ends. He must be
// told that it is unknown. Then the write lands, and confirming the same plan
// again tells him so, and changes nothing.
BOOST_FIXTURE_TEST_CASE(UnknownOutcomeIsSaidAndSettledLater, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults.assign(1'000, WriteFault::kLandsLate);
  CheckRefused(a, id, ErrorCode::kPlatformUnknownOutcome);
  kv.head_faults.clear();
  kv.LandLate();
  BOOST_TEST(Confirm(b, id) == 1);
  BOOST_TEST(Fresh()->version == 1);
}

// The write takes effect, and the service goes down before anybody learns it.
// When it is back, other plans are confirmed on top. The first operator asks
// again: his plan was in force, so "conflict, nothing was changed" would be
// false, though the head has another plan by then.
BOOST_FIXTURE_TEST_CASE(EarlierSuccessIsRemembered, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults = {WriteFault::kAnswerLost};
  kv.down_after_fault = true;
  CheckRefused(a, id, ErrorCode::kPlatformUnknownOutcome);
  kv.down = false;
  for (int i = 0; i < 10; ++i) Confirm(b, Plan(b, RandomIntent(random, 3)));
  BOOST_TEST(Confirm(a, id) == 1);
  BOOST_TEST(Fresh()->version == 11);
}

// As above, but another operator's plan comes first: the writes on their way
// can't land any more, and the first operator is told of a conflict.
BOOST_FIXTURE_TEST_CASE(UnknownOutcomeBecomesConflict, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.head_faults.assign(1'000, WriteFault::kLandsLate);
  CheckRefused(a, id, ErrorCode::kPlatformUnknownOutcome);
  kv.head_faults.clear();
  BOOST_TEST(Confirm(b, Plan(b, RandomIntent(random, 30))) == 1);
  kv.LandLate();
  CheckRefused(a, id, ErrorCode::kPlanConflict);
  BOOST_TEST(Fresh()->version == 1);
}

// With the service down nothing can be planned or confirmed, and the operator
// is told that nothing was changed.
BOOST_FIXTURE_TEST_CASE(ServiceDownChangesNothing, Fixture) {
  const core::PlanId id = Plan(a, RandomIntent(random, 30));
  kv.down = true;
  CheckRefused(a, id, ErrorCode::kPlatformUnavailable);
  BOOST_CHECK_THROW(Plan(a, RandomIntent(random, 3)), core::Error);
  kv.down = false;
  BOOST_TEST(Confirm(a, id) == 1);
}

// A replica that lags shows the operator's entry an older head, for a moment or
// for long. A plan made on the newest must not be called a conflict, as it may
// still come into force; one made on the older head is a conflict all the same.
BOOST_FIXTURE_TEST_CASE(OlderHeadLeadsToNoChange, Fixture) {
  Confirm(a, Plan(a, RandomIntent(random, 30)));
  const auto older = kv.Peek("config/head");
  const core::PlanId on_older = Plan(a, RandomIntent(random, 30));
  Confirm(b, Plan(b, RandomIntent(random, 30)));
  kv.head_shown = {older};
  CheckRefused(a, on_older, ErrorCode::kPlanConflict);
  kv.head_shown = {older};
  const core::PlanId on_newer = Plan(b, RandomIntent(random, 30));
  kv.head_shown.assign(1'000, older);
  CheckRefused(b, on_newer, ErrorCode::kPlatformUnavailable);
  kv.head_shown.clear();
  BOOST_TEST(Fresh()->version == 2);
  kv.head_shown = {older, older};
  BOOST_TEST(Confirm(b, on_newer) == 3);
}

// An operator confirms a change and then its reversal. The first confirmation
// is still deleting the parts it replaced when the second wants them back.
// Whenever the deletes land, the newest head's parts must all be there; without
// them no entry that starts later finds a configuration.
BOOST_DATA_TEST_CASE_F(Fixture, ReversalFindsItsParts, data::xrange(40), seed) {
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
  const auto now = Fresh();
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
