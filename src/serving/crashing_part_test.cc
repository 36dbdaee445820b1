/** @file crashing_part_test.cc Tests of requests that are never alike, but
 * share a prompt part that crashes every engine that begins to answer it. */
#define BOOST_TEST_MODULE crashing_part
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::kDrafts;
using testing::RecordingWriter;
using testing::Rig;

constexpr milliseconds kWait{3000};
constexpr milliseconds kPause{150};
/** Engines may crash before a part is known as the cause. */
constexpr int kCrashesToKnow = 5;
/** Requests that may reach engines after that. */
constexpr int kMaxLaterSends = 3;
/** Time within which all that is known of a crash is in force. */
constexpr milliseconds kNewsTime{300};

const std::string kCommonPart = "a1";
const std::string kCrashingPart = "dead";
const std::string kSoundPart = "b2";

/** When an engine that crashes has sent something. */
enum class CrashPoint { kBeforeHead, kAfterHead };

struct FleetOptions {
  int engines = 24;
  CrashPoint point = CrashPoint::kBeforeHead;
  /** Time after which a crashed engine is back as a new instance. */
  std::optional<milliseconds> restart_after;
};

/** Engines that crash as they begin a request with kCrashingPart. */
class CrashingFleet {
 public:
  explicit CrashingFleet(FleetOptions options) : options_(options) {
    for (int i = 0; i < options_.engines; ++i) AddEngine();
  }

  /** Serves a request with these parts, and one of its own, to its end. */
  bool Serve(const std::string& parts) {
    RecordingWriter writer;
    entry::testing::RunTask(rig.io, Send(parts, writer));
    return writer.whole && writer.status == 200;
  }

  void ServeCrashing() { Serve(kCommonPart + " " + kCrashingPart); }
  void ServeSound() {
    ++sound;
    if (Serve(kCommonPart + " " + kSoundPart)) ++sound_served;
  }

  /** Sends these requests at the same time and waits for their ends. */
  void ServeTogether(const std::vector<std::string>& all) {
    std::vector<std::unique_ptr<RecordingWriter>> writers;
    for (const std::string& parts : all) {
      writers.push_back(std::make_unique<RecordingWriter>());
      core::Spawn(rig.io.get_executor(), rig.log, "send",
                  [this, parts, it = writers.back().get()]() -> core::Task<> {
                    co_await Send(parts, *it);
                  });
    }
    rig.Pass(kWait);
    for (const auto& it : writers) {
      if (it->whole && it->status == 200) ++served_together;
    }
  }

  Rig rig;
  /** Sends of requests with kCrashingPart that have reached an engine. */
  int reached = 0;
  /** Those of them later than kNewsTime after crash kCrashesToKnow. */
  int reached_later = 0;
  int sound = 0;
  int sound_served = 0;
  int served_together = 0;

 private:
  core::Task<bool> Send(std::string parts, RecordingWriter& writer) {
    const std::string number = std::to_string(++requests_);
    http::Request request;
    request.method = "POST";
    request.target = "/stream/" + number;
    request.body = "prompt " + number;
    // The last part is of this request alone.
    request.headers = {{"id", "r-" + number},
                       {"wait", std::to_string(kWait.count())},
                       {"model", "m"},
                       {"parts", parts + " c" + number}};
    try {
      co_await rig.dispatcher.Serve(request, writer);
    } catch (const http::ConnectionCut&) {
      writer.cut = true;
    }
    co_return true;
  }

  void AddEngine() {
    const std::size_t number = rig.engines.size();
    rig.AddEngine(
        kDrafts,
        [this, number](const http::Request& request,
                       http::ResponseWriter& writer) -> core::Task<> {
          const std::string parts(*http::FindHeader(request.headers, "parts"));
          if (parts.find(kCrashingPart) != std::string::npos) {
            co_await Crash(number, request, writer);
          }
          const http::Handler serve =
              testing::Streaming({"id: 1\ndata: a\n\n"}, true);
          co_await serve(request, writer);
        });
  }

