/** @file load_gauges_test.cc Tests of querying engines for their load. */
#define BOOST_TEST_MODULE load_gauges
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving {

namespace {

using testing::Answering;
using testing::kDrafts;
using testing::RecordingWriter;
using testing::Rig;
using testing::Silent;
using testing::Streaming;
using testing::TestEngine;

constexpr int kOk = 200;
constexpr milliseconds kWait{3000};

/** Streams a draft; reports this load when it is queried. */
http::Handler Busy(int running) {
  return [running](const http::Request& request,
                   http::ResponseWriter& writer) -> core::Task<> {
    if (request.target == "/load") {
      http::Response response =
          http::MakeResponse(kOk, "text/plain", std::to_string(running));
      co_await writer.Send(std::move(response));
      co_return;
    }
    const http::Handler stream = Streaming({"id: 1\n\n"}, true);
    co_await stream(request, writer);
  };
}

/** A rig with many peers that have requests in progress at the engines. */
struct LargeRig : Rig {
  /** Adds so many entries that their reports are seconds old. */
  void AddPeers(const std::vector<int>& running) {
    std::map<std::string, gen::EntryPresence> entries;
    for (int i = 0; i < 100; ++i) entries["e" + std::to_string(i)] = {};
    peer_table.SetEntries(entries);
    gen::EntryRecord record;
    record.entry = "e0";
    record.number = 1;
    for (std::size_t i = 0; i < running.size(); ++i) {
      gen::ResidentUse use;
      use.model = "m";
      use.running = running[i];
      gen::EngineUse at;
      at.engine_instance = "i-" + std::to_string(i + 1);
      at.parts.push_back(use);
      record.uses.push_back(at);
    }
    peer_table.ApplyRecord(record);
  }

  static int Drafts(const TestEngine& engine) {
    return static_cast<int>(std::ranges::count_if(
        engine.requests,
        [](const http::Request& it) { return it.target != "/load"; }));
  }
};

/** Answers each request with this text. */
http::Handler Reporting(std::string text) {
  return
      [text = std::move(text)](const http::Request&,
                               http::ResponseWriter& writer) -> core::Task<> {
        co_await writer.Send(http::MakeResponse(kOk, "text/plain", text));
      };
}

core::Task<bool> RefreshAll(LoadGauges& gauges,
                            std::vector<fleet::InstanceId> instances) {
  co_await gauges.Refresh(std::move(instances));
  co_return true;
}

}  // namespace

/** Guards against streams that pause on one engine while others are idle: a
 * hundred entries rely on reports that are seconds old and all send to the
 * engine that was idle then. Queried itself, it reports that it is busy now. */
BOOST_AUTO_TEST_CASE(EngineThatBecameBusyIsAvoided) {
  LargeRig rig;
  const TestEngine& filled = rig.AddEngine(kDrafts, Busy(20));
  const TestEngine& emptied = rig.AddEngine(kDrafts, Busy(1));
  rig.AddPeers({5, 7});
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.whole);
  BOOST_TEST(LargeRig::Drafts(filled) == 0);
  BOOST_TEST(LargeRig::Drafts(emptied) == 1);
}

/** Engines with hardly any work are not queried: the query costs more than it
 * helps. */
BOOST_AUTO_TEST_CASE(IdleEnginesAreNotQueried) {
  LargeRig rig;
  const TestEngine& first = rig.AddEngine(kDrafts, Busy(0));
  const TestEngine& second = rig.AddEngine(kDrafts, Busy(0));
  rig.AddPeers({1, 1});
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(first.requests.size() + second.requests.size() == 1);
}

/** In a small fleet peers' reports are recent, so no query is needed. */
BOOST_AUTO_TEST_CASE(NoEngineIsQueriedInASmallFleet) {
  Rig rig;
  const TestEngine& first = rig.AddEngine(kDrafts, Busy(9));
  const TestEngine& second = rig.AddEngine(kDrafts, Busy(9));
  for (int i = 0; i < 9; ++i) {
    for (const char* it : {"i-1", "i-2"}) {
      rig.loads.Begin(fleet::InstanceId(it),
                      {core::ModelId("m"), core::AdapterId()});
    }
  }
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(first.requests.size() + second.requests.size() == 1);
}

