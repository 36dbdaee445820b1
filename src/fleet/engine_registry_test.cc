/** @file engine_registry_test.cc Tests of which engines, and which of their
 * starts, there are. */
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

EngineBirth At(int seconds) {
  return EngineBirth(std::chrono::seconds(seconds));
}

InstanceId Start(int seconds) { return MakeInstance(kEngine, At(seconds)); }

EngineEntry EntryOf(InstanceId instance, const std::string& model = "m") {
  EngineEntry entry;
  entry.instance = std::move(instance);
  entry.service = core::ServiceId("s");
  entry.address = "10.0.0.9:80";
  HeldModel held;
  held.model = core::ModelId(model);
  entry.models.push_back(held);
  return entry;
}

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm-1"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        registry(RegistryOptions(), clock, log) {}

  /** @return The start that is used; empty if there is none. */
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

BOOST_AUTO_TEST_CASE(AnInstanceNamesTheEngineAndItsStart) {
  const InstanceId instance = MakeInstance(kEngine, At(5));
  BOOST_TEST(instance.value() == "i-1@5000");
  const InstanceId read(instance.value());
  BOOST_TEST((read == instance));
  BOOST_TEST(EngineOf(read).value() == "i-1");
  BOOST_TEST((BirthOf(read) == At(5)));
  const InstanceId silent = MakeInstance(kEngine, std::nullopt);
  BOOST_TEST(silent.value() == "i-1");
  BOOST_TEST(!BirthOf(silent).has_value());
  BOOST_TEST(EngineOf(InstanceId("odd@name")).value() == "odd@name");
  BOOST_TEST(EngineOf(InstanceId("odd@")).value() == "odd@");
}

/**
 * Callers of a model are sent to an engine that has just restarted empty.
 * It crashed and started again under its name; what was known of its holdings
 * was taken for the new start's.
 */
BOOST_AUTO_TEST_CASE(ALaterStartTakesThePlaceOfTheOneBefore) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Put(EntryOf(Start(20), "other"));
  BOOST_TEST((rig.Used() == Start(20)));
  BOOST_TEST(rig.registry.Find(Start(10)) == nullptr);
  // Twice within one watch.
  rig.registry.Put(EntryOf(Start(30)));
  rig.registry.Put(EntryOf(Start(40)));
  BOOST_TEST((rig.Used() == Start(40)));
}

/**
 * Callers of a model are sent to an engine that has lost it.
 * The engine restarted; its last entry from before arrives after the first of
 * the new start and brings the old holdings back.
 */
BOOST_AUTO_TEST_CASE(AnEntryOfAnEarlierStartThatComesLastChangesNothing) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Put(EntryOf(Start(10)));
  BOOST_TEST((rig.Used() == Start(20)));
  // The living start writes its entry anew within a heartbeat.
  rig.Pass(milliseconds(1200));
  rig.registry.Put(EntryOf(Start(20)));
  rig.Pass(milliseconds(10'000));
  BOOST_TEST((rig.Used() == Start(20)));
}

/**
 * A healthy engine gets no request for the rest of the day.
 * Its machine's clock was set back while it restarted, so that its new start
 * seems to be before the old one.
 */
BOOST_AUTO_TEST_CASE(AStartWithAClockSetBackIsBelievedInTheEnd) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Put(EntryOf(Start(10)));
  rig.Pass(milliseconds(2400));
  BOOST_TEST((rig.Used() == Start(20)));
  rig.Pass(milliseconds(200));
  BOOST_TEST((rig.Used() == Start(10)));
}

/** The same, and a request has shown already that the old start is gone. */
BOOST_AUTO_TEST_CASE(AStartInDoubtIsBelievedOnceItsRivalIsGone) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.NoteReplaced(Start(20));
  BOOST_TEST((rig.Used() == Start(10)));
}

/**
 * An engine that restarted under its name gets no request for good.
 * A request found that its former start was gone, and the name was passed over
 * from then on.
 */
BOOST_AUTO_TEST_CASE(OnlyTheStartThatWasReplacedIsPassedOver) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.NoteReplaced(Start(10));
  rig.registry.Put(EntryOf(Start(10)));
  BOOST_TEST((rig.Used() == InstanceId()));
  rig.registry.Put(EntryOf(Start(20)));
  BOOST_TEST((rig.Used() == Start(20)));
}

