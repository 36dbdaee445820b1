/** @file crash_test.cc Tests that requests that crash engines are stopped and
 * harmless ones are not. */
#define BOOST_TEST_MODULE crash
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "policy/crash_func.h"

namespace sapphire::policy {
namespace {

constexpr core::SteadyTime kNow{};

/** Fingerprints below this one crash their engine. */
constexpr std::int64_t kFirstHarmless = 3;

core::AttemptId Attempt(int n) { return core::AttemptId(std::to_string(n)); }
core::EndpointId Engine(std::size_t n) {
  return core::EndpointId("engine-" + std::to_string(n));
}

// A request crashes the engine that runs it, and its client library resends it
// at once, repeatedly. Without a crash count, it would crash every engine of
// the deployment in turn; the third try has to be refused.
BOOST_AUTO_TEST_CASE(ResentRequestIsRefusedBeforeAThirdEngine) {
  CrashTracker tracker;
  RecordDispatch(tracker, 7, Attempt(1), Engine(1));
  BOOST_TEST(!RecordCrash(tracker, 7, Attempt(1), kNow));
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kRunAlone));
  RecordDispatch(tracker, 7, Attempt(2), Engine(2));
  BOOST_TEST(RecordCrash(tracker, 7, Attempt(2), kNow));
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kQuarantined));
}

// A caller sends the same harmful request five times in parallel. All copies
// are checked before the first crash is known, so a crash count alone would let
// them reach five engines.
BOOST_AUTO_TEST_CASE(ParallelCopiesRunOnOneEngineAtATime) {
  CrashTracker tracker;
  RecordDispatch(tracker, 7, Attempt(1), Engine(1));
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kWaitForCopies));
  BOOST_TEST((EnginesWithCopies(tracker, 7) == std::set{Engine(1)}));
  RecordCrash(tracker, 7, Attempt(1), kNow);
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kRunAlone));
  RecordDispatch(tracker, 7, Attempt(2), Engine(2));
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kWaitForCopies));
  RecordCrash(tracker, 7, Attempt(2), kNow);
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kQuarantined));
}

// Two callers send the same harmless request, and both copies run on an engine
// that another request crashes. If each copy's report counted as a crash, the
// request would be quarantined after this one crash.
BOOST_AUTO_TEST_CASE(CrashOfSeveralCopiesCountsOnce) {
  CrashTracker tracker;
  RecordDispatch(tracker, 7, Attempt(1), Engine(1));
  RecordDispatch(tracker, 7, Attempt(2), Engine(1));
  RecordCrash(tracker, 7, Attempt(1), kNow);
  BOOST_TEST(!RecordCrash(tracker, 7, Attempt(2), kNow));
  BOOST_TEST((DecideDispatch(tracker, 7) == DispatchDecision::kRunAlone));
}

BOOST_AUTO_TEST_CASE(ExpiryKeepsRunningRequests) {
  CrashTracker tracker;
  MergeCrashCount(tracker, 1, 2, kNow);
  RecordDispatch(tracker, 2, Attempt(1), Engine(1));
  ExpireCrashRecords(tracker, kNow + std::chrono::hours(2),
                     std::chrono::hours(1));
  BOOST_TEST(tracker.records.size() == 1U);
  BOOST_TEST((DecideDispatch(tracker, 1) == DispatchDecision::kRun));
}

/** Engines that run random requests, some of which crash them; requests are
 * resent after a failure. */
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : random_(seed), engines_(6) {}

  /** Dispatches one request and ends the oldest request of one engine. */
  void Step() {
    Dispatch(static_cast<std::int64_t>(random_() % 40));
    EndOldest(random_() % engines_.size());
  }

  CrashTracker tracker;
  std::map<std::int64_t, int> crashes;

 private:
  struct Running {
    std::int64_t fingerprint;
    core::AttemptId attempt;
    bool alone;
  };

  void Dispatch(std::int64_t fingerprint) {
    const auto verdict = DecideDispatch(tracker, fingerprint);
    const bool alone = verdict == DispatchDecision::kRunAlone;
    const bool beside = verdict == DispatchDecision::kWaitForCopies &&
                        tracker.records[fingerprint].crashes == 0;
    if (verdict != DispatchDecision::kRun && !alone && !beside) return;
    const std::size_t at = random_() % engines_.size();
    const auto copies = EnginesWithCopies(tracker, fingerprint);
    if (beside && !copies.contains(Engine(at))) return;
    auto& engine = engines_[at];
    if (alone && !engine.empty()) return;
    if (!engine.empty() && engine.front().alone) return;
    const auto attempt = Attempt(++attempts_);
    engine.push_back({fingerprint, attempt, alone});
    RecordDispatch(tracker, fingerprint, attempt, Engine(at));
  }

  void EndOldest(std::size_t at) {
    auto& engine = engines_[at];
    if (engine.empty()) return;
    if (engine.front().fingerprint < kFirstHarmless) return Crash(engine);
    RecordEnd(tracker, engine.front().fingerprint, engine.front().attempt,
              true);
    engine.erase(engine.begin());
  }

  void Crash(std::vector<Running>& engine) {
    ++crashes[engine.front().fingerprint];
    for (const Running& run : engine) {
      RecordCrash(tracker, run.fingerprint, run.attempt, kNow);
    }
    engine.clear();
  }

  std::mt19937_64 random_;
  std::vector<std::vector<Running>> engines_;
  int attempts_ = 0;
};

BOOST_AUTO_TEST_CASE(OnlyHarmfulRequestsAreQuarantined) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    for (int i = 0; i < 2000; ++i) fleet.Step();
    for (const auto& [fingerprint, crashes] : fleet.crashes) {
      BOOST_TEST(crashes <= 2, "seed " << seed);
    }
    for (const auto& [fingerprint, record] : fleet.tracker.records) {
      const bool condemned = record.crashes >= kCrashesToQuarantine;
      if (condemned) BOOST_TEST(fingerprint < kFirstHarmless, "seed " << seed);
    }
  }
}

}  // namespace
}  // namespace sapphire::policy
