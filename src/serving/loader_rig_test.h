/** @file loader_rig_test.h A model loader with endpoints on loopback, for
 * tests. */
#ifndef SAPPHIRE_SERVING_LOADER_RIG_TEST_H_
#define SAPPHIRE_SERVING_LOADER_RIG_TEST_H_

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/testing_loop.h"
#include "serving/model_loader_base.h"

namespace sapphire::serving::testing {

inline constexpr std::int64_t kGigabyte = 1'000'000'000;
inline const core::ServiceId kService("drafts");
inline const core::ModelId kModel("m");
inline const core::RequestId kRequest("r");

/** The system clock, which can be set to advance at each reading. */
class AdvancingClock final : public core::Clock {
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

/** An endpoint process that never ends a load. */
struct TestEndpoint {
  TestEndpoint(boost::asio::io_context& io, const core::Clock& clock,
               const core::Logger& log, const std::string& listen)
      : links(
            io.get_executor(), Options(),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Answer(std::move(call), std::move(first));
            },
            link::NoVersions(), clock, log) {
    address = links.Listen(listen);
  }

  static link::LinkOptions Options() {
    link::LinkOptions options;
    options.self.role = gen::Role::ENDPOINT;
    return options;
  }

  core::Task<> Answer(std::shared_ptr<link::Call> /*call*/,
                      gen::Message first) {
    ++load_requests;
    last_load_request = std::move(first.ensure_model);
    if (refuses) {
      throw core::Error(core::ErrorCode::kNoCapacity, "busy",
                        milliseconds(9000));
    }
    co_await core::SleepFor(std::chrono::seconds(60));
  }