  core::Task<> Crash(std::size_t number, const http::Request& request,
                     http::ResponseWriter& writer) {
    ++reached;
    if (known_ && rig.clock.Now() > *known_ + kNewsTime) ++reached_later;
    if (reached == kCrashesToKnow) known_ = rig.clock.Now();
    rig.engines[number]->server.StopAccepting();
    if (options_.point == CrashPoint::kAfterHead) {
      http::ResponseHead head;
      head.headers.push_back({"genuine", "1"});
      head.headers.push_back(
          {"id", std::string(*http::FindHeader(request.headers, "id"))});
      co_await writer.Begin(head);
    }
    if (options_.restart_after) {
      core::Spawn(rig.io.get_executor(), rig.log, "restart",
                  [this]() -> core::Task<> {
                    co_await core::SleepFor(*options_.restart_after);
                    AddEngine();
                  });
    }
    throw http::ConnectionCut("crashed");
  }

  const FleetOptions options_;
  int requests_ = 0;
  std::optional<core::SteadyTime> known_;
};

void CheckFewWereSent(const CrashingFleet& fleet) {
  BOOST_TEST(fleet.reached <= kCrashesToKnow + kMaxLaterSends);
  BOOST_TEST(fleet.reached_later <= kMaxLaterSends);
}

}  // namespace

/** Guards against a part that crashes engine after engine because no two
 * requests with it are alike, and against refusing what only shares its other
 * parts. */
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsStoppedAndSoundRequestsAreServed) {
  for (const CrashPoint point :
       {CrashPoint::kBeforeHead, CrashPoint::kAfterHead}) {
    FleetOptions options;
    options.point = point;
    CrashingFleet fleet(options);
    for (int i = 0; i < 5; ++i) fleet.ServeSound();
    for (int i = 0; i < 20; ++i) {
      fleet.ServeCrashing();
      fleet.rig.Pass(kPause);
      fleet.ServeSound();
    }
    CheckFewWereSent(fleet);
    BOOST_TEST(fleet.sound_served == fleet.sound);
  }
}

/** Guards against blaming a part that all requests share: with no request
 * served before the crashes, nothing has cleared it yet. */
BOOST_AUTO_TEST_CASE(CommonPartThatWasNeverServedIsNotBlamed) {
  CrashingFleet fleet({});
  for (int i = 0; i < 20; ++i) {
    fleet.ServeCrashing();
    fleet.rig.Pass(kPause);
  }
  CheckFewWereSent(fleet);
  for (int i = 0; i < 5; ++i) fleet.ServeSound();
  BOOST_TEST(fleet.sound_served == fleet.sound);
}

/** Guards against requests that were admitted before a part was known and are
 * sent, or sent again, without another check. */
BOOST_AUTO_TEST_CASE(RequestsThatArriveTogetherAreCheckedBeforeEachSend) {
  CrashingFleet fleet({});
  fleet.ServeSound();
  const std::string crashing = kCommonPart + " " + kCrashingPart;
  fleet.ServeTogether(std::vector<std::string>(5, crashing));
  BOOST_TEST(fleet.reached <= kCrashesToKnow + kMaxLaterSends);
  const int reached = fleet.reached;
  for (int i = 0; i < 4; ++i) {
    fleet.ServeTogether(std::vector<std::string>(5, crashing));
  }
  BOOST_TEST(fleet.reached - reached <= kMaxLaterSends);
  fleet.ServeSound();
  BOOST_TEST(fleet.sound_served == fleet.sound);
}

/** Guards against forgetting a part because the engines that it crashed have
 * been replaced. */
BOOST_AUTO_TEST_CASE(PartStaysKnownWhileCrashedEnginesComeBack) {
  FleetOptions options;
  options.engines = 6;
  options.restart_after = milliseconds(200);
  CrashingFleet fleet(options);
  for (int i = 0; i < 30; ++i) {
    fleet.ServeCrashing();
    fleet.ServeSound();
    fleet.rig.Pass(milliseconds(100));
  }
  CheckFewWereSent(fleet);
  BOOST_TEST(fleet.sound_served >= fleet.sound - kCrashesToKnow);
}

/** Guards against refusing sound requests that were beginning in an engine as
 * another request crashed it. */
BOOST_AUTO_TEST_CASE(RequestsBesideACrashingOneAreServedElsewhere) {
  CrashingFleet fleet({});
  std::vector<std::string> all{kCommonPart + " " + kCrashingPart};
  for (int i = 0; i < 6; ++i) {
    all.push_back(kCommonPart + " 5e" + std::to_string(i));
  }
  fleet.ServeTogether(all);
  BOOST_TEST(fleet.served_together == 6);
  BOOST_TEST(fleet.reached <= 2);
}

}  // namespace sapphire::serving
