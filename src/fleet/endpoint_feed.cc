/** @file endpoint_feed.cc Follows the endpoint processes beside engines. */
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/endpoint_feed_base.h"
#include "fleet/instance_func.h"

namespace sapphire::fleet {

using core::Error;
using core::ErrorCode;

namespace {

/** Entries that are assumed to share a limit before any endpoint has told:
 * more than a small site has, so that the limit holds meanwhile. */
constexpr int kAssumedEntries = 8;

}  // namespace

bool IsOfOtherStart(const gen::EndpointReport& report,
                    const InstanceId& followed) {
  const auto told = BirthOf(InstanceId(report.engine_instance));
  const auto meant = BirthOf(followed);
  return told && meant && *told != *meant;
}

EndpointFeed::EndpointFeed(FeedOptions options, link::LinkNode& links,
                           const EngineRegistry& registry, EngineLoads& loads,
                           const core::Executor& executor,
                           const core::Clock& clock, const core::Logger& log)
    : options_(options),
      links_(links),
      registry_(registry),
      loads_(loads),
      executor_(executor),
      clock_(clock),
      log_(log) {}

void EndpointFeed::Follow(const InstanceId& instance) {
  if (!followed_.insert(instance).second) return;
  if (!telling_) {
    telling_ = true;
    core::Spawn(executor_, log_, "tell_usage", [this] { return TellUsage(); });
  }
  core::Spawn(executor_, log_, "follow_endpoint",
              [this, instance] { return FollowOne(instance); });
}

core::Task<> EndpointFeed::FollowOne(InstanceId instance) {
  bool reachable = true;
  while (registry_.Find(instance) != nullptr) {
    std::string failure;
    try {
      co_await Subscribe(instance);
    } catch (const Error& e) {
      failure = e.what();
    }
    const bool heard = Find(instance) != nullptr;
    if (heard || reachable) {
      log_.Event(core::LogLevel::kInfo, core::LogCategory::kLink,
                 "endpoint_lost", {{"instance", instance}, {"error", failure}});
    }
    reachable = heard;
    co_await core::SleepFor(options_.retry_pause);
  }
  followed_.erase(instance);
  states_.erase(instance);
}

core::Task<> EndpointFeed::Subscribe(InstanceId instance) {
  gen::Message first;
  first.__set_subscribe(gen::Subscribe());
  const std::string address = LinkAddress(instance);
  const std::shared_ptr<link::Call> call =
      co_await links_.Open(address, std::move(first));
  usage_links_[instance] = UsageLink{call, gen::UsageReport(), {}};
  while (registry_.Find(instance) != nullptr) {
    const gen::Message message = co_await call->Receive(options_.silence);
    if (!message.__isset.endpoint_report) continue;
    EndpointState& state = states_[instance];
    state.report = message.endpoint_report;
    state.at = clock_.Now();
    state.own_running = loads_.Running(instance);
    state.of_other_start = IsOfOtherStart(state.report, instance);
    changed_.Notify();
  }
  call->Cancel();
}

/**
 * One loop for all endpoints, which tells only what has changed. With a loop
 * for each, an entry before 200 engines woke 800 times a second to say nothing
 * new.
 */
core::Task<> EndpointFeed::TellUsage() {
  while (true) {
    std::erase_if(usage_links_,
                  [](const auto& it) { return it.second.call->ended(); });
    for (auto& [instance, link] : usage_links_) TellOne(instance, link);
    co_await core::SleepFor(options_.usage_interval);
  }
}

void EndpointFeed::TellOne(const InstanceId& instance, UsageLink& link) {
  if (link.sending) return;
  gen::UsageReport usage = loads_.UsageOf(instance);
  const core::SteadyTime now = clock_.Now();
  const bool due = now - link.told_at >= options_.usage_repeat;
  if (!due && usage == link.told) return;
  link.told = usage;
  link.told_at = now;
  link.sending = true;
  core::Spawn(executor_, log_, "send_usage",
              [this, instance, call = link.call, usage = std::move(usage)] {
                return SendUsage(instance, call, usage);
              });
}

core::Task<> EndpointFeed::SendUsage(InstanceId instance,
                                     std::shared_ptr<link::Call> call,
                                     gen::UsageReport usage) {
  gen::Message message;
  message.__set_usage_report(usage);
  std::string failure;
  try {
    co_await call->Send(std::move(message));
  } catch (const Error& e) {
    failure = e.what();
  }
  if (!failure.empty()) {
    log_.Event(core::LogLevel::kDebug, core::LogCategory::kLink, "usage_untold",
               {{"instance", instance}, {"error", failure}});
  }
  const auto it = usage_links_.find(instance);
  if (it != usage_links_.end() && it->second.call == call) {
    it->second.sending = false;
  }
}

const EndpointState* EndpointFeed::Fresh(const InstanceId& instance) const {
  const auto it = states_.find(instance);
  if (it == states_.end()) return nullptr;
  if (clock_.Now() - it->second.at > options_.fresh) return nullptr;
  if (it->second.of_other_start) return nullptr;
  return &it->second;
}

const EndpointState* EndpointFeed::Find(const InstanceId& instance) const {
  const EndpointState* state = Fresh(instance);
  return state != nullptr && state->report.engine_up ? state : nullptr;
}

bool EndpointFeed::EngineDown(const InstanceId& instance) const {
  const EndpointState* state = Fresh(instance);
  return state != nullptr && !state->report.engine_up;
}

core::Task<> EndpointFeed::Ensure(InstanceId instance, gen::EnsureModel wish,
                                  std::chrono::milliseconds timeout) {
  gen::Message first;
  first.__set_ensure_model(wish);
  const std::string address = LinkAddress(instance);
  const std::shared_ptr<link::Call> call =
      co_await links_.Open(address, std::move(first));
  co_await call->Receive(timeout);
}

int EndpointFeed::entries() const {
  int most = 0;
  for (const auto& [instance, state] : states_) {
    most = std::max(most, state.report.entries);
  }
  return most == 0 ? kAssumedEntries : most;
}

std::string EndpointFeed::LinkAddress(const InstanceId& instance) const {
  const EngineEntry* engine = registry_.Find(instance);
  if (engine == nullptr) {
    throw Error(ErrorCode::kNoEndpoint, "the engine is gone");
  }
  const std::size_t colon = engine->address.rfind(':');
  return fmt::format("{}:{}", engine->address.substr(0, colon),
                     options_.link_port);
}

}  // namespace sapphire::fleet
