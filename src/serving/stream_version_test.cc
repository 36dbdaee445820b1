/** @file stream_version_test.cc Tests of streams while engines of several
 * software versions serve. */
#define BOOST_TEST_MODULE stream_version
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::kDrafts;
using testing::RecordingWriter;
using testing::Rig;
using testing::TestEngine;

const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";
constexpr milliseconds kWait{5000};
/** A request that can't be served is ended within this time. */
constexpr milliseconds kAtOnce{500};

/** Two engines in the entry's zone, of versions v1 and v2; the first one cuts
 * its stream after an event. */
struct TwoVersions {
  explicit TwoVersions(Rig& rig)
      : first(rig.AddEngine(kDrafts, testing::Streaming({kFirst}, false))),
        other(rig.AddEngine(kDrafts,
                            testing::Streaming({kFirst, kSecond}, true))) {
    rig.SetVersion("i-1", "v1", "z");
    rig.SetVersion("i-2", "v2", "z");
  }
  TestEngine& first;
  TestEngine& other;
};

/** Adds an engine of version v1 that goes on after the first event. */
TestEngine& AddSameVersion(Rig& rig) {
  TestEngine& added =
      rig.AddEngine(kDrafts, testing::Streaming({kSecond}, true));
  rig.SetVersion("i-" + std::to_string(rig.engines.size()), "v1", "far");
  return added;
}

milliseconds Since(core::SteadyTime began, const Rig& rig) {
  return std::chrono::duration_cast<milliseconds>(rig.clock.Now() - began);
}

}  // namespace

/** Guards against a stream that goes on, in one answer, at another software
 * version than the one that began it. */
BOOST_AUTO_TEST_CASE(BrokenStreamGoesOnAtItsSoftwareVersion) {
  Rig rig;
  const TwoVersions engines(rig);
  const TestEngine& same = AddSameVersion(rig);
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.body == kFirst + kSecond);
  BOOST_TEST(writer.whole);
  BOOST_TEST(same.requests.size() == 1U);
  BOOST_TEST(engines.other.requests.empty());
}

/** Guards against a stream that waits for an engine of its version although
 * none serves any more. */
BOOST_AUTO_TEST_CASE(BrokenStreamIsCutAtOnceIfItsVersionIsGone) {
  Rig rig;
  const TwoVersions engines(rig);
  RecordingWriter writer;
  const core::SteadyTime began = rig.clock.Now();
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.body == kFirst);
  BOOST_TEST(writer.cut);
  BOOST_TEST(engines.other.requests.empty());
  BOOST_TEST(Since(began, rig).count() < kAtOnce.count());
}

/** Guards against a hedge of a stream that has begun at another version. */
BOOST_AUTO_TEST_CASE(SilentStreamIsNotHedgedAtAnotherVersion) {
  Rig rig;
  rig.AddEngine(kDrafts,
                testing::Pausing({kFirst, kSecond}, milliseconds(2500)));
  const TestEngine& other =
      rig.AddEngine(kDrafts, testing::Streaming({kSecond}, true));
  rig.SetVersion("i-1", "v1", "z");
  rig.SetVersion("i-2", "v2", "z");
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.body == kFirst + kSecond);
  BOOST_TEST(writer.whole);
  BOOST_TEST(other.requests.empty());
}

/** Guards against a caller that takes its stream up and gets the rest from
 * another software version. */
BOOST_AUTO_TEST_CASE(CallerTakesItsStreamUpAtTheVersionThatBeganIt) {
  Rig rig;
  rig.Configure(1);
  const TwoVersions engines(rig);
  RecordingWriter begun;
  rig.Serve("/stream/", kWait, begun);
  BOOST_TEST_REQUIRE(begun.body == kFirst);
  const TestEngine& same = AddSameVersion(rig);
  rig.registry.Remove(fleet::EngineId("i-1"), std::nullopt);
  rig.resumes = {"r-1", 1};
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.body == kSecond);
  BOOST_TEST(writer.whole);
  BOOST_TEST(same.requests.size() == 1U);
  BOOST_TEST(engines.other.requests.empty());
}

/** Guards against a stream that is taken up at any version because it is not
 * known which one began it. */
BOOST_AUTO_TEST_CASE(StreamOfUnknownVersionIsRefusedAtOnce) {
  Rig rig;
  const TwoVersions engines(rig);
  rig.resumes = {"r-unknown", 1};
  RecordingWriter writer;
  const core::SteadyTime began = rig.clock.Now();
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.status == 503);
  BOOST_TEST(engines.first.requests.empty());
  BOOST_TEST(engines.other.requests.empty());
  BOOST_TEST(Since(began, rig).count() < kAtOnce.count());
}

/** Guards against refusing to take up streams although only one version has
 * ever served. */
BOOST_AUTO_TEST_CASE(StreamOfUnknownAttemptGoesOnWhileOneVersionServes) {
  Rig rig;
  rig.AddEngine(kDrafts, testing::Streaming({kSecond}, true));
  rig.SetVersion("i-1", "v1", "z");
  rig.version_history.SetStored(kDrafts, {fleet::SoftwareVersion("v1")});
  rig.resumes = {"r-unknown", 1};
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.status == 200);
  BOOST_TEST(writer.body == kSecond);
  BOOST_TEST(rig.stream_directory.size() == 1U);
}

/** Guards against a stream that is taken for one of the only version seen, also
 * after another one is known, because an attempt to go on there was refused. */
BOOST_AUTO_TEST_CASE(OnlyVersionIsNotRecordedIfTheStreamDoesNotGoOn) {
  Rig rig;
  rig.AddEngine(kDrafts, testing::Answering(503, true, ""));
  rig.SetVersion("i-1", "v1", "z");
  rig.version_history.SetStored(kDrafts, {fleet::SoftwareVersion("v1")});
  rig.resumes = {"r-unknown", 1};
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.status == 503);
  BOOST_TEST(rig.stream_directory.size() == 0U);
}

/** Guards against the same guess without the knowledge of all versions. */
BOOST_AUTO_TEST_CASE(StreamOfUnknownAttemptIsRefusedWithoutTheVersionsKey) {
  Rig rig;
  const TestEngine& engine =
      rig.AddEngine(kDrafts, testing::Streaming({kSecond}, true));
  rig.SetVersion("i-1", "v1", "z");
  rig.resumes = {"r-unknown", 1};
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.status == 503);
  BOOST_TEST(engine.requests.empty());
}

}  // namespace sapphire::serving
