/** @file unknown_route_test.cc Tests of requests for routes, models and keys
 * that this entry's configuration lacks. */
#define BOOST_TEST_MODULE unknown_route
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Answering;
using testing::kDrafts;
using testing::kPlain;
using testing::RecordingWriter;
using testing::Rig;

constexpr milliseconds kWait{3000};
constexpr int kOk = 200;
constexpr int kUnauthorised = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** An entry whose configuration lacks what the store's newest one has. */
struct BehindRig : Rig {
  BehindRig() : newest(configuration.current()->configuration()) {
    AddEngine(kPlain, Answering(kOk, false, "x"));
    entry::testing::RunTask(io, Publish());
    reread = [this] {
      ++reads;
      if (store_has_newest) Adopt(newest);
    };
  }

  void Adopt(routing::Configuration next) {
    next.version = configuration.version() + 1;
    configuration.Adopt(std::move(next));
  }

  void LackRoute(const std::string& prefix) {
    routing::Configuration old = newest;
    std::erase_if(old.routes, [&prefix](const routing::Route& it) {
      return it.prefix == prefix;
    });
    Adopt(std::move(old));
  }

  void LackModels() {
    routing::Configuration old = newest;
    for (auto& [id, service] : old.services) {
      if (service.engine) service.engine->models.clear();
    }
    Adopt(std::move(old));
  }

  core::Task<bool> Publish() {
    co_await store.CompareAndSwap("config", 0, "newest", "");
    co_return true;
  }

  int Status(const std::string& path) {
    RecordingWriter caller;
    Serve(path, kWait, caller);
    return caller.status;
  }

  routing::Configuration newest;
  bool store_has_newest = true;
  int reads = 0;
};

}  // namespace

/** Guards against 404 from an entry that is behind the store by its own word.
 */
BOOST_AUTO_TEST_CASE(LateEntryRefusesAnUnknownRoute) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  rig.view_is_late = true;
  BOOST_TEST(rig.Status("/safe/") == kUnavailable);
}

/** Guards against 404 for a route that was added a moment ago. */
BOOST_AUTO_TEST_CASE(ANewRouteIsReadFromTheStore) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  BOOST_TEST(rig.Status("/safe/") == kOk);
}

/** Guards against 404 for a route that was added while the store can't be
 * read. */
BOOST_AUTO_TEST_CASE(AnUnknownRouteIsRefusedWhileTheStoreIsDown) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  rig.store.down = true;
  BOOST_TEST(rig.Status("/safe/") == kUnavailable);
}

/** Guards against 404 for a route of a configuration that this entry can't
 * read. */
BOOST_AUTO_TEST_CASE(AnUnknownRouteIsRefusedWhileTheNewestIsUnreadable) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  rig.newest_is_readable = false;
  BOOST_TEST(rig.Status("/safe/") == kUnavailable);
}

/** Guards against an old read that counts as evidence for a later request. */
BOOST_AUTO_TEST_CASE(ARouteAddedAfterAReadIsFound) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  rig.store_has_newest = false;
  BOOST_TEST(rig.Status("/never/") == kNotFound);
  rig.store_has_newest = true;
  rig.Pass(milliseconds(1500));
  BOOST_TEST(rig.Status("/safe/") == kOk);
}

/** Guards against a listing of the store that is old as evidence that a route
 * does not exist. */
BOOST_AUTO_TEST_CASE(AnOldListingIsNoEvidence) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  rig.listed_as_of = rig.clock.Now() - milliseconds(1500);
  BOOST_TEST(rig.Status("/safe/") == kOk);
  BOOST_TEST(rig.reads == 1);
}

/** Guards against watches as evidence that a route does not exist: one may have
 * left a change out, however current the view is by its answers. */
BOOST_AUTO_TEST_CASE(ACurrentViewIsNoEvidence) {
  BehindRig rig;
  rig.LackRoute("/safe/");
  rig.view_as_of = rig.clock.Now();
  BOOST_TEST(rig.Status("/safe/") == kOk);
  BOOST_TEST(rig.reads == 1);
}

