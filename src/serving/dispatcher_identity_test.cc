/** @file dispatcher_identity_test.cc Tests of API keys and quotas in the
 * dispatcher. */
#define BOOST_TEST_MODULE dispatcher_identity
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Answering;
using testing::kPlain;
using testing::MakeOrganisation;
using testing::RecordingWriter;
using testing::Rig;
using testing::TestEngine;

constexpr milliseconds kWait{3000};
constexpr int kOk = 200;
constexpr int kUnauthorised = 401;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

/** Two organisations and an engine that answers. */
struct IdentityRig : Rig {
  IdentityRig() {
    organisations = {MakeOrganisation("drafts-ltd", "k1"),
                     MakeOrganisation("reels-ltd", "k2")};
    Configure(2);
  }

  /** Puts the newest configuration into the store. */
  core::Task<bool> PutConfiguration() {
    co_await store.CompareAndSwap("config", 0, "newest", "");
    co_return true;
  }

  void Publish() { entry::testing::RunTask(io, PutConfiguration()); }

  int Status(const std::string& path, const std::string& with_key) {
    key = with_key;
    RecordingWriter caller;
    Serve(path, kWait, caller);
    return caller.status;
  }
};

/** Makes the change, then refuses the request as not run. */
http::Handler RefusingAfter(std::function<void()> change) {
  return
      [change = std::move(change), refuse = Answering(kUnavailable, true, "")](
          const http::Request& request, http::ResponseWriter& writer) {
        change();
        return refuse(request, writer);
      };
}

std::string FieldOf(const http::Request& request, const char* name) {
  return std::string(http::FindHeader(request.headers, name).value_or(""));
}

}  // namespace

BOOST_AUTO_TEST_CASE(EngineReceivesTheOrganisationOfTheKey) {
  IdentityRig rig;
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "k2") == kOk);
  BOOST_REQUIRE(engine.requests.size() == 1);
  BOOST_TEST(FieldOf(engine.requests.front(), "organisation") == "reels-ltd");
}

BOOST_AUTO_TEST_CASE(RequestsWithoutAKnownKeyAreRejected) {
  IdentityRig rig;
  rig.Publish();
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "") == kUnauthorised);
  BOOST_TEST(rig.Status("/safe/", "k3") == kUnauthorised);
  BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_CASE(APublicRouteNeedsNoKey) {
  IdentityRig rig;
  rig.Publish();
  rig.public_prefix = "/safe/";
  rig.Configure(2);
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "") == kOk);
  BOOST_TEST(rig.Status("/safe/", "k3") == kOk);
  BOOST_TEST(FieldOf(engine.requests.back(), "organisation").empty());
  BOOST_TEST(rig.Status("/once/", "") == kUnauthorised);
}

/** Guards against a new customer that is rejected by an entry which has not
 * seen the newest configuration yet. */
BOOST_AUTO_TEST_CASE(AnUnknownKeyIsLookedUpInTheNewestConfiguration) {
  IdentityRig rig;
  rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  rig.Publish();
  rig.reread = [&rig] {
    rig.organisations->push_back(MakeOrganisation("new-ltd", "k3"));
    rig.Configure(2);
  };
  BOOST_TEST(rig.Status("/safe/", "k3") == kOk);
}

/** Guards against calls to the store that callers with random keys cause. */
BOOST_AUTO_TEST_CASE(RandomKeysCauseOneReadOfTheStore) {
  IdentityRig rig;
  int reads = 0;
  rig.Publish();
  rig.reread = [&reads] { ++reads; };
  const core::SteadyTime began = rig.clock.Now();
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(rig.Status("/safe/", "r" + std::to_string(i)) == kUnauthorised);
  }
  // One a second.
  const auto took =
      std::chrono::duration_cast<std::chrono::seconds>(rig.clock.Now() - began);
  BOOST_TEST(reads >= 1);
  BOOST_TEST(reads <= 1 + took.count());
}

/** Guards against a false "unknown key" while the newest configuration can't be
 * read. */
BOOST_AUTO_TEST_CASE(UnknownKeyIsNotRejectedWhileTheStoreIsDown) {
  IdentityRig rig;
  rig.store.down = true;
  BOOST_TEST(rig.Status("/safe/", "k3") == kUnavailable);
}

/** Guards against a revoked key that is served, or that causes a call to the
 * store for each request. */
BOOST_AUTO_TEST_CASE(RevokedKeysCauseOneReadOfTheStore) {
  IdentityRig rig;
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  int reads = 0;
  rig.Publish();
  rig.reread = [&reads] { ++reads; };
  rig.organisations = {MakeOrganisation("drafts-ltd", "k1")};
  rig.Configure(2);
  const core::SteadyTime began = rig.clock.Now();
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(rig.Status("/safe/", "k2") == kUnauthorised);
  }
  BOOST_TEST(engine.requests.empty());
  // One a second.
  const auto took =
      std::chrono::duration_cast<std::chrono::seconds>(rig.clock.Now() - began);
  BOOST_TEST(reads <= 1 + took.count());
}

