/** @file endpoint.cc The endpoint process, which controls the engine on its VM.
 */
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "orders/endpoint_base.h"
#include "routing/document_hooks_func.h"

namespace sapphire::orders {

namespace {

/** How long to wait for a holder's response before it is asked again. */
constexpr std::chrono::milliseconds kReleaseTimeout{1500};
/** How much older than two waits the view may become: a call's timeout, a retry
 * and a listing. */
constexpr std::chrono::seconds kViewReserve{10};

link::LinkOptions LinkOptionsOf(const EndpointOptions& options) {
  link::LinkOptions links;
  links.self.vm = options.vm.value();
  links.self.zone = options.zone.value();
  links.self.role = gen::Role::ENDPOINT;
  links.self.incarnation = core::RandomPositive();
  links.max_accepted_links = options.max_links;
  return link::WithSmallLimits(std::move(links));
}

/**
 * @return The address under which the engine registers: that of this VM, even
 *   if this process reaches the engine by another one.
 */
std::string RegisteredAddress(const std::string& engine,
                              const std::string& link_listen) {
  return link_listen.substr(0, link_listen.rfind(':')) +
         engine.substr(engine.rfind(':'));
}

EndpointOptions WithRegisteredAddress(EndpointOptions options) {
  options.controller.engine_address =
      RegisteredAddress(options.controller.engine_address, options.link_listen);
  return options;
}

LeaseOptions LeaseOptionsOf(const EndpointOptions& options) {
  LeaseOptions leases = options.leases;
  leases.self.vm = options.vm.value();
  leases.self.address = options.link_listen;
  return leases;
}

routing::FollowOptions FollowOptionsOf(const EndpointOptions& options) {
  routing::FollowOptions follow;
  follow.prefix = options.configuration_key;
  // In calm the view is up to two waits old, as an answer tells of the time of
  // its call.
  follow.late_after = 2 * follow.watch_wait + kViewReserve;
  return follow;
}

}  // namespace

Endpoint::Endpoint(const core::Executor& executor, EndpointOptions options,
                   routing::ReadConfiguration read_configuration,
                   EnginePort& engine, external::KeyValueStore& store,
                   const core::Clock& clock, const core::Logger& log)
    : options_(WithRegisteredAddress(std::move(options))),
      read_configuration_(std::move(read_configuration)),
      executor_(executor),
      log_(log),
      store_(
          store,
          [this](const external::StoreCall& call) { metrics_.StoreCall(call); },
          clock),
      leases_(
          LeaseOptionsOf(options_),
          [this](const gen::EngineHolder& holder, const std::string& address) {
            return RequestRelease(holder, address);
          },
          store_, clock, log),
      controller_(options_.controller, engine, leases_, configuration_,
                  metrics_, clock, log),
      service_(ServiceCallbacks(), clock),
      links_(
          executor, LinkOptionsOf(options_),
          [this](std::shared_ptr<link::Call> call, gen::Message first) {
            return service_.HandleCall(std::move(call), std::move(first));
          },
          link::NoVersions(), clock, log),
      follower_(FollowOptionsOf(options_), {Hooks()}, store_, clock, log),
      metrics_server_(
          executor, options_.metrics_listen, http::MonitoringLimits(),
          [this](const http::Request&, http::ResponseWriter& writer) {
            return HandleMetricsRequest(writer);
          },
          log) {}

void Endpoint::Start() {
  links_.Listen(options_.link_listen);
  metrics_server_.Start();
  core::Spawn(executor_, log_, "follow_configuration",
              [this] { return follower_.Run(); });
  core::Spawn(executor_, log_, "look_at_engine",
              [this] { return controller_.Run(); });
  leases_.RequestLease(options_.controller.engine_address);
  core::Spawn(executor_, log_, "keep_leases", [this] { return leases_.Run(); });
}

OrderServiceCallbacks Endpoint::ServiceCallbacks() {
  OrderServiceCallbacks callbacks;
  callbacks.find = [this](const fleet::InstanceId&) {
    // The controller lives as long as the calls.
    return std::shared_ptr<EngineController>(std::shared_ptr<void>(),
                                             &controller_);
  };
  callbacks.release = [](std::string engine) -> core::Task<> {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      engine + " is ordered from beside it");
    co_return;
  };
  return callbacks;
}

/**
 * Asks an entry that took the engine over while this process was down to
 * release it.
 */
core::Task<> Endpoint::RequestRelease(gen::EngineHolder holder,
                                      std::string engine) {
  gen::ReleaseEngine ask;
  ask.engine_address = engine;
  gen::Message first;
  first.__set_release_engine(ask);
  std::string failure;
  try {
    const std::shared_ptr<link::Call> call =
        co_await links_.Open(holder.address, std::move(first));
    co_await call->Receive(kReleaseTimeout);
  } catch (const core::Error& e) {
    failure = e.what();
  }
  log_.Event(core::LogLevel::kInfo, core::LogCategory::kReplica,
             "engine_release_asked",
             {{"engine", engine}, {"holder", holder.vm}, {"error", failure}});
}

core::Task<> Endpoint::HandleMetricsRequest(http::ResponseWriter& writer) {
  http::Response response =
      http::MetricsResponse(metrics_.Text(controller_.Levels()));
  co_await writer.Send(std::move(response));
}

routing::FollowHooks Endpoint::Hooks() {
  return routing::FollowDocument(
      options_.configuration_key,
      [this](const external::KvEntry& it) {
        routing::AdoptDocument(configuration_, read_configuration_, it, log_);
      },
      [this] { routing::RecordMissingDocument(configuration_, log_); });
}

}  // namespace sapphire::orders
