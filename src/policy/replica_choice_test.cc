/** @file replica_choice_test.cc Tests the choice between replicas and the need
 * for further ones. */
#define BOOST_TEST_MODULE replica_choice
#include <boost/test/unit_test.hpp>
#include <vector>

#include "policy/replica_choice_func.h"

namespace sapphire::policy {

namespace {

using std::chrono::milliseconds;

ReplicaCandidate IdleCandidate(bool same_zone) {
  ReplicaCandidate candidate;
  candidate.same_zone = same_zone;
  candidate.max_running = 64;
  candidate.kv_total = 130'000;
  return candidate;
}

constexpr RequestSize kMeanDraft{1460, 80, milliseconds(0)};

std::optional<std::size_t> Choose(
    const std::vector<ReplicaCandidate>& candidates) {
  return ChooseReplica(candidates, kMeanDraft, EnginePace());
}

}  // namespace

BOOST_AUTO_TEST_CASE(IdleEngineOfTheSameZoneIsChosen) {
  BOOST_TEST(!Choose({}).has_value());
  BOOST_TEST(*Choose({IdleCandidate(false), IdleCandidate(true)}) == 1);
}

BOOST_AUTO_TEST_CASE(IdleEngineOfAnotherZoneIsChosenOverAFullOne) {
  ReplicaCandidate full = IdleCandidate(true);
  full.running = 64;
  BOOST_TEST(*Choose({full, IdleCandidate(false)}) == 1);
}

/** A prompt of 1460 tokens takes 73 ms to prefill, which is more than the
 * penalty for another zone. */
BOOST_AUTO_TEST_CASE(CachedPromptOutweighsAnotherZone) {
  ReplicaCandidate reader = IdleCandidate(false);
  reader.cached_tokens = 1200;
  BOOST_TEST(*Choose({IdleCandidate(true), reader}) == 1);
}

/**
 * An engine accepts requests and never answers, while its health check passes
 * and it looks idle. Without the penalty for silence, it would be chosen again
 * and again, and the callers of its zone would wait forever.
 */
BOOST_AUTO_TEST_CASE(SilentEngineIsAvoided) {
  ReplicaCandidate silent = IdleCandidate(true);
  silent.oldest_silence = milliseconds(2000);
  BOOST_TEST(*Choose({silent, IdleCandidate(false)}) == 1);
}

BOOST_AUTO_TEST_CASE(FailingEngineIsAvoided) {
  ReplicaCandidate failing = IdleCandidate(true);
  failing.failure_rate = 0.4;
  BOOST_TEST(*Choose({failing, IdleCandidate(false)}) == 1);
}

/** A busy model needs a second replica to survive the loss of an engine; a rare
 * model must not take up two engines. */
BOOST_AUTO_TEST_CASE(OnlyABusyModelNeedsASecondReplica) {
  const std::vector<ReplicaCandidate> one = {IdleCandidate(true)};
  BOOST_TEST((AssessReplicaNeed(one, 0.03) == ReplicaNeed::kNone));
  BOOST_TEST((AssessReplicaNeed(one, 5.0) == ReplicaNeed::kUseful));
}

/**
 * A model with 9 requests a second has two engines. Each of them runs 30 to 45
 * drafts at once, and half of all streams pause for more than 300 ms.
 */
BOOST_AUTO_TEST_CASE(HighLoadOnAllEnginesNeedsAnotherReplica) {
  std::vector<ReplicaCandidate> two = {IdleCandidate(true),
                                       IdleCandidate(true)};
  BOOST_TEST((AssessReplicaNeed(two, 9.0) == ReplicaNeed::kNone));
  two[0].running = 43;
  BOOST_TEST((AssessReplicaNeed(two, 9.0) == ReplicaNeed::kNone));
  two[1].running = 12;
  BOOST_TEST((AssessReplicaNeed(two, 9.0) == ReplicaNeed::kUseful));
  two[1].running = 32;
  BOOST_TEST((AssessReplicaNeed(two, 9.0) == ReplicaNeed::kUrgent));
  // The load is caused by another model: a rare model gains nothing from
  // another replica.
  BOOST_TEST((AssessReplicaNeed(two, 0.1) == ReplicaNeed::kNone));
}

/**
 * Requests accumulate while a model loads. One engine can serve seven of them
 * (kBusyEngineRequests); more are shared by up to four engines.
 */
BOOST_AUTO_TEST_CASE(ManyWaitingRequestsWakeSeveralEngines) {
  BOOST_TEST(EnginesToWake(0) == 1);
  BOOST_TEST(EnginesToWake(7) == 1);
  BOOST_TEST(EnginesToWake(20) == 2);
  BOOST_TEST(EnginesToWake(200) == 4);
}

}  // namespace sapphire::policy