/** Guards against a final denial of a key that was revoked and is allowed again
 * by a change that this entry has not got, however current its view is by the
 * answers of its watches. */
BOOST_AUTO_TEST_CASE(RevokedKeyIsLookedUpAgain) {
  for (const milliseconds age : {milliseconds(0), milliseconds(2500)}) {
    IdentityRig rig;
    rig.AddEngine(kPlain, Answering(kOk, false, "x"));
    rig.Publish();
    rig.organisations = {MakeOrganisation("drafts-ltd", "k1")};
    rig.Configure(2);
    rig.view_as_of = rig.clock.Now() - age;
    rig.store.down = true;
    BOOST_TEST(rig.Status("/safe/", "k2") == kUnavailable);
    rig.Pass(milliseconds(1100));
    rig.store.down = false;
    rig.view_as_of = rig.clock.Now() - age;
    rig.reread = [&rig] {
      rig.organisations->push_back(MakeOrganisation("reels-ltd", "k2"));
      rig.Configure(2);
    };
    BOOST_TEST(rig.Status("/safe/", "k2") == kOk);
  }
}

/** Guards against a retry for a key that was revoked since the first send, and
 * against a final denial by a configuration that may not be the newest one. */
BOOST_AUTO_TEST_CASE(ARequestOfARevokedKeyIsNotSentAgain) {
  for (const bool is_confirmed : {true, false}) {
    IdentityRig rig;
    rig.AddEngine(kPlain, RefusingAfter([&rig, is_confirmed] {
                    rig.organisations = {MakeOrganisation("drafts-ltd", "k1")};
                    rig.Configure(2);
                    rig.view_as_of = rig.clock.Now();
                    if (is_confirmed) rig.listed_as_of = rig.view_as_of;
                  }));
    TestEngine& other = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
    BOOST_TEST(rig.Status("/safe/", "k2") ==
               (is_confirmed ? kUnauthorised : kUnavailable));
    BOOST_TEST(other.requests.empty());
  }
}

/** Guards against a retry by a route that needs a key since the first send, or
 * that was dropped after that. */
BOOST_AUTO_TEST_CASE(ARouteThatIsMadePrivateNeedsAKeyForARetry) {
  for (const bool is_dropped : {false, true}) {
    IdentityRig rig;
    rig.public_prefix = "/safe/";
    rig.Configure(2);
    rig.AddEngine(kPlain, RefusingAfter([&rig, is_dropped] {
                    rig.public_prefix = "";
                    rig.Configure(2);
                    rig.lacks_routes = is_dropped;
                    rig.Configure(2);
                  }));
    TestEngine& other = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
    BOOST_TEST(rig.Status("/safe/", "k3") == kUnavailable);
    BOOST_TEST(other.requests.empty());
  }
}

/** Guards against a retry without an organisation at the service of the former
 * route, which needed a key. */
BOOST_AUTO_TEST_CASE(ARouteThatIsMadePublicDoesNotReplaceARevokedKey) {
  IdentityRig rig;
  rig.AddEngine(kPlain, RefusingAfter([&rig] {
                  rig.public_prefix = "/safe/";
                  rig.organisations = {MakeOrganisation("drafts-ltd", "k1")};
                  rig.Configure(2);
                }));
  TestEngine& other = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "k2") == kUnavailable);
  BOOST_TEST(other.requests.empty());
  BOOST_TEST(rig.Status("/safe/", "k2") == kOk);
}

/** Guards against an engine that is handed the key of an organisation, or is
 * told an organisation whose key was revoked before. */
BOOST_AUTO_TEST_CASE(AKeyIsNotPassedOnAfterOrganisationsAreDropped) {
  for (const bool is_revoked : {false, true}) {
    IdentityRig rig;
    rig.AddEngine(kPlain, RefusingAfter([&rig, is_revoked] {
                    if (is_revoked) rig.organisations.emplace();
                    rig.Configure(2);
                    rig.organisations.reset();
                    rig.Configure(2);
                  }));
    TestEngine& other = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
    BOOST_TEST(rig.Status("/safe/", "k2") == kUnavailable);
    BOOST_TEST(other.requests.empty());
    BOOST_TEST(rig.Status("/safe/", "k2") == kOk);
    BOOST_TEST(FieldOf(other.requests.back(), "credentials") == "1");
  }
}

/** Guards against a request that loses its route, or needs no key any more, as
 * its route is dropped. */
