/** @file model_waker_test.cc Tests of wake-ups against endpoints on loopback.
 */
#define BOOST_TEST_MODULE model_waker
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/task_func.h"
#include "entry/testing_loop.h"
#include "serving/model_waker_base.h"

namespace sapphire::serving {

namespace {

constexpr std::int64_t kGigabyte = 1'000'000'000;
const core::ServiceId kService("drafts");
const core::ModelId kModel("m");
const core::RequestId kRequest("r");

/** The machine's clock; from a point on, time passes at each look at it. */
class AgeingClock final : public core::Clock {
 public:
  [[nodiscard]] core::SteadyTime Now() const override {
    passed_ += step;
    return system_.Now() + passed_;
  }
  [[nodiscard]] core::WallTime WallNow() const override {
    return system_.WallNow();
  }

  milliseconds step{0};

 private:
  core::SystemClock system_;
  mutable milliseconds passed_{0};
};

/** An endpoint process that reports what it is told and never ends a load. */
struct TestEndpoint {
  TestEndpoint(boost::asio::io_context& io, const core::Clock& clock,
               const core::Logger& log, const std::string& listen)
      : links(
            io.get_executor(), Options(),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Answer(std::move(call), std::move(first));
            },
            link::NoVersions(), clock, log) {
    report.engine_up = true;
    report.entries = 1;
    address = links.Listen(listen);
  }

  static link::LinkOptions Options() {
    link::LinkOptions options;
    options.self.role = gen::Role::ENDPOINT;
    return options;
  }

  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first) {
    if (first.__isset.ensure_model) {
      ++wishes;
      co_await core::SleepFor(std::chrono::seconds(60));
    }
    while (!call->ended()) {
      gen::Message message;
      message.__set_endpoint_report(report);
      co_await call->Send(std::move(message));
      co_await core::SleepFor(milliseconds(10));
    }
  }

  link::LinkNode links;
  gen::EndpointReport report;
  std::string address;
  int wishes = 0;
};

struct Rig {
  Rig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        registry(fleet::RegistryOptions(), clock, log),
        loads(clock),
        links(io.get_executor(), link::LinkOptions(), nullptr,
              link::NoVersions(), clock, log),
        endpoint(io, clock, log, "127.0.0.1:0"),
        feed(FeedOptions(endpoint), links, registry, loads, io.get_executor(),
             clock, log),
        finder(core::ZoneId("z"), registry, feed, loads, waker_clock),
        waker(finder, feed, registry, loads, metrics, io.get_executor(),
              waker_clock, log) {
    service.id = kService;
    service.engine.emplace();
    service.engine->memory_bytes = 230 * kGigabyte;
    routing::ModelSpec& model = service.engine->models[kModel];
    model.id = kModel;
    model.bytes = 70 * kGigabyte;
    model.load_times = {milliseconds(1100), milliseconds(2000),
                        milliseconds(8600), milliseconds(30)};
    AddEngine("i-1", "127.0.0.1:1");
    AwaitReports(3);
  }

  void AddEngine(const std::string& instance, const std::string& address) {
    fleet::EngineEntry engine;
    engine.instance = fleet::InstanceId(instance);
    engine.service = kService;
    engine.address = address;
    registry.Put(std::move(engine));
    feed.Follow(fleet::InstanceId(instance));
  }

  static fleet::FeedOptions FeedOptions(const TestEndpoint& endpoint) {
    fleet::FeedOptions options;
    const std::size_t colon = endpoint.address.rfind(':');
    options.link_port = static_cast<std::uint16_t>(
        std::stoi(endpoint.address.substr(colon + 1)));
    return options;
  }

  void AwaitReports(int count) {
    const std::uint64_t seen = feed.changed().epoch();
    entry::testing::RunUntil(
        io, [&] { return feed.changed().epoch() >= seen + count; });
  }

  boost::asio::io_context io;
  AgeingClock clock;
  core::ManualClock waker_clock;
  core::Logger log;
  fleet::EngineRegistry registry;
  fleet::EngineLoads loads;
  link::LinkNode links;
  TestEndpoint endpoint;
  fleet::EndpointFeed feed;
  FrontMetrics metrics;
  ReplicaFinder finder;
  ModelWaker waker;
  routing::Service service;
};

}  // namespace

/**
 * After everything was stopped, all callers of a busy model are refused for
 * 9 s: the first entry to be back knew one engine yet, without a copy, and had
 * the model loaded there from the weight store.
 */
BOOST_AUTO_TEST_CASE(AnEntryThatHasJustStartedDoesNotTurnToTheWeightStore) {
  Rig rig;
  const auto at_once = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*at_once < milliseconds(1000)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 0);
  rig.waker_clock.Advance(std::chrono::seconds(4));
  const auto later = rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST((*later == milliseconds(8600)));
  rig.AwaitReports(3);
  BOOST_TEST(rig.endpoint.wishes == 1);
}

/**
 * Callers of a model are refused for 9 s although an engine has it on its disk:
 * that engine was heard of after the load from the weight store had begun.
 */
BOOST_AUTO_TEST_CASE(ANearCopyOvertakesALoadFromTheWeightStore) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.waker.Wake(rig.service, kModel, kRequest);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(8600)));
  const std::size_t colon = rig.endpoint.address.rfind(':');
  TestEndpoint near(rig.io, rig.clock, rig.log,
                    "127.0.0.2" + rig.endpoint.address.substr(colon));
  near.report.disk_tier = {kModel.value()};
  rig.AddEngine("i-2", "127.0.0.2:1");
  entry::testing::RunUntil(rig.io, [&] {
    return rig.feed.Find(fleet::InstanceId("i-2")) != nullptr;
  });
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(2000)));
  rig.AwaitReports(3);
  BOOST_TEST(near.wishes == 1);
}

/**
 * An entry ends in the middle of its callers' streams.
 * The VM is slow: an endpoint's report is fresh as a wake-up begins to look at
 * the engines, and too old a moment later, in the same look.
 */
BOOST_AUTO_TEST_CASE(AReportThatAgesDuringTheChoiceIsBorne) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.clock.step = milliseconds(1000);
  const auto wakers = rig.finder.FindWakers(rig.service, kModel);
  BOOST_TEST(wakers.size() == 1);
}

/**
 * Callers of a busy model are refused for 16 s: rare models that are on no disk
 * any more are fetched in company, and the weight store serves four at once.
 */
BOOST_AUTO_TEST_CASE(RareModelsLeaveTheWeightStoreToBusyOnes) {
  Rig rig;
  rig.waker_clock.Advance(std::chrono::seconds(4));
  rig.endpoint.report.loading_model = "other";
  rig.AwaitReports(3);
  const std::size_t colon = rig.endpoint.address.rfind(':');
  TestEndpoint second(rig.io, rig.clock, rig.log,
                      "127.0.0.2" + rig.endpoint.address.substr(colon));
  second.report.loading_model = "another";
  rig.AddEngine("i-2", "127.0.0.2:1");
  entry::testing::RunUntil(rig.io, [&] {
    return rig.feed.Find(fleet::InstanceId("i-2")) != nullptr;
  });
  rig.waker.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) > milliseconds(16'000)));
  for (int i = 0; i < 10; ++i) rig.waker.NoteAsked(kModel);
  BOOST_TEST(
      (*rig.waker.Wake(rig.service, kModel, kRequest) == milliseconds(8600)));
}

}  // namespace sapphire::serving
