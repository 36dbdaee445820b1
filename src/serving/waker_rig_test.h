/** @file waker_rig_test.h Wake-ups against endpoints on loopback, for tests. */
#ifndef SAPPHIRE_SERVING_WAKER_RIG_TEST_H_
#define SAPPHIRE_SERVING_WAKER_RIG_TEST_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/task_func.h"
#include "entry/testing_loop.h"
#include "serving/model_waker_base.h"

namespace sapphire::serving::testing {

inline constexpr std::int64_t kGigabyte = 1'000'000'000;
inline const core::ServiceId kService("drafts");
inline const core::ModelId kModel("m");
inline const core::RequestId kRequest("r");

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
               const core::Logger& logger, const std::string& listen)
      : executor(io.get_executor()),
        log(logger),
        links(
            io.get_executor(), Options(),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Answer(std::move(call), std::move(first));
            },
            link::NoVersions(), clock, logger) {
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
    core::Spawn(executor, log, "take_usage",
                [this, call] { return TakeUsage(call); });
    while (!call->ended()) {
      gen::Message message;
      message.__set_endpoint_report(report);
      co_await call->Send(std::move(message));
      co_await core::SleepFor(milliseconds(10));
    }
  }

  core::Task<> TakeUsage(std::shared_ptr<link::Call> call) {
    while (!call->ended()) {
      const gen::Message message =
          co_await call->Receive(std::chrono::seconds(60));
      if (message.__isset.usage_report) ++usages;
    }
  }

  const core::Executor executor;
  const core::Logger& log;
  link::LinkNode links;
  gen::EndpointReport report;
  std::string address;
  int wishes = 0;
  /** Reports of use that came. */
  int usages = 0;
};

struct WakerRig {
  WakerRig()
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

  /** A second engine, whose endpoint has the model on its disk. */
  std::unique_ptr<TestEndpoint> AddNearEndpoint() {
    const std::size_t colon = endpoint.address.rfind(':');
    auto near = std::make_unique<TestEndpoint>(
        io, clock, log, "127.0.0.2" + endpoint.address.substr(colon));
    near->report.disk_tier = {kModel.value()};
    AddEngine("i-2", "127.0.0.2:1");
    entry::testing::RunUntil(
        io, [&] { return feed.Find(fleet::InstanceId("i-2")) != nullptr; });
    return near;
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

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_WAKER_RIG_TEST_H_
