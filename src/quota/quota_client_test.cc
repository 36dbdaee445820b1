/** @file quota_client_test.cc Tests of the quotas that all entries share. */
#define BOOST_TEST_MODULE quota_client
#include <boost/test/unit_test.hpp>

#include "quota/quota_rig_test.h"

namespace sapphire::quota {

namespace {

using std::chrono::seconds;
using testing::QuotaRig;

constexpr milliseconds kWindow{8000};
/** Tolerated excess: a factor on the limit, and some requests on top. */
constexpr double kExcess = 1.1;
constexpr double kSlackRequests = 7;
constexpr double kCost = 1500;
const QuotaId kOrganisation("draft-house");

SharedLimit Limit(double per_second, double burst, std::int64_t version = 1) {
  return {version, {per_second, burst}};
}

double WindowLimit(const SharedLimit& limit) {
  return limit.limit.per_second * 8 + limit.limit.burst;
}

double Bound(const SharedLimit& limit) {
  return WindowLimit(limit) * kExcess + kSlackRequests * kCost;
}

/** Sends requests of `per_second` units per second in total to the first
 * `entries` entries in turn. */
void SendRequests(QuotaRig& rig, const SharedLimit& limit, double per_second,
                  milliseconds time, std::size_t entries) {
  const milliseconds pause(
      std::max<int>(10, static_cast<int>(kCost / per_second * 1000)));
  std::size_t turn = 0;
  for (milliseconds gone{0}; gone < time; gone += pause) {
    const std::size_t n = std::min(entries, rig.entries.size());
    rig.Request(turn++ % n, kOrganisation, limit, kCost);
    rig.Pass(pause);
  }
}

}  // namespace

/** Guards against denials below the limit. */
BOOST_AUTO_TEST_CASE(RequestsBelowTheLimitAreGranted) {
  for (const int entries : {1, 3, 22}) {
    QuotaRig rig(entries);
    rig.Pass(seconds(2));
    SendRequests(rig, Limit(30'000, 30'000), 27'000, seconds(10), 22);
    rig.Pass(seconds(1));
    BOOST_TEST(rig.answered == rig.asked);
    BOOST_TEST(rig.grants.size() == static_cast<std::size_t>(rig.asked));
  }
}

/** Guards against a limit that each entry enforces for itself, so that the sum
 * exceeds it. */
BOOST_AUTO_TEST_CASE(LimitHoldsForAnyNumberOfReceivingEntries) {
  const SharedLimit limit = Limit(30'000, 30'000);
  for (const std::size_t entries : {1U, 2U, 22U}) {
    QuotaRig rig(22);
    rig.Pass(seconds(2));
    SendRequests(rig, limit, 130'000, seconds(16), entries);
    BOOST_TEST(rig.MaxInWindow(kWindow) <= WindowLimit(limit) + kCost);
    BOOST_TEST(rig.Granted() >= 1.8 * WindowLimit(limit));
  }
}

/** Guards against an excess of one request per entry, which would be more than
 * a small limit. */
BOOST_AUTO_TEST_CASE(SmallLimitHoldsOverManyEntries) {
  const SharedLimit limit = Limit(2600, 2600);
  QuotaRig rig(22);
  rig.Pass(seconds(2));
  SendRequests(rig, limit, 20'000, seconds(16), 22);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= WindowLimit(limit) + kCost);
}

BOOST_AUTO_TEST_CASE(LimitInRequestsWithoutBurstHolds) {
  const SharedLimit limit = Limit(10, 0);
  QuotaRig rig(3);
  rig.Pass(seconds(2));
  for (int i = 0; i < 800; ++i) {
    rig.Request(static_cast<std::size_t>(i % 3), kOrganisation, limit, 1);
    rig.Pass(milliseconds(20));
  }
  BOOST_TEST(rig.MaxInWindow(kWindow) <= 81);
  BOOST_TEST(rig.Granted() >= 155);
}

/** Guards against denials that last until the store notices that the
 * coordinator has died. */
BOOST_AUTO_TEST_CASE(CoordinatorIsReplacedWithinASecondOfItsDeath) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(22);
  rig.Pass(seconds(3));
  const std::size_t first = rig.CoordinatorOf(kOrganisation);
  gen::EntryPresence presence;
  presence.vm = rig.At(first).vm;
  presence.address = QuotaRig::AddressOf(rig.At(first).entry);
  rig.dead_presences[rig.At(first).entry] = presence;
  rig.Kill(rig.At(first).vm);
  SendRequests(rig, limit, 20'000, seconds(2), 21);
  rig.Pass(seconds(1));
  rig.asked = 0;
  rig.grants.clear();
  SendRequests(rig, limit, 20'000, seconds(4), 21);
  BOOST_TEST(rig.grants.size() == static_cast<std::size_t>(rig.asked));
}

/** Guards against two coordinators that grant at the full rate: one is frozen,
 * another takes over, and the first resumes with its old bucket. */
BOOST_AUTO_TEST_CASE(FrozenCoordinatorDoesNotDoubleTheLimit) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(22);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  const std::size_t first = rig.CoordinatorOf(kOrganisation);
  rig.At(first).frozen = true;
  SendRequests(rig, limit, 130'000, seconds(4), 22);
  rig.At(first).frozen = false;
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= Bound(limit));
}

/** Guards against entries that each grant the full limit while they are
 * isolated from the others. */
BOOST_AUTO_TEST_CASE(IsolatedEntriesUseTheirShare) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(22);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  const std::set<std::string> isolated_vms = {"vm-1", "vm-5", "vm-9", "vm-13"};
  rig.is_cut = [&isolated_vms](const std::string& a, const std::string& b) {
    return isolated_vms.contains(a) || isolated_vms.contains(b);
  };
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= Bound(limit));
}

/** Guards against entries that each grant the full limit after all leases have
 * expired in a store outage: entries that still exchange datagrams share it. */
BOOST_AUTO_TEST_CASE(LimitHoldsAfterAllLeasesExpired) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(22);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  for (const auto& it : rig.entries) it->peer_table.SetEntries({});
  SendRequests(rig, limit, 130'000, seconds(6), 22);
  rig.SyncPresences();
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= Bound(limit));
}

/** Guards against a separate burst for each entry that joins. */
BOOST_AUTO_TEST_CASE(JoiningEntriesDoNotRaiseTheLimit) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(22);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 130'000, seconds(8), 22);
  for (int i = 0; i < 17; ++i) rig.Start("new-" + std::to_string(i));
  // The new entries know all others at once, the old ones learn of them a
  // second later.
  for (std::size_t i = 22; i < rig.entries.size(); ++i) {
    std::map<std::string, gen::EntryPresence> all;
    for (const auto& it : rig.entries) {
      all[it->entry].vm = it->vm;
      all[it->entry].address = QuotaRig::AddressOf(it->entry);
    }
    rig.At(i).peer_table.SetEntries(all);
  }
  SendRequests(rig, limit, 130'000, seconds(1), 39);
  rig.SyncPresences();
  SendRequests(rig, limit, 130'000, seconds(8), 39);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= Bound(limit));
  BOOST_TEST(rig.answered >= rig.asked - 40);
}

/** Guards against an old limit, far above the new one, that remains in use. */
BOOST_AUTO_TEST_CASE(LoweredLimitAppliesAtOnce) {
  const SharedLimit before = Limit(60'000, 60'000, 1);
  const SharedLimit after = Limit(5000, 5000, 2);
  QuotaRig rig(5);
  rig.Pass(seconds(3));
  SendRequests(rig, before, 60'000, seconds(8), 5);
  // One entry has the new configuration first.
  rig.Request(0, kOrganisation, after, kCost);
  rig.Pass(milliseconds(100));
  rig.grants.clear();
  SendRequests(rig, after, 60'000, seconds(16), 5);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= WindowLimit(after) + kCost);
}

/** Guards against coordinators that die one after the other, each of which
 * grants a part of the limit again. */
BOOST_AUTO_TEST_CASE(SuccessorsKnowTheGrantedUse) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(8);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 130'000, seconds(8), 8);
  for (int i = 0; i < 3; ++i) {
    rig.Kill(rig.At(rig.CoordinatorOf(kOrganisation)).vm);
    rig.SyncPresences();
    SendRequests(rig, limit, 130'000, seconds(2), 8);
  }
  BOOST_TEST(rig.MaxInWindow(kWindow) <= WindowLimit(limit) + 4 * kCost);
}

/** Guards against a restarted coordinator that grants the limit a second time.
 */
BOOST_AUTO_TEST_CASE(RestartedCoordinatorRecoversItsGrants) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(5);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 130'000, seconds(8), 5);
  const std::string vm = rig.At(rig.CoordinatorOf(kOrganisation)).vm;
  rig.Kill(vm);
  rig.Start(vm);
  rig.SyncPresences();
  SendRequests(rig, limit, 130'000, seconds(6), 5);
  BOOST_TEST(rig.MaxInWindow(kWindow) <= WindowLimit(limit) + 4 * kCost);
}

/** Guards against two coordinators that remain: the presences expire while one
 * entry is frozen, which then knows, and is known to, one other entry only. */
BOOST_AUTO_TEST_CASE(EntryFindsCoordinatorMissingFromItsView) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(5);
  rig.Pass(seconds(3));
  const std::size_t first = rig.CoordinatorOf(kOrganisation);
  rig.At(first).frozen = true;
  SendRequests(rig, limit, 130'000, seconds(8), 5);
  for (const auto& it : rig.entries) it->peer_table.SetEntries({});
  rig.At(first).frozen = false;
  const std::size_t bridge = first == 0 ? 1 : 0;
  rig.At(bridge).peer_table.RecordDatagram(rig.At(first).entry);
  rig.At(first).peer_table.RecordDatagram(rig.At(bridge).entry);
  SendRequests(rig, limit, 130'000, seconds(8), 5);
  int coordinators = 0;
  for (const auto& it : rig.entries) {
    it->client.Take(kOrganisation, limit, 0,
                    [&coordinators](const QuotaDecision& decision) {
                      if (decision.source == QuotaSource::kSelf) ++coordinators;
                    });
  }
  BOOST_TEST(coordinators == 1);
  rig.Pass(seconds(1));
}

/** Guards against a coordinator that resumes after a freeze and grants units
 * based on outdated use. */
BOOST_AUTO_TEST_CASE(ResumedCoordinatorQueriesPeersBeforeGranting) {
  const SharedLimit limit = Limit(30'000, 30'000);
  QuotaRig rig(5);
  rig.Pass(seconds(3));
  SendRequests(rig, limit, 20'000, seconds(2), 5);
  const std::size_t first = rig.CoordinatorOf(kOrganisation);
  rig.At(first).frozen = true;
  for (int i = 0; i < 400; ++i) {
    rig.Request((first + 1 + i % 4) % 5, kOrganisation, limit, kCost);
    rig.Pass(milliseconds(20));
  }
  rig.At(first).frozen = false;
  bool answered = false;
  rig.At(first).client.Take(
      kOrganisation, limit, kCost,
      [&answered](const QuotaDecision&) { answered = true; });
  BOOST_TEST(!answered);
  rig.Pass(milliseconds(200));
  BOOST_TEST(answered);
}

/** Guards against an older configuration that raises the limit again. */
BOOST_AUTO_TEST_CASE(OlderConfigurationDoesNotChangeTheLimit) {
  core::ManualClock clock;
  UsageTable usage("self", kWindow, clock);
  QuotaCoordinator coordinator({kWindow, 0, 0}, usage, clock);
  coordinator.Take(kOrganisation, Limit(10, 0, 2), 1, CoordinatorScope(),
                   milliseconds(0));
  int granted = 0;
  for (int i = 0; i < 800; ++i) {
    clock.Advance(milliseconds(10));
    if (coordinator
            .Take(kOrganisation, Limit(1000, 0, 1), 1, CoordinatorScope(),
                  milliseconds(0))
            .granted) {
      ++granted;
    }
  }
  BOOST_TEST(granted <= 80);
}

BOOST_AUTO_TEST_CASE(UnusedUnitsAreGivenBack) {
  const SharedLimit limit = Limit(1500, 0);
  QuotaRig rig(3);
  rig.Pass(seconds(3));
  for (int i = 0; i < 50; ++i) {
    rig.Request(0, kOrganisation, limit, kCost);
    rig.Pass(milliseconds(100));
    BOOST_TEST(rig.last.granted);
    rig.At(0).client.GiveBack(kOrganisation, limit, kCost);
    rig.Pass(milliseconds(100));
  }
}

/** Guards against a request that is charged twice because its answer was lost.
 */
BOOST_AUTO_TEST_CASE(RepeatedRequestIsChargedOnce) {
  QuotaRig rig(2);
  rig.Pass(seconds(3));
  const std::size_t first = rig.CoordinatorOf(kOrganisation);
  QuotaClient& coordinator = rig.At(first).client;
  gen::QuotaAsk ask;
  ask.entry = rig.At(1 - first).entry;
  ask.number = 77;
  ask.quota = kOrganisation.value();
  ask.units = kCost;
  ask.version = 1;
  ask.units_per_second = 1500;
  ask.burst = 0;
  coordinator.OnRequest(ask, "at nobody");
  const double level = coordinator.LevelOf(kOrganisation);
  coordinator.OnRequest(ask, "at nobody");
  BOOST_TEST(coordinator.LevelOf(kOrganisation) == level);
}

/** Guards against requests larger than the burst that are never served. */
BOOST_AUTO_TEST_CASE(RequestLargerThanTheBurstIsGranted) {
  core::ManualClock clock;
  UsageTable usage("self", kWindow, clock);
  QuotaCoordinator coordinator({kWindow, 0, 0}, usage, clock);
  const SharedLimit limit = Limit(1000, 500);
  const auto take = [&](double cost) {
    return coordinator
        .Take(kOrganisation, limit, cost, CoordinatorScope(), milliseconds(0))
        .granted;
  };
  BOOST_TEST(take(3000));
  BOOST_TEST(!take(1));
  clock.Advance(seconds(3));
  BOOST_TEST(take(1));
}

/** Guards against denials where a short delay would be enough. */
BOOST_AUTO_TEST_CASE(ShortDebtDelaysRequestsInsteadOfDenyingThem) {
  core::ManualClock clock;
  UsageTable usage("self", kWindow, clock);
  QuotaCoordinator coordinator({kWindow, 0, 0}, usage, clock);
  const SharedLimit limit = Limit(1000, 0);
  const auto take = [&](milliseconds wait) {
    return coordinator.Take(kOrganisation, limit, 150, CoordinatorScope(),
                            wait);
  };
  BOOST_TEST(take(milliseconds(0)).granted);
  BOOST_TEST(!take(milliseconds(100)).granted);
  const QuotaDecision delayed = take(milliseconds(200));
  BOOST_TEST(delayed.granted);
  BOOST_TEST(delayed.delay.count() == 150);
  BOOST_TEST(!take(milliseconds(200)).granted);
}

/** Guards against denials right after all entries have started. */
BOOST_AUTO_TEST_CASE(NewBucketStartsWithPartOfTheToleratedExcess) {
  core::ManualClock clock;
  UsageTable usage("self", kWindow, clock);
  QuotaCoordinator coordinator({kWindow, 0.1, 1000}, usage, clock);
  const SharedLimit limit = Limit(1000, 1000);
  int granted = 0;
  for (int i = 0; i < 20; ++i) {
    const QuotaDecision decision = coordinator.Take(
        kOrganisation, limit, 100, CoordinatorScope(), milliseconds(0));
    if (decision.granted) ++granted;
  }
  // A quarter of the slack of 1,000 and of a tenth of the window's limit of
  // 9,000 is 475: four requests, and a fifth that makes the level negative.
  BOOST_TEST(granted == 5);
}

/** Guards against a retry time at which the quota has no units yet. */
BOOST_AUTO_TEST_CASE(DeniedRequestIsGrantedAfterItsRetryTime) {
  core::ManualClock clock;
  UsageTable usage("self", kWindow, clock);
  QuotaCoordinator coordinator({kWindow, 0, 0}, usage, clock);
  const SharedLimit limit = Limit(1000, 0);
  BOOST_TEST(
      coordinator
          .Take(kOrganisation, limit, 4000, CoordinatorScope(), milliseconds(0))
          .granted);
  const QuotaDecision denied = coordinator.Take(
      kOrganisation, limit, 100, CoordinatorScope(), milliseconds(0));
  BOOST_TEST(!denied.granted);
  clock.Advance(denied.delay - milliseconds(1));
  BOOST_TEST(
      !coordinator
           .Take(kOrganisation, limit, 100, CoordinatorScope(), milliseconds(0))
           .granted);
  clock.Advance(milliseconds(1));
  BOOST_TEST(
      coordinator
          .Take(kOrganisation, limit, 100, CoordinatorScope(), milliseconds(0))
          .granted);
}

/** Every request gets a decision within the failover timeout, even if all
 * datagrams are lost. */
BOOST_AUTO_TEST_CASE(EveryRequestIsDecidedWithinTheFailoverTimeout) {
  QuotaRig rig(22);
  rig.Pass(seconds(3));
  rig.is_cut = [](const std::string&, const std::string&) { return true; };
  for (std::size_t i = 0; i < 22; ++i) {
    rig.Request(i, kOrganisation, Limit(30'000, 30'000), kCost);
  }
  rig.Pass(seconds(1));
  BOOST_TEST(rig.answered == rig.asked);
}

}  // namespace sapphire::quota
