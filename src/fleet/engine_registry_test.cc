/** @file engine_registry_test.cc Tests of the list of engines and of which
 * instance of each engine is used. */
#define BOOST_TEST_MODULE engine_registry
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/engine_registry_base.h"
#include "fleet/instance_func.h"

namespace sapphire::fleet {

namespace {

using std::chrono::milliseconds;

const EngineId kEngine("i-1");

EngineStartTime At(int seconds) {
  return EngineStartTime(std::chrono::seconds(seconds));
}

InstanceId Start(int seconds) { return MakeInstance(kEngine, At(seconds)); }

EngineEntry EntryOf(InstanceId instance, const std::string& model = "m") {
  EngineEntry entry;
  entry.instance = std::move(instance);
  entry.service = core::ServiceId("s");
  entry.address = "10.0.0.9:80";
  LoadedModel held;
  held.model = core::ModelId(model);
  entry.models.push_back(held);
  return entry;
}

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm-1"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        registry(RegistryOptions(), clock, log) {}

  /** @return The instance in use; empty if there is none. */
  [[nodiscard]] InstanceId Used() const {
    if (registry.engines().empty()) return {};
    BOOST_TEST(registry.engines().size() == 1U);
    return registry.engines().begin()->first;
  }

  void Pass(milliseconds time) {
    clock.Advance(time);
    registry.Expire();
  }

  core::ManualClock clock;
  core::Logger log;
  EngineRegistry registry;
};

}  // namespace

BOOST_AUTO_TEST_CASE(InstanceIdContainsEngineAndStartTime) {
  const InstanceId instance = MakeInstance(kEngine, At(5));
  BOOST_TEST(instance.value() == "i-1@5000");
  const InstanceId read(instance.value());
  BOOST_TEST((read == instance));
  BOOST_TEST(EngineOf(read).value() == "i-1");
  BOOST_TEST((StartTimeOf(read) == At(5)));
  const InstanceId silent = MakeInstance(kEngine, std::nullopt);
  BOOST_TEST(silent.value() == "i-1");
  BOOST_TEST(!StartTimeOf(silent).has_value());
  BOOST_TEST(EngineOf(InstanceId("odd@name")).value() == "odd@name");
  BOOST_TEST(EngineOf(InstanceId("odd@")).value() == "odd@");
}

/**
 * Guards against requests for a model being sent to an engine that has crashed
 * and restarted without models: the models known of the old instance were taken
 * for those of the new one.
 */
BOOST_AUTO_TEST_CASE(LaterInstanceReplacesTheEarlierOne) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Put(EntryOf(Start(20), "other"));
  BOOST_TEST((rig.Used() == Start(20)));
  BOOST_TEST(rig.registry.Find(Start(10)) == nullptr);
  // Two restarts within one batch of changes.
  rig.registry.Put(EntryOf(Start(30)));
  rig.registry.Put(EntryOf(Start(40)));
  BOOST_TEST((rig.Used() == Start(40)));
}

/**
 * Guards against requests for a model being sent to a restarted engine that no
 * longer has it: the last entry of the old instance arrives after the first one
 * of the new instance and restores the old list of models.
 */
BOOST_AUTO_TEST_CASE(LateEntryOfAnEarlierInstanceIsIgnored) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Put(EntryOf(Start(10)));
  BOOST_TEST((rig.Used() == Start(20)));
  // The running instance rewrites its entry within a heartbeat.
  rig.Pass(milliseconds(1200));
  rig.registry.Put(EntryOf(Start(20)));
  rig.Pass(milliseconds(10'000));
  BOOST_TEST((rig.Used() == Start(20)));
}

/**
 * Guards against a healthy engine that gets no requests for the rest of the
 * day: its clock was set back during the restart, so that the new instance has
 * an earlier start time than the old one.
 */
BOOST_AUTO_TEST_CASE(InstanceWithAClockSetBackIsAcceptedAfterAWhile) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Put(EntryOf(Start(10)));
  rig.Pass(milliseconds(2400));
  BOOST_TEST((rig.Used() == Start(20)));
  rig.Pass(milliseconds(200));
  BOOST_TEST((rig.Used() == Start(10)));
}

/** The same, but a request has already shown that the old instance is gone. */
BOOST_AUTO_TEST_CASE(DeferredInstanceIsAcceptedOnceTheKnownOneIsReplaced) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.MarkReplaced(Start(20));
  BOOST_TEST((rig.Used() == Start(10)));
}

/**
 * Guards against a restarted engine that never gets requests again: a request
 * had found that the old instance was gone, and all later instances of the same
 * engine were ignored too.
 */