/** Guards against calls to the store for what a listing already tells. */
BOOST_AUTO_TEST_CASE(ACurrentListingNeedsNoRead) {
  BehindRig rig;
  rig.store_has_newest = false;
  rig.listed_as_of = rig.clock.Now();
  BOOST_TEST(rig.Status("/never/") == kNotFound);
  BOOST_TEST(rig.reads == 0);
}

/** Guards against an answer by a configuration that has been replaced while the
 * store was asked: the request must not refer to it any more. */
BOOST_AUTO_TEST_CASE(AViewThatBecomesLateDuringTheReadRefuses) {
  BehindRig rig;
  rig.LackModels();
  rig.reread = [&rig] {
    rig.Adopt(rig.newest);
    rig.view_is_late = true;
  };
  BOOST_TEST(rig.Status("/stream/") == kUnavailable);
}

/** Guards against 404 for a model that was added a moment ago. */
BOOST_AUTO_TEST_CASE(ANewModelIsReadFromTheStore) {
  BehindRig rig;
  rig.LackModels();
  BOOST_TEST(rig.Status("/stream/") != kNotFound);
  BOOST_TEST(rig.reads == 1);
}

BOOST_AUTO_TEST_CASE(AnUnknownModelIsRefusedWhileTheStoreIsDown) {
  BehindRig rig;
  rig.LackModels();
  rig.store.down = true;
  BOOST_TEST(rig.Status("/stream/") == kUnavailable);
}

/** Guards against 404 for a route whose service the same configuration lacks:
 * that is never the caller's fault. */
BOOST_AUTO_TEST_CASE(ARouteToAMissingServiceIsRefused) {
  BehindRig rig;
  routing::Configuration broken = rig.newest;
  broken.services.erase(kPlain);
  rig.Adopt(std::move(broken));
  rig.store_has_newest = false;
  BOOST_TEST(rig.Status("/safe/") == kUnavailable);
}

/** Guards against a denial for the lack of a model by which the caller's route
 * has come to be served, after a read for its key. */
BOOST_AUTO_TEST_CASE(ARouteThatMovesToAModelServiceDuringTheReadKeepsTheModel) {
  BehindRig rig;
  organisation::Organisation customer;
  customer.id = core::OrganisationId("drafts-ltd");
  rig.organisations = {customer};
  rig.Configure(2);
  customer.keys.emplace_back("k1");
  rig.newest.organisations = {customer};
  for (routing::Route& it : rig.newest.routes) it.services = {{kDrafts, 1}};
  rig.key = "k1";
  BOOST_TEST(rig.Status("/safe/") != kNotFound);
  BOOST_TEST(rig.reads == 1);
}

/** Guards against 401 for a key that was added after a read for another one.
 */
BOOST_AUTO_TEST_CASE(AKeyAddedAfterAReadIsFound) {
  BehindRig rig;
  organisation::Organisation customer;
  customer.id = core::OrganisationId("drafts-ltd");
  customer.keys.emplace_back("k1");
  rig.organisations = {customer};
  rig.Configure(2);
  rig.store_has_newest = false;
  rig.key = "k9";
  BOOST_TEST(rig.Status("/safe/") == kUnauthorised);
  customer.keys.emplace_back("k2");
  rig.newest.organisations = {customer};
  rig.store_has_newest = true;
  rig.Pass(milliseconds(1500));
  rig.key = "k2";
  BOOST_TEST(rig.Status("/safe/") == kOk);
}

/** Guards against callers with random paths that cause a call to the store
 * each. */
BOOST_AUTO_TEST_CASE(RandomRoutesCauseFewReads) {
  BehindRig rig;
  rig.store_has_newest = false;
  int denied = 0;
  const core::SteadyTime began = rig.clock.Now();
  for (int i = 0; i < 50; ++i) {
    denied += rig.Status("/r" + std::to_string(i) + "/") == kNotFound ? 1 : 0;
  }
  BOOST_TEST(denied == 50);
  const auto took =
      std::chrono::duration_cast<std::chrono::seconds>(rig.clock.Now() - began);
  BOOST_TEST(rig.reads <= 1 + took.count());
}

}  // namespace sapphire::serving