/** Guards against callers that wait for engines which do not answer a query. */
BOOST_AUTO_TEST_CASE(SilentEngineDelaysNoRequest) {
  LargeRig rig;
  rig.AddEngine(kDrafts, Silent());
  const TestEngine& sound = rig.AddEngine(kDrafts, Busy(1));
  rig.AddPeers({9, 6});
  RecordingWriter writer;
  const auto began = rig.clock.Now();
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST((rig.clock.Now() - began < milliseconds(1000)));
  BOOST_TEST(LargeRig::Drafts(sound) == 1);
}

/**
 * Guards against callers that are refused, or wait for a load, beside an engine
 * that has their model. The store is unavailable to this entry for seconds, so
 * it misses loads and unloads; meanwhile it polls the engines. While the store
 * answers, no engine is polled.
 */
BOOST_AUTO_TEST_CASE(EntryWithoutTheStorePollsTheEngines) {
  Rig rig;
  const http::Handler changed =
      [](const http::Request&, http::ResponseWriter& writer) -> core::Task<> {
    co_await writer.Send(http::MakeResponse(kOk, "text/plain", "3 other"));
  };
  const TestEngine& first = rig.AddEngine(kDrafts, changed);
  const TestEngine& second = rig.AddEngine(kDrafts, changed);
  const TestEngine& plain = rig.AddEngine(testing::kPlain, changed);
  fleet::EngineEntry without = *rig.registry.Find(fleet::InstanceId("i-3"));
  without.models.clear();
  rig.registry.Put(without);
  bool store_failing = false;
  core::Spawn(rig.io.get_executor(), rig.log, "ask",
              [&] { return rig.gauges.Poll([&] { return store_failing; }); });
  rig.Pass(milliseconds(300));
  BOOST_TEST(first.requests.empty());
  store_failing = true;
  rig.Pass(milliseconds(600));
  for (const char* it : {"i-1", "i-2"}) {
    const fleet::EngineEntry* engine = rig.registry.Find(fleet::InstanceId(it));
    BOOST_REQUIRE(engine->models.size() == 1);
    BOOST_TEST(engine->models.front().model.value() == "other");
  }
  // One query every 50 ms, however many engines there are.
  BOOST_TEST(first.requests.size() + second.requests.size() <= 13);
  BOOST_TEST(plain.requests.empty());
}

/** Guards against polls of an engine that has asked to be left alone. */
BOOST_AUTO_TEST_CASE(RestingEngineIsNotPolled) {
  Rig rig;
  const TestEngine& resting = rig.AddEngine(kDrafts, Busy(1));
  const TestEngine& other = rig.AddEngine(kDrafts, Busy(1));
  fleet::EngineNotice rest;
  rest.rest = milliseconds(10'000);
  rig.loads.notices().Apply(fleet::InstanceId("i-1"), rest, milliseconds(0));
  core::Spawn(rig.io.get_executor(), rig.log, "ask",
              [&] { return rig.gauges.Poll([] { return true; }); });
  constexpr int kMaxSteps = 50;
  for (int i = 0; i < kMaxSteps && other.requests.size() < 4; ++i) {
    rig.Pass(milliseconds(100));
  }
  BOOST_TEST(resting.requests.empty());
  BOOST_TEST(!other.requests.empty());
}

/** Guards against an entry that fills its memory with what engines in trouble
 * answer to its queries. */
BOOST_AUTO_TEST_CASE(LongStateIsNotRead) {
  Rig rig;
  rig.AddEngine(kDrafts, Reporting("5"));
  rig.AddEngine(kDrafts,
                Reporting("5" + std::string(http::kMaxStateBytes, ' ')));
  const fleet::InstanceId sound("i-1");
  const fleet::InstanceId broken("i-2");
  entry::testing::RunTask(rig.io, RefreshAll(rig.gauges, {sound, broken}));
  BOOST_TEST((rig.gauges.Find(sound) != nullptr));
  BOOST_TEST((rig.gauges.Find(broken) == nullptr));
}

}  // namespace sapphire::serving