BOOST_AUTO_TEST_CASE(ARequestOfADroppedRouteStillNeedsItsKey) {
  for (const bool is_revoked : {false, true}) {
    IdentityRig rig;
    rig.AddEngine(kPlain, RefusingAfter([&rig, is_revoked] {
                    rig.lacks_routes = true;
                    if (is_revoked) rig.organisations->pop_back();
                    rig.Configure(2);
                  }));
    TestEngine& other = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
    BOOST_TEST(rig.Status("/safe/", "k2") == (is_revoked ? kUnavailable : kOk));
    BOOST_TEST(other.requests.size() == (is_revoked ? 0U : 1U));
  }
}

/** Guards against revoked keys that are served while the store is unavailable.
 */
BOOST_AUTO_TEST_CASE(StrictRevocationRefusesUnconfirmedKeys) {
  IdentityRig rig;
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  rig.keys_confirmed = false;
  BOOST_TEST(rig.Status("/safe/", "k1") == kUnavailable);
  BOOST_TEST(engine.requests.empty());
}

/** Guards against a retry by a key that can't be confirmed any more. */
BOOST_AUTO_TEST_CASE(StrictRevocationRefusesRetriesOfUnconfirmedKeys) {
  IdentityRig rig;
  rig.AddEngine(kPlain, RefusingAfter([&rig] { rig.keys_confirmed = false; }));
  TestEngine& other = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "k1") == kUnavailable);
  BOOST_TEST(other.requests.empty());
}

BOOST_AUTO_TEST_CASE(OrganisationRankOverridesRouteRank) {
  IdentityRig rig;
  rig.organisations->front().rank = 3;
  rig.Configure(2);
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  rig.Status("/safe/", "k1");
  rig.Status("/safe/", "k2");
  BOOST_TEST(FieldOf(engine.requests.front(), "rank") == "3");
  BOOST_TEST(FieldOf(engine.requests.back(), "rank") == "0");
}

BOOST_AUTO_TEST_CASE(RequestsOverTheQuotaAreRefused) {
  IdentityRig rig;
  rig.organisations->front().quota.per_second = 0.01;
  rig.Configure(2);
  TestEngine& engine = rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "k1") == kOk);
  BOOST_TEST(rig.Status("/safe/", "k1") == kTooMany);
  BOOST_TEST(rig.Status("/safe/", "k2") == kOk);
  BOOST_TEST(engine.requests.size() == 2);
}

/** Guards against quota that is lost to requests that no engine ran. */
BOOST_AUTO_TEST_CASE(ARequestThatDidNotRunIsNotCharged) {
  IdentityRig rig;
  rig.organisations->front().quota.per_second = 0.01;
  rig.Configure(1);
  rig.AddEngine(kPlain, Answering(kUnavailable, true, ""));
  BOOST_TEST(rig.Status("/once/", "k1") == kUnavailable);
  BOOST_TEST(rig.Status("/once/", "k1") == kUnavailable);
}

/** Guards against units that are given back to nobody, or to another
 * organisation than the one that was charged, as the key changed hands. */
BOOST_AUTO_TEST_CASE(UnitsReturnToTheOrganisationThatWasCharged) {
  for (const std::string holder : {"drafts-ltd", "reels-ltd", ""}) {
    IdentityRig rig;
    rig.organisations->front().quota.per_second = 0.01;
    rig.Configure(2);
    const core::OrganisationId drafts("drafts-ltd");
    double charged_level = 0;
    rig.AddEngine(kPlain, RefusingAfter([&] {
                    charged_level = rig.quota.LevelOf(drafts);
                    rig.organisations = {
                        MakeOrganisation(holder.empty() ? "clips-ltd" : holder,
                                         holder.empty() ? "k3" : "k1")};
                    rig.Configure(2);
                    rig.listed_as_of = rig.clock.Now();
                  }));
    rig.AddEngine(kPlain, Answering(kUnavailable, true, ""));
    BOOST_TEST(rig.Status("/once/", "k1") ==
               (holder.empty() ? kUnauthorised : kUnavailable));
    BOOST_TEST(rig.quota.LevelOf(drafts) == charged_level + 1);
  }
}

/** Guards against a retry that is charged like a further request. */
BOOST_AUTO_TEST_CASE(ARetryIsChargedOnce) {
  IdentityRig rig;
  rig.organisations->front().quota.per_second = 0.5;
  rig.organisations->front().quota.burst = 0;
  rig.Configure(2);
  rig.AddEngine(kPlain, Answering(kUnavailable, true, ""));
  rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  BOOST_TEST(rig.Status("/safe/", "k1") == kOk);
  rig.Pass(milliseconds(2100));
  BOOST_TEST(rig.Status("/safe/", "k1") == kOk);
}

}  // namespace sapphire::serving
