/** @file endpoint.cc All parts of the process beside an engine. */
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "orders/endpoint_base.h"

namespace sapphire::orders {

namespace {

link::LinkOptions LinkOptionsOf(const EndpointOptions& options) {
  link::LinkOptions links;
  links.self.vm = options.vm.value();
  links.self.zone = options.zone.value();
  links.self.role = gen::Role::ENDPOINT;
  links.self.incarnation = core::RandomPositive();
  return links;
}

routing::FollowOptions FollowOptionsOf(const EndpointOptions& options) {
  routing::FollowOptions follow;
  follow.prefix = options.configuration_key;
  return follow;
}

}  // namespace

Endpoint::Endpoint(const core::Executor& executor, EndpointOptions options,
                   routing::ReadConfiguration read_configuration,
                   EnginePort& engine, external::KeyValueStore& store,
                   const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      read_configuration_(std::move(read_configuration)),
      executor_(executor),
      log_(log),
      store_(
          store,
          [this](const external::StoreCall& call) { metrics_.StoreCall(call); },
          clock),
      controller_(options_.controller, engine, store_, configuration_, metrics_,
                  clock, log),
      service_(controller_, clock),
      links_(
          executor, LinkOptionsOf(options_),
          [this](std::shared_ptr<link::Call> call, gen::Message first) {
            return service_.Answer(std::move(call), std::move(first));
          },
          link::NoVersions(), clock, log),
      follower_(FollowOptionsOf(options_), {Hooks()}, store_, clock, log),
      metrics_server_(
          executor, options_.metrics_listen, http::ServerLimits(),
          [this](const http::Request&, http::ResponseWriter& writer) {
            return AnswerMetrics(writer);
          },
          log) {}

void Endpoint::Start() {
  links_.Listen(options_.link_listen);
  metrics_server_.Start();
  core::Spawn(executor_, log_, "follow_configuration",
              [this] { return follower_.Run(); });
  core::Spawn(executor_, log_, "look_at_engine",
              [this] { return controller_.Run(); });
}

core::Task<> Endpoint::AnswerMetrics(http::ResponseWriter& writer) {
  http::Response response =
      http::MetricsResponse(metrics_.Text(controller_.Levels()));
  co_await writer.Send(std::move(response));
}

routing::FollowHooks Endpoint::Hooks() {
  const auto adopt = [this](const external::KvEntry& entry) {
    routing::AdoptDocument(configuration_, read_configuration_, entry, log_);
  };
  routing::FollowHooks hooks;
  hooks.prefix = options_.configuration_key;
  hooks.listed = [adopt](std::vector<external::KvEntry> entries,
                         routing::LapseEnd) {
    for (const external::KvEntry& it : entries) adopt(it);
  };
  hooks.changed = [adopt](external::KvEvent event, routing::LapseEnd) {
    if (event.value) adopt({event.key, *event.value, event.revision});
  };
  return hooks;
}

}  // namespace sapphire::orders
