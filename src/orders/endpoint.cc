/** @file endpoint.cc All parts of the process beside an engine. */
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "orders/endpoint_base.h"

namespace sapphire::orders {

using core::LogCategory;
using core::LogLevel;

namespace {

link::LinkOptions LinkOptionsOf(const EndpointOptions& options) {
  link::LinkOptions links;
  links.self.vm = options.vm.value();
  links.self.zone = options.zone.value();
  links.self.role = gen::Role::ENDPOINT;
  links.self.incarnation = core::RandomPositive();
  return links;
}

link::VersionHooks NoVersions() {
  link::VersionHooks hooks;
  hooks.current = [] { return std::int64_t{0}; };
  hooks.newer_seen = [](const std::shared_ptr<link::Link>&, std::int64_t) {};
  return hooks;
}

routing::FollowOptions FollowOptionsOf(const EndpointOptions& options) {
  routing::FollowOptions follow;
  follow.prefix = options.configuration_key;
  return follow;
}

}  // namespace

Endpoint::Endpoint(const core::Executor& executor, EndpointOptions options,
                   ReadConfiguration read_configuration, EnginePort& engine,
                   external::KeyValueStore& store, const core::Clock& clock,
                   const core::Logger& log)
    : options_(std::move(options)),
      read_configuration_(std::move(read_configuration)),
      executor_(executor),
      log_(log),
      desk_(options_.desk, engine, store, configuration_, clock, log),
      service_(EndpointServiceOptions(), desk_, executor, clock, log),
      links_(
          executor, LinkOptionsOf(options_),
          [this](std::shared_ptr<link::Call> call, gen::Message first) {
            return service_.Answer(std::move(call), std::move(first));
          },
          NoVersions(), clock, log),
      follower_(FollowOptionsOf(options_), Hooks(), store, clock, log) {}

void Endpoint::Start() {
  links_.Listen(options_.link_listen);
  core::Spawn(executor_, log_, "follow_configuration",
              [this] { return follower_.Run(); });
  core::Spawn(executor_, log_, "look_at_engine",
              [this] { return desk_.Run(); });
}

routing::FollowHooks Endpoint::Hooks() {
  routing::FollowHooks hooks;
  hooks.listed = [this](std::vector<external::KvEntry> entries, bool) {
    for (const external::KvEntry& it : entries) Adopt(it.value);
  };
  hooks.changed = [this](external::KvEvent event, bool) {
    if (event.value) Adopt(*event.value);
  };
  return hooks;
}

void Endpoint::Adopt(const std::string& value) {
  std::string failure;
  bool adopted = false;
  try {
    adopted = configuration_.Adopt(read_configuration_(value));
  } catch (const core::Error& e) {
    // What was in force before stays.
    failure = e.what();
  }
  log_.Event(failure.empty() ? LogLevel::kInfo : LogLevel::kError,
             LogCategory::kConfig,
             adopted ? "config_in_force" : "config_passed_over",
             {{"config", configuration_.version()}, {"error", failure}});
}

}  // namespace sapphire::orders