BOOST_AUTO_TEST_CASE(OnlyTheReplacedInstanceIsIgnored) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.MarkReplaced(Start(10));
  rig.registry.Put(EntryOf(Start(10)));
  BOOST_TEST((rig.Used() == InstanceId()));
  rig.registry.Put(EntryOf(Start(20)));
  BOOST_TEST((rig.Used() == Start(20)));
}

/** The same for an engine that doesn't report its start time: its stale entry
 * expires after three heartbeats, so a later entry is of a new instance. */
BOOST_AUTO_TEST_CASE(EngineWithoutStartTimeReturnsAfterItsStaleEntryExpired) {
  Rig rig;
  const InstanceId silent = MakeInstance(kEngine, std::nullopt);
  rig.registry.Put(EntryOf(silent));
  rig.registry.MarkReplaced(silent);
  rig.Pass(milliseconds(1200));
  rig.registry.Put(EntryOf(silent));
  BOOST_TEST((rig.Used() == InstanceId()));
  rig.Pass(milliseconds(4000));
  rig.registry.Put(EntryOf(silent));
  BOOST_TEST((rig.Used() == silent));
}

/**
 * Guards against requests being sent to a draining engine. Its clock was set
 * back during a restart, so that its entries have an earlier start time and are
 * deferred for 2.5 s, longer than a draining engine may still be used.
 */
BOOST_AUTO_TEST_CASE(DrainingNoticeIsNotDeferred) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  EngineEntry leaving = EntryOf(Start(10));
  leaving.draining = true;
  rig.registry.Put(leaving);
  BOOST_TEST(rig.registry.Find(Start(20))->draining);
  // If it was a late entry of the old instance, the running one reverts it.
  rig.registry.Put(EntryOf(Start(20)));
  BOOST_TEST(!rig.registry.Find(Start(20))->draining);
}

/** Guards against a deferred instance that is never accepted, because each of
 * its further entries restarted the wait. */
BOOST_AUTO_TEST_CASE(FurtherEntriesDoNotProlongTheDeferral) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  for (int i = 0; i < 3; ++i) {
    rig.registry.Put(EntryOf(Start(10)));
    rig.Pass(milliseconds(1200));
  }
  BOOST_TEST((rig.Used() == Start(10)));
}

/**
 * Guards against requests being sent to an address that another writer has put
 * into an engine's entry. The engine is not used until it writes its own entry
 * again; other engines are not affected.
 */
BOOST_AUTO_TEST_CASE(UnreadableEntryRemovesTheEngine) {
  Rig rig;
  const InstanceId other = MakeInstance(EngineId("i-2"), At(3));
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Put(EntryOf(other));
  rig.registry.MarkUnreadable(kEngine);
  BOOST_TEST((rig.Used() == other));
  rig.registry.Put(EntryOf(Start(10)));
  BOOST_TEST(rig.registry.engines().size() == 2U);
  // An engine that reports its start time always does.
  rig.registry.Put(EntryOf(MakeInstance(kEngine, std::nullopt)));
  BOOST_TEST((rig.Used() == other));
}

/**
 * Guards against requests being refused although the engine is running again.
 * Its entry expired in a store outage, and it restarted meanwhile: the entry of
 * the new instance ends the wait for the old one.
 */
BOOST_AUTO_TEST_CASE(RestartDuringAStoreOutageKeepsTheEngine) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Remove(kEngine, rig.clock.Now() + milliseconds(2000));
  BOOST_TEST((rig.Used() == Start(10)));
  rig.registry.Put(EntryOf(Start(20)));
  rig.Pass(milliseconds(5000));
  BOOST_TEST((rig.Used() == Start(20)));
  // An engine missing from the listing after an outage is removed at the end of
  // its grace period.
  rig.registry.ReplaceAll({}, rig.clock.Now() + milliseconds(2000));
  BOOST_TEST((rig.Used() == Start(20)));
  rig.Pass(milliseconds(2000));
  BOOST_TEST((rig.Used() == InstanceId()));
}

BOOST_AUTO_TEST_CASE(RemovedEntryRemovesTheKnownInstance) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Remove(kEngine, std::nullopt);
  BOOST_TEST((rig.Used() == InstanceId()));
  // An earlier start time, after the clock was set back, is accepted at once,
  // as no other instance is known.
  rig.registry.Put(EntryOf(Start(15)));
  BOOST_TEST((rig.Used() == Start(15)));
}

}  // namespace sapphire::fleet
