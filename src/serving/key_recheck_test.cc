/** @file key_recheck_test.cc Tests of requests whose API key changes hands
 * while an engine has them. */
#define BOOST_TEST_MODULE key_recheck
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Answering;
using testing::kDrafts;
using testing::MakeOrganisation;
using testing::RecordingWriter;
using testing::Rig;
using testing::Streaming;
using testing::TestEngine;

constexpr milliseconds kWait{6000};
/** Silences after which a request is sent to another engine too: of a stream
 * that has begun, and of one that has not. */
constexpr milliseconds kLongPause{1900};
constexpr milliseconds kLongQueue{2700};
constexpr int kUnauthorised = 401;
constexpr int kUnavailable = 503;
const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";

/** Callers send the key "k2", which belongs to reels-ltd. */
struct KeyRig : Rig {
  KeyRig() {
    key = "k2";
    SetHolder("reels-ltd");
  }

  /** Puts a configuration into force in which this organisation has the key. */
  void SetHolder(const std::string& name) {
    organisations = {MakeOrganisation("drafts-ltd", "k1"),
                     MakeOrganisation(name, "k2")};
    Configure(3);
  }

  /** Puts a configuration into force that lacks the key. */
  void Revoke() {
    organisations = {MakeOrganisation("drafts-ltd", "k1")};
    Configure(3);
  }
};

/** Sends the part, if there is one, revokes the key if `revokes`, and breaks
 * off after a silence. */
http::Handler BreakingOff(KeyRig& rig, bool revokes, milliseconds silence,
                          std::string part) {
  return [&rig, revokes, silence, part = std::move(part)](
             const http::Request& request,
             http::ResponseWriter& writer) -> core::Task<> {
    if (!part.empty()) {
      http::ResponseHead head;
      head.headers.push_back({"genuine", "1"});
      head.headers.push_back(
          {"id", std::string(*http::FindHeader(request.headers, "id"))});
      co_await writer.Begin(head);
      co_await writer.Write(part);
    }
    if (revokes) rig.Revoke();
    co_await core::SleepFor(silence);
    throw http::ConnectionCut("test");
  };
}

/** @return The organisations that the engine was told, one a request. */
std::vector<std::string> OrganisationsOf(const TestEngine& engine) {
  std::vector<std::string> names;
  for (const http::Request& it : engine.requests) {
    names.emplace_back(
        http::FindHeader(it.headers, "organisation").value_or(""));
  }
  return names;
}

}  // namespace

/** Guards against a hedge that is sent without an organisation, 200 ms after it
 * was skipped for a revoked key. */
BOOST_AUTO_TEST_CASE(SilentStreamOfARevokedKeyIsNotHedged) {
  for (const bool is_revoked : {false, true}) {
    KeyRig rig;
    rig.AddEngine(kDrafts, BreakingOff(rig, is_revoked, kLongPause, kFirst));
    const TestEngine& other =
        rig.AddEngine(kDrafts, Streaming({kSecond}, true));
    RecordingWriter caller;
    rig.Serve("/stream/", kWait, caller);
    BOOST_TEST(other.requests.size() == (is_revoked ? 0U : 1U));
    BOOST_TEST(caller.body == (is_revoked ? kFirst : kFirst + kSecond));
    BOOST_TEST(caller.cut == is_revoked);
  }
}

/** Guards against the same before the first event of the stream. */
BOOST_AUTO_TEST_CASE(SilentRequestOfARevokedKeyIsNotHedged) {
  KeyRig rig;
  rig.AddEngine(kDrafts, BreakingOff(rig, true, kLongQueue, ""));
  const TestEngine& other =
      rig.AddEngine(kDrafts, Streaming({kFirst, kSecond}, true));
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  BOOST_TEST(other.requests.empty());
  BOOST_TEST(caller.status != 200);
}

/** Guards against a retry without an organisation of a request whose hedge was
 * skipped for a revoked key. */
BOOST_AUTO_TEST_CASE(RefusedRequestOfARevokedKeyIsNotRetried) {
  KeyRig rig;
  rig.AddEngine(kDrafts,
                [&rig, refuse = Answering(kUnavailable, true, "")](
                    const http::Request& request,
                    http::ResponseWriter& writer) -> core::Task<> {
                  rig.Revoke();
                  rig.listed_as_of = rig.clock.Now();
                  co_await core::SleepFor(kLongQueue);
                  co_await refuse(request, writer);
                });
  const TestEngine& other =
      rig.AddEngine(kDrafts, Streaming({kFirst, kSecond}, true));
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  BOOST_TEST(other.requests.empty());
  BOOST_TEST(caller.status == kUnauthorised);
}

/** Guards against a request that is sent without an organisation although its
 * key is allowed again. */
BOOST_AUTO_TEST_CASE(RequestOfAKeyThatIsAllowedAgainNamesItsOrganisation) {
  KeyRig rig;
  rig.AddEngine(
      kDrafts,
      [&rig](const http::Request&, http::ResponseWriter&) -> core::Task<> {
        rig.Revoke();
        co_await core::SleepFor(kLongQueue);
        rig.SetHolder("reels-ltd");
        throw http::ConnectionCut("test");
      });
  const TestEngine& other =
      rig.AddEngine(kDrafts, Streaming({kFirst, kSecond}, true));
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  BOOST_TEST_REQUIRE(other.requests.size() == 1U);
  BOOST_TEST(OrganisationsOf(other).front() == "reels-ltd");
}

/** Guards against an engine's rate that is used up by hedges that are skipped
 * every 200 ms, or by a retry, for a key that was revoked before. */
BOOST_AUTO_TEST_CASE(RequestOfARevokedKeyTakesNoneOfAnEnginesRate) {
  for (const bool is_revoked : {false, true}) {
    KeyRig rig;
    rig.AddEngine(kDrafts, BreakingOff(rig, is_revoked, kLongQueue, ""));
    rig.AddEngine(kDrafts, Streaming({kFirst, kSecond}, true));
    fleet::LimitNotice notice;
    notice.per_second = 1;
    rig.rate_limiter.Apply(fleet::InstanceId("i-2"), notice, rig.clock.Now());
    RecordingWriter caller;
    rig.Serve("/stream/", kWait, caller);
    BOOST_TEST((caller.status == 200) == !is_revoked);
    const bool is_asked = rig.metrics.Text({}).find(
                              "sapphire_front_engine_limit_decisions_total{") !=
                          std::string::npos;
    BOOST_TEST(is_asked == !is_revoked);
  }
}

/** Guards against a hedge that names the former holder of a key. */
BOOST_AUTO_TEST_CASE(HedgeNamesTheOrganisationThatHoldsTheKeyNow) {
  KeyRig rig;
  rig.AddEngine(
      kDrafts,
      [&rig](const http::Request&, http::ResponseWriter&) -> core::Task<> {
        rig.SetHolder("clips-ltd");
        co_await core::SleepFor(kLongQueue);
        throw http::ConnectionCut("test");
      });
  const TestEngine& other =
      rig.AddEngine(kDrafts, Streaming({kFirst, kSecond}, true));
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  BOOST_TEST_REQUIRE(other.requests.size() == 1U);
  BOOST_TEST(OrganisationsOf(other).front() == "clips-ltd");
}

}  // namespace sapphire::serving