  link::LinkNode links;
  std::string address;
  int load_requests = 0;
  gen::EnsureModel last_load_request;
  /** Refuses each load request at once. */
  bool refuses = false;
};

/** A wire format of engines that are never queried for their load. */
class NullEngineWire final : public EngineWire {
 public:
  [[nodiscard]] http::Request Compose(const CallerRequest& request,
                                      const SendOptions&) const override {
    return request.forward;
  }
  [[nodiscard]] EngineAnswer Read(const http::ResponseHead&) const override {
    return {};
  }
  [[nodiscard]] http::Request StateRequest(
      const fleet::InstanceId&) const override {
    return {};
  }
  [[nodiscard]] EngineState ReadState(const http::Response&) const override {
    return {};
  }
};

/** An entry with one peer and one engine with its endpoint. */
struct LoaderRig {
  LoaderRig()
      : log({"entry", core::VmId("vm"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        registry(fleet::RegistryOptions(), clock, log),
        loads(loader_clock),
        peer_table("self", loads, loader_clock, log),
        links(io.get_executor(), link::LinkOptions(), nullptr,
              link::NoVersions(), clock, log),
        endpoint(io, clock, log, "127.0.0.1:0"),
        holders(loader_clock, log),
        calls({"127.0.0.1:2", PortOf(endpoint)}, nullptr, links, registry,
              holders, loader_clock, log),
        notices(
            "self", loads, registry, [this] { loader.changed().Notify(); },
            metrics, log),
        gauges(engine_wire, clients, registry, loads, notices,
               io.get_executor(), clock, log),
        finder(core::ZoneId("z"), registry, peer_table, loads, gauges,
               loader_clock),
        loader(finder, calls, peer_table, registry, loads, metrics,
               io.get_executor(), loader_clock, log) {
    service.id = kService;
    service.engine.emplace();
    service.engine->memory_bytes = 230 * kGigabyte;
    routing::ModelSpec& model = service.engine->models[kModel];
    model.id = kModel;
    model.bytes = 70 * kGigabyte;
    model.load_times = {milliseconds(1100), milliseconds(2000),
                        milliseconds(8600), milliseconds(30)};
    PutEngine(EngineAt("i-1", "127.0.0.1:1"));
    gen::EntryPresence other;
    other.address = "127.0.0.1:1";
    peer_table.SetEntries({{kOther, other}});
    // Time passes until every peer would have been heard from.
    loader_clock.Advance(std::chrono::seconds(6));
  }

  static fleet::EngineEntry EngineAt(const std::string& instance,
                                     const std::string& address) {
    fleet::EngineEntry engine;
    engine.instance = fleet::InstanceId(instance);
    engine.service = kService;
    engine.address = address;
    return engine;
  }

  void PutEngine(fleet::EngineEntry engine) {
    registry.Put(std::move(engine));
    loader.changed().Notify();
  }

  /** Changes the first engine's entry. */
  void ChangeEngine(const std::function<void(fleet::EngineEntry&)>& change) {
    fleet::EngineEntry engine = *registry.Find(fleet::InstanceId("i-1"));
    change(engine);
    PutEngine(std::move(engine));
  }

  /** Adds a second engine, which has the model on its disk. */
  std::unique_ptr<TestEndpoint> AddEndpointWithDiskCopy(
      const std::function<void(fleet::EngineEntry&)>& change =
          [](fleet::EngineEntry&) {}) {
    const std::size_t colon = endpoint.address.rfind(':');
    auto near = std::make_unique<TestEndpoint>(
        io, clock, log, "127.0.0.2" + endpoint.address.substr(colon));
    fleet::EngineEntry engine = EngineAt("i-2", "127.0.0.2:1");
    engine.copies.on_disk = {kModel};
    change(engine);
    PutEngine(std::move(engine));
    return near;
  }

  /** Sets the number of entries, this one included. */
  void SetEntries(int count) {
    std::map<std::string, gen::EntryPresence> others;
    for (int i = 1; i < count; ++i) {
      gen::EntryPresence other;
      other.address = fmt::format("127.0.1.{}:1", i);
      others.emplace(i == 1 ? kOther : fmt::format("entries/{}", i), other);
    }
    peer_table.SetEntries(others);
    // Time passes until every peer would have been heard from.
    loader_clock.Advance(std::chrono::seconds(6));
  }

  /** Receives a record of the other entry. */
  void ReceiveRecord(gen::EntryRecord record) {
    record.entry = kOther;
    record.number = ++records_received_;
    peer_table.ApplyRecord(record);
  }

  /** Receives a record in which the other entry has one more model loaded from
   * the weight store. */
  void ReceiveStoreLoad(const std::string& instance, const std::string& model,
                        milliseconds ready_in) {
    gen::ComingLoad load;
    load.engine_instance = instance;
    load.model = model;
    load.ready_in_ms = ready_in.count();
    load.from_weight_store = true;
    record_.loads.push_back(load);
    ReceiveRecord(record_);
  }

  static std::uint16_t PortOf(const TestEndpoint& endpoint) {
    const std::size_t colon = endpoint.address.rfind(':');
    return static_cast<std::uint16_t>(
        std::stoi(endpoint.address.substr(colon + 1)));
  }

  /** Waits until started load requests have reached the endpoints. */
  void Settle() { entry::testing::RunTask(io, Sleep(milliseconds(60))); }

  static core::Task<bool> Sleep(milliseconds time) {
    co_await core::SleepFor(time);
    co_return true;
  }

  static inline const std::string kOther = "entries/other";

  boost::asio::io_context io;
  AdvancingClock clock;
  core::ManualClock loader_clock;
  core::Logger log;
  fleet::EngineRegistry registry;
  fleet::EngineLoads loads;
  fleet::PeerTable peer_table;
  link::LinkNode links;
  TestEndpoint endpoint;
  fleet::EngineHolders holders;
  fleet::ControllerClient calls;
  EngineClients clients;
  NullEngineWire engine_wire;
  EngineNoticeRecorder notices;
  LoadGauges gauges;
  FrontMetrics metrics;
  ReplicaFinder finder;
  ModelLoader loader;
  routing::Service service;

 private:
  std::int64_t records_received_ = 0;
  gen::EntryRecord record_;
};

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_LOADER_RIG_TEST_H_