/** The same for an engine that does not tell when it started: its stale entry
 * is gone after three heartbeats, so a later one is of a new start. */
BOOST_AUTO_TEST_CASE(AnEngineThatTellsNoStartComesBackAfterItsStaleEntry) {
  Rig rig;
  const InstanceId silent = MakeInstance(kEngine, std::nullopt);
  rig.registry.Put(EntryOf(silent));
  rig.registry.NoteReplaced(silent);
  rig.Pass(milliseconds(1200));
  rig.registry.Put(EntryOf(silent));
  BOOST_TEST((rig.Used() == InstanceId()));
  rig.Pass(milliseconds(4000));
  rig.registry.Put(EntryOf(silent));
  BOOST_TEST((rig.Used() == silent));
}

/**
 * Requests reach an engine that has said that it leaves.
 * Its machine's clock was set back while it restarted, so its entries seem to
 * be of the start before and are held back for 2.5 s, longer than an engine
 * that leaves may still be used.
 */
BOOST_AUTO_TEST_CASE(ANoticeToLeaveIsNotHeldBack) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  EngineEntry leaving = EntryOf(Start(10));
  leaving.draining = true;
  rig.registry.Put(leaving);
  BOOST_TEST(rig.registry.Find(Start(20))->draining);
  // It was a late entry of the start before: the living one writes its own.
  rig.registry.Put(EntryOf(Start(20)));
  BOOST_TEST(!rig.registry.Find(Start(20))->draining);
}

/** The same, and it writes several entries meanwhile: each began the wait anew.
 */
BOOST_AUTO_TEST_CASE(AStartInDoubtThatWritesOnIsBelievedInTheEnd) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(20)));
  for (int i = 0; i < 3; ++i) {
    rig.registry.Put(EntryOf(Start(10)));
    rig.Pass(milliseconds(1200));
  }
  BOOST_TEST((rig.Used() == Start(10)));
}

/**
 * Callers are sent to an address that somebody else has written.
 * Another writer overwrites an engine's entry: it names no engine to use until
 * the engine writes its own again; others are not touched.
 */
BOOST_AUTO_TEST_CASE(AnUnreadableEntryNamesNoEngine) {
  Rig rig;
  const InstanceId other = MakeInstance(EngineId("i-2"), At(3));
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Put(EntryOf(other));
  rig.registry.PutUnreadable(kEngine);
  BOOST_TEST((rig.Used() == other));
  rig.registry.Put(EntryOf(Start(10)));
  BOOST_TEST(rig.registry.engines().size() == 2U);
  // An engine that tells when it started always does.
  rig.registry.Put(EntryOf(MakeInstance(kEngine, std::nullopt)));
  BOOST_TEST((rig.Used() == other));
}

/**
 * Callers are refused although the engine is back.
 * The store was away, the engine's entry lapsed with it, and the engine has
 * restarted meanwhile: its new entry ends the wait for the old one.
 */
BOOST_AUTO_TEST_CASE(ARestartWhileTheStoreWasAwayIsNoLoss) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Remove(kEngine, rig.clock.Now() + milliseconds(2000));
  BOOST_TEST((rig.Used() == Start(10)));
  rig.registry.Put(EntryOf(Start(20)));
  rig.Pass(milliseconds(5000));
  BOOST_TEST((rig.Used() == Start(20)));
  // And one that is not listed any more after an outage goes after its grace.
  rig.registry.Replace({}, rig.clock.Now() + milliseconds(2000));
  BOOST_TEST((rig.Used() == Start(20)));
  rig.Pass(milliseconds(2000));
  BOOST_TEST((rig.Used() == InstanceId()));
}

BOOST_AUTO_TEST_CASE(ARemovedEntryEndsWhicheverStartIsKnown) {
  Rig rig;
  rig.registry.Put(EntryOf(Start(10)));
  rig.registry.Put(EntryOf(Start(20)));
  rig.registry.Remove(kEngine, std::nullopt);
  BOOST_TEST((rig.Used() == InstanceId()));
  // The clock may have been set back by now: no rival, no doubt.
  rig.registry.Put(EntryOf(Start(15)));
  BOOST_TEST((rig.Used() == Start(15)));
}

}  // namespace sapphire::fleet
