/**
 * @file wake_up_test.cc Tests the choice of the engine that loads a model.
 *
 * The scenario: 65 models of about 70 GB on 12 engines of 230 GB, three per
 * engine. Rare models are requested every half minute each and have to be
 * answered within 4 s. A load takes 1.1 s from memory, 2.0 s from disk and 8.6
 * s from the weight store (the operators' figures).
 */
#define BOOST_TEST_MODULE wake_up
#include <boost/test/unit_test.hpp>
#include <vector>

#include "policy/wake_up_func.h"

namespace sapphire::policy {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kGigabyte = 1'000'000'000;
constexpr std::int64_t kModel = 70 * kGigabyte;
constexpr LoadTimes kLoads{milliseconds(1100), milliseconds(2000),
                           milliseconds(8600), milliseconds(30)};

ResidentModel Resident(const std::string& name, double demand) {
  ResidentModel resident;
  resident.model = core::ModelId(name);
  resident.bytes = kModel;
  resident.demand = demand;
  return resident;
}

/** @return An engine that holds three models with these requests a second. */
WakeUpCandidate FullEngine(Tier tier, double a, double b, double c) {
  WakeUpCandidate candidate;
  candidate.tier = tier;
  candidate.memory_bytes = 230 * kGigabyte;
  candidate.residents = {Resident("a", a), Resident("b", b), Resident("c", c)};
  return candidate;
}

std::optional<WakeUpPlan> Choose(const std::vector<WakeUpCandidate>& engines) {
  return ChooseWakeUp(kModel, kLoads, engines);
}

}  // namespace

BOOST_AUTO_TEST_CASE(DiskCopyIsPreferredToTheWeightStore) {
  const auto plan = Choose({FullEngine(Tier::kRemote, 0, 0, 0),
                            FullEngine(Tier::kDisk, 0.03, 0.03, 0.03)});
  BOOST_TEST(plan->engine == 1);
  BOOST_TEST((plan->ready_in == milliseconds(2000)));
  BOOST_TEST(plan->evict.size() == 1);
}

BOOST_AUTO_TEST_CASE(DiskLoadElsewhereIsPreferredToABusyController) {
  WakeUpCandidate busy = FullEngine(Tier::kMemory, 0, 0, 0);
  busy.order_left = milliseconds(1800);
  const auto plan = Choose({busy, FullEngine(Tier::kDisk, 0, 0, 0)});
  BOOST_TEST(plan->engine == 1);
}

/**
 * The only local copy is on the disk of an engine whose controller is busy for
 * seconds. If the model is loaded from the weight store elsewhere, that blocks
 * the next controller for longer still, and wake-ups of 2 s become wake-ups of
 * 9 to 18 s, one after the other.
 */
BOOST_AUTO_TEST_CASE(BusyControllerWithACopyIsPreferredToTheWeightStore) {
  WakeUpCandidate busy = FullEngine(Tier::kDisk, 0, 0, 0);
  busy.order_left = milliseconds(8000);
  BOOST_TEST(Choose({busy, FullEngine(Tier::kRemote, 0, 0, 0)})->engine == 0);
  busy.order_left = milliseconds(16'000);
  BOOST_TEST(Choose({busy, FullEngine(Tier::kRemote, 0, 0, 0)})->engine == 1);
}

/**
 * Guards against evicting a busy model for a rare one because its engine has
 * the rare model's checkpoint in memory: callers of the busy model would wait
 * for seconds.
 */
BOOST_AUTO_TEST_CASE(BusyModelIsNotEvictedForAFasterWakeUp) {
  const auto plan = Choose({FullEngine(Tier::kMemory, 5, 5, 5),
                            FullEngine(Tier::kDisk, 5, 0.03, 5)});
  BOOST_TEST(plan->engine == 1);
  BOOST_TEST(plan->evict.front().value() == "b");
}

BOOST_AUTO_TEST_CASE(SpareReplicaIsEvictedBeforeALastOne) {
  WakeUpCandidate engine = FullEngine(Tier::kDisk, 1, 1, 1);
  engine.residents[2].other_replicas = 3;
  BOOST_TEST(Choose({engine})->evict.front().value() == "c");
}

BOOST_AUTO_TEST_CASE(ServingModelsAreNotEvicted) {
  WakeUpCandidate engine = FullEngine(Tier::kDisk, 0, 0, 0);
  for (ResidentModel& resident : engine.residents) resident.running = 1;
  BOOST_TEST(!Choose({engine}).has_value());
}

/**
 * Guards against refusals of callers of a rare model although engines are idle.
 * If an entry chooses to evict a model that was just requested, the endpoint
 * process refuses, and the next choice is a load from the weight store.
 */
BOOST_AUTO_TEST_CASE(RecentlyRequestedModelIsNotEvicted) {
  WakeUpCandidate kept = FullEngine(Tier::kMemory, 0, 0, 0);
  for (ResidentModel& resident : kept.residents) resident.recently_used = true;
  const auto plan = Choose({kept, FullEngine(Tier::kDisk, 0, 0, 0)});
  BOOST_TEST(plan->engine == 1);
}

BOOST_AUTO_TEST_CASE(NothingIsEvictedIfMemoryIsFree) {
  WakeUpCandidate engine = FullEngine(Tier::kDisk, 0, 0, 0);
  engine.residents.pop_back();
  BOOST_TEST(Choose({engine})->evict.empty());
}

/**
 * Rare models are loaded from the weight store while a busy model with adapters
 * moves to other engines. If the load is executed on an engine that holds the
 * busy model, callers of its adapters are refused until the load ends. The
 * busiest model of the operators' data gets 10 requests a second.
 */
BOOST_AUTO_TEST_CASE(LongLoadAvoidsEnginesWithBusyAdapters) {
  WakeUpCandidate busy = FullEngine(Tier::kRemote, 10, 0, 0);
  busy.residents[0].has_adapters = true;
  busy.same_zone = true;
  const auto plan = Choose({busy, FullEngine(Tier::kRemote, 10, 0.03, 0.03)});
  BOOST_TEST(plan->engine == 1);
}

}  // namespace sapphire::policy
