/** @file controller_pool.cc Controls engines that have no endpoint process. */
#include <algorithm>
#include <utility>
#include <vector>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "orders/controller_pool_base.h"

namespace sapphire::orders {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;

ControllerPool::ControllerPool(
    PoolOptions options, MakeEnginePort make_port, EngineLeases& leases,
    const fleet::EngineRegistry& registry, const fleet::EngineHolders& holders,
    const fleet::PeerTable& peer_table,
    const routing::ConfigurationHolder& configuration,
    ControllerMetrics& metrics, const core::Executor& executor,
    const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      make_port_(std::move(make_port)),
      leases_(leases),
      registry_(registry),
      holders_(holders),
      peer_table_(peer_table),
      configuration_(configuration),
      metrics_(metrics),
      executor_(executor),
      clock_(clock),
      log_(log) {}

void ControllerPool::Maintain() {
  if (leaving_) return;
  const std::map<std::string, core::ServiceId> engines = OrderableEngines();
  UpdateSeen(engines);
  DropLostEngines();
  ClaimVacantEngines(engines);
}

/** @return Engines that accept orders, by address. */
std::map<std::string, core::ServiceId> ControllerPool::OrderableEngines()
    const {
  std::map<std::string, core::ServiceId> engines;
  const auto table = configuration_.current();
  if (table == nullptr) return engines;
  for (const auto& [instance, engine] : registry_.engines()) {
    const routing::Service* service = table->FindService(engine.service);
    if (service == nullptr || !service->engine) continue;
    engines.emplace(engine.address, engine.service);
  }
  return engines;
}

void ControllerPool::UpdateSeen(
    const std::map<std::string, core::ServiceId>& engines) {
  const core::SteadyTime now = clock_.Now();
  for (const auto& [engine, service] : engines) {
    seen_.try_emplace(engine, Seen{now, now}).first->second.last = now;
  }
  std::erase_if(seen_, [&](const auto& it) {
    return now - it.second.last >= options_.unregistered_timeout;
  });
  std::erase_if(released_at_, [&](const auto& it) {
    return now - it.second >= options_.claim_delay;
  });
}

void ControllerPool::DropLostEngines() {
  for (const std::string& engine : leases_.RequestedEngines()) {
    const fleet::EngineHolder* holder = holders_.Find(engine);
    const bool taken = holder != nullptr && !IsThisVm(*holder);
    if (taken) {
      leases_.CancelRequest(engine);
      members_.erase(engine);
    } else if (!seen_.contains(engine)) {
      StartRelease(engine);
    }
  }
}

void ControllerPool::ClaimVacantEngines(
    const std::map<std::string, core::ServiceId>& engines) {
  for (const auto& [engine, service] : engines) {
    if (members_.contains(engine) || !ShouldClaim(engine)) continue;
    log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_claimed",
               {{"engine", engine}, {"service", service}});
    members_.emplace(engine, MakeMember(engine, service));
    leases_.RequestLease(engine);
  }
}

bool ControllerPool::ShouldClaim(const std::string& engine) const {
  if (released_at_.contains(engine)) return false;
  const fleet::EngineHolder* holder = holders_.Find(engine);
  if (holder != nullptr) {
    // The previous process on this VM held the lease.
    return IsThisVm(*holder);
  }
  const auto vacant = holders_.UnheldSince(engine);
  if (!vacant) return false;
  const core::SteadyTime since = std::max(*vacant, seen_.at(engine).first);
  const auto wait = holders_.WasHeldRemotely(engine)
                        ? options_.claim_delay_after_entry
                        : options_.claim_delay;
  return clock_.Now() - since >= wait && IsPreferredEntry(engine);
}

/** @return True if the holder is a process of this VM. A VM that replaces
 * another may have its address, but not its name. */
bool ControllerPool::IsThisVm(const fleet::EngineHolder& holder) const {
  return holder.vm == options_.vm && holder.address == options_.address;
}

/**
 * @return True if this entry is the first of all entries for the engine by
 *   rendezvous hashing.
 */
bool ControllerPool::IsPreferredEntry(const std::string& engine) const {
  const auto score = [&engine](const std::string& vm) {
    return core::HashOf(engine, core::HashOf(vm));
  };
  const std::uint64_t own = score(options_.vm);
  return std::ranges::none_of(peer_table_.Peers(), [&](const fleet::Peer& it) {
    return score(it.vm) > own;
  });
}

std::shared_ptr<ControllerPool::Member> ControllerPool::MakeMember(
    const std::string& engine, const core::ServiceId& service) const {
  ControllerOptions options;
  options.engine_address = engine;
  options.service = service;
  options.busy_poll_interval = options_.busy_poll_interval;
  options.reports_are_current = false;
  return std::make_shared<Member>(make_port_(engine), std::move(options),
                                  leases_, configuration_, metrics_, clock_,
                                  log_);
}

std::shared_ptr<EngineController> ControllerPool::Find(
    const fleet::InstanceId& instance) {
  const fleet::EngineEntry* engine = registry_.Find(instance);
  const auto it =
      engine == nullptr ? members_.end() : members_.find(engine->address);
  if (it == members_.end() || it->second->releasing) {
    throw Error(ErrorCode::kNotHolder,
                instance.value() + " is not ordered from here");
  }
  return {it->second, &it->second->controller};
}

core::Task<> ControllerPool::Release(std::string engine) {
  const auto it = members_.find(engine);
  released_at_[engine] = clock_.Now();
  if (it == members_.end()) {
    co_await leases_.Release(engine);
    co_return;
  }
  const std::shared_ptr<Member> member = it->second;
  member->releasing = true;
  co_await member->controller.AwaitDrained(options_.release_timeout);
  released_at_[engine] = clock_.Now();
  co_await leases_.Release(engine);
  const auto now = members_.find(engine);
  if (now != members_.end() && now->second == member) members_.erase(now);
}

void ControllerPool::StartRelease(const std::string& engine) {
  const auto it = members_.find(engine);
  if (it != members_.end() && std::exchange(it->second->releasing, true)) {
    return;
  }
  core::Spawn(executor_, log_, "release_engine",
              [this, engine] { return Release(engine); });
}

void ControllerPool::Leave() {
  leaving_ = true;
  leases_.StopRenewing();
}

}  // namespace sapphire::orders
