/** @file restarted_origin_test.cc Tests of streams that are taken up after
 * their entries have restarted. */
#define BOOST_TEST_MODULE restarted_origin
#include <boost/test/unit_test.hpp>

#include "serving/version_rig_test.h"

namespace sapphire::serving {

namespace {

using std::chrono::seconds;
using testing::StoreState;

/** One entry, and an engine of v1. */
struct Fleet : testing::VersionFleet {
  Fleet() {
    PutEngine("i-1", "v1");
    Start("a");
  }

  void KillAll() {
    while (!entries.empty()) Kill(entries.begin()->first);
  }

  /** Replaces the engine by one of v2 while no entry is up. */
  void ReplaceAndRestart() {
    KillAll();
    RemoveEngine("i-1");
    PutEngine("i-2", "v2");
    Start("a");
    Pass(seconds(1));
  }
};

/** Entries that have seen v2 only, and could never write or read a key. */
struct WithoutKey : Fleet {
  WithoutKey() {
    store.state = StoreState::kRefusesWrites;
    ReplaceAndRestart();
    entries.at("a")->behind = true;
  }
};

}  // namespace

/** Guards against taking the version that an entry sees first for the only one
 * that has served. */
BOOST_FIXTURE_TEST_CASE(ReleaseWhileNoEntryIsUp, Fleet) {
  Pass(seconds(10));
  ReplaceAndRestart();
  BOOST_TEST(TakeUp("a") == "");
}

/** Guards against the same if the second version was seen but not written. */
BOOST_FIXTURE_TEST_CASE(SecondVersionWasNotWritten, Fleet) {
  Pass(seconds(10));
  store.state = StoreState::kRefusesWrites;
  PutEngine("i-2", "v2");
  Pass(seconds(1));
  KillAll();
  RemoveEngine("i-1");
  store.state = StoreState::kWorks;
  Start("a");
  BOOST_TEST(TakeUp("a") == "");
  Pass(seconds(5));
  BOOST_TEST(TakeUp("a") == "");
}

/** Guards against forgetting versions that the store names. */
BOOST_FIXTURE_TEST_CASE(BothVersionsWereWritten, Fleet) {
  PutEngine("i-2", "v2");
  Pass(seconds(10));
  ReplaceAndRestart();
  BOOST_TEST(TakeUp("a") == "");
}

/** Guards against refusing streams although one version has served all along.
 */
BOOST_FIXTURE_TEST_CASE(OneVersionServedAllAlong, Fleet) {
  Pass(seconds(2));
  KillAll();
  Start("a");
  BOOST_TEST(TakeUp("a") == "v1");
}

/** Guards against taking the answer of an entry that has just started too for
 * evidence. */
BOOST_FIXTURE_TEST_CASE(EntriesThatKnowNothingDoNotVouch, WithoutKey) {
  Start("b");
  BOOST_TEST(TakeUp("a") == "");
}

/** Guards against an entry that vouches for itself, asked through the former
 * presence of its VM. */
BOOST_FIXTURE_TEST_CASE(EntryDoesNotVouchForItself, WithoutKey) {
  BOOST_TEST_REQUIRE(!entries.at("a")->peer_table.Peers().empty());
  BOOST_TEST(TakeUp("a") == "");
}

/** Guards against refusing streams of a killed entry while the store is away,
 * although one version has served all along. */
BOOST_FIXTURE_TEST_CASE(OneVersionGoesOnWhileTheStoreIsAway, Fleet) {
  for (const char* vm : {"b", "c", "d", "e", "f"}) Start(vm);
  Pass(seconds(10));
  store.state = StoreState::kAway;
  for (const auto& [vm, entry] : entries) entry->behind = true;
  Pass(seconds(5));
  Kill("b");
  for (const auto& [vm, entry] : entries) BOOST_TEST(TakeUp(vm) == "v1");
}

/** Guards against an answer that was meant for the process that ran here before
 * and counted its questions in the same way. */
BOOST_FIXTURE_TEST_CASE(AnswersToAFormerProcessAreIgnored, Fleet) {
  PutEngine("i-2", "v2");
  Start("b");
  Pass(seconds(10));
  Kill("b");
  entry::testing::Outcome<streams::OriginLookup> outcome;
  streams::StreamDirectory& directory = entries.at("a")->directory;
  entry::testing::StartTask(
      io, directory.Find(core::RequestId("mine"), testing::kService), outcome);
  io.restart();
  io.poll();
  gen::StreamAnswer late;
  late.entry = "entries/b@0";
  gen::StreamOrigin other;
  other.request_id = "another";
  other.service_id = testing::kService.value();
  other.software_version = "v2";
  late.__set_origin(other);
  for (late.number = 0; late.number < 3; ++late.number) {
    directory.OnAnswer(late);
  }
  while (!outcome.value) {
    clock.Advance(testing::milliseconds(1));
    io.restart();
    io.run_one();
    io.restart();
    io.poll();
  }
  BOOST_TEST(!outcome.value->version.has_value());
}

/** Guards against refusing streams for ever where the key can't be written. */
BOOST_FIXTURE_TEST_CASE(VersionThatWasFollowedForLongIsKnown, WithoutKey) {
  entries.at("a")->behind = false;
  Pass(streams::kMinStreamAge);
  BOOST_TEST(TakeUp("a") == "v2");
  Start("b").behind = true;
  BOOST_TEST(TakeUp("b") == "v2");
}

}  // namespace sapphire::serving
