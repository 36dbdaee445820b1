/** @file model_loader.cc Requests loads of models that callers wait for. */
#include <algorithm>
#include <exception>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "policy/placement_func.h"
#include "serving/model_loader_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

namespace {

/** A load is given up once it takes longer than this and than kLoadLimitFactor
 * times the expected time: concurrent loads from the weight store take several
 * times as long as a single one. */
constexpr milliseconds kLoadLimit{20'000};
constexpr int kLoadLimitFactor = 3;
/** While a pending load has at least this time left, another one may be started
 * on an engine that would be ready sooner by more than this: a load from disk
 * takes 2 s. */
constexpr milliseconds kSlowLoad{3000};
/** Time after the start within which engines register and endpoints are
 * reached. */
constexpr milliseconds kDiscoveryTime{3000};
constexpr milliseconds kRetryDelay{500};
/** Requests per second from which a model counts as busy; rare models are
 * requested every half minute. */
constexpr double kBusyModelRate = 0.4;
/** Requests per second at this entry above which the whole fleet's are
 * extrapolated from them. A single request results in a lower rate. */
constexpr double kMinExtrapolatedRate = 0.1;
/** Number of concurrent loads from the weight store from which on rare models
 * wait. With a store that serves 4 at full speed, the others stay free for busy
 * models. */
constexpr int kMaxLoadsForRareModels = 2;
/** A load from the weight store that takes this many times as long as a single
 * one indicates an overloaded store; less may be a slow start. */
constexpr double kOverloadFactor = 1.5;
/** A deferred load takes this many load times: one to wait for its turn, one
 * for itself. */
constexpr int kDeferredLoadFactor = 2;
/** An engine that failed to load a model is not asked again for this long. */
constexpr milliseconds kAvoidAfterFailure{2000};
/** Pause between two attempts to add a replica of a model. */
constexpr milliseconds kReplicaPause{1500};
/** Maximum eviction cost of a further replica, as the time that callers of
 * evicted models would wait. */
constexpr milliseconds kMaxEvictionCost{4000};
constexpr milliseconds kAdapterTime{30};
/** Time limit of an adapter load; no caller waits longer than a few seconds. */
constexpr milliseconds kAdapterLimit{3000};
/** A load that is late by more than this is no longer relied on. */
constexpr milliseconds kOverdue{1000};
/** Pause between two attempts to add replicas while many requests wait. */
constexpr milliseconds kUrgentReplicaPause{500};
/** How long a measured load time of the weight store predicts the next one. */
constexpr milliseconds kMaxStoreLoadAge{15'000};

}  // namespace

ModelLoader::ModelLoader(const ReplicaFinder& finder,
                         fleet::ControllerClient& calls,
                         fleet::PeerTable& peer_table,
                         fleet::EngineRegistry& registry,
                         fleet::EngineLoads& loads, FrontMetrics& metrics,
                         const core::Executor& executor,
                         const core::Clock& clock, const core::Logger& log)
    : finder_(finder),
      calls_(calls),
      peer_table_(peer_table),
      registry_(registry),
      loads_(loads),
      metrics_(metrics),
      executor_(executor),
      clock_(clock),
      began_(clock.Now()),
      log_(log),
      request_usage_(clock) {}

std::vector<PendingModelLoad> ModelLoader::PendingLoadsOf(
    const LoadTarget& target, const OptionalVersion& version) const {
  std::vector<PendingModelLoad> coming;
  if (target.adapter.empty()) {
    coming = finder_.FindPendingLoads(target.service, target.model);
  }
  for (const auto& [asked, pending] : pending_) {
    const bool same = !(asked.target < target) && !(target < asked.target);
    const auto left =
        std::chrono::duration_cast<milliseconds>(pending.ready - clock_.Now());
    if (!same || left <= -kOverdue) continue;
    const fleet::EngineEntry* engine = registry_.Find(asked.instance);
    if (engine != nullptr && loads_.IsLeaving(*engine)) continue;
    std::erase_if(coming, [&asked = asked](const PendingModelLoad& it) {
      return it.instance == asked.instance;
    });
    coming.push_back({asked.instance, std::max(left, milliseconds(0))});
  }
  if (version) {
    std::erase_if(coming, [&](const PendingModelLoad& it) {
      return !finder_.IsOfVersion(it.instance, version);
    });
  }
  return coming;
}

std::optional<milliseconds> ModelLoader::TimeUntilLoaded(
    const LoadTarget& target, const OptionalVersion& version) const {
  const std::vector<PendingModelLoad> coming = PendingLoadsOf(target, version);
  if (coming.empty()) return std::nullopt;
  return std::ranges::min(coming, {}, &PendingModelLoad::ready_in).ready_in;
}

std::optional<policy::WakeUpPlan> ModelLoader::Plan(
    const routing::Service& service, const core::ModelId& model,
    std::vector<LoadCandidate>& loaders) const {
  const LoadTarget target{service.id, model, core::AdapterId()};
  std::erase_if(loaders, [&](const LoadCandidate& it) {
    return HasFailedRecently(target, it.instance);
  });
  std::vector<policy::WakeUpCandidate> views;
  views.reserve(loaders.size());
  for (const LoadCandidate& it : loaders) {
    views.push_back(it.view);
  }
  const routing::ModelSpec& spec = service.engine->models.at(model);
  policy::LoadTimes loads = spec.load_times;
  loads.remote = std::max(loads.remote, StoreLoadTime());
  return policy::ChooseWakeUp(spec.bytes, loads, views);
}

/** @return Engines that could load the model and whose controllers are
 * reachable. */
std::vector<LoadCandidate> ModelLoader::FindLoadCandidates(
    const routing::Service& service, const core::ModelId& model,
    const OptionalVersion& version) const {
  std::vector<LoadCandidate> loaders =
      finder_.FindLoadCandidates(service, model, version);
  std::erase_if(loaders, [this](const LoadCandidate& it) {
    return !IsControllerReachable(it.instance);
  });
  return loaders;
}

std::optional<milliseconds> ModelLoader::TimeToFirstReachable(
    const core::ServiceId& service) const {
  std::optional<milliseconds> first;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service || loads_.IsLeaving(engine)) continue;
    const milliseconds left = calls_.UnreachableFor(instance);
    if (left == milliseconds(0)) continue;
    first = std::min(first.value_or(left), left);
  }
  return first;
}

/** @return True if a load from the weight store has to wait. Rare models must
 * not overload the store, which would slow all loads down and block engines
 * that could load a busy model from disk. */
bool ModelLoader::MustDeferStoreLoad(const routing::Service& service,
                                     const core::ModelId& model) const {
  const int loads = finder_.CountStoreLoads(service.id);
  if (loads == 0) return false;
  // The store does not report how many loads it serves at full speed, so an
  // overload shows only in the load times. Once loads take this much longer,
  // one more only delays the others.
  const milliseconds alone = service.engine->models.at(model).load_times.remote;
  const auto crowded = kOverloadFactor * std::chrono::duration<double>(alone);
  if (StoreLoadTime() > crowded) return true;
  return loads >= kMaxLoadsForRareModels && !IsBusyModel(model);
}

bool ModelLoader::IsBusyModel(const core::ModelId& model) const {
  const double asked_here =
      request_usage_.Of({model, core::AdapterId()}).demand;
  return asked_here > kMinExtrapolatedRate &&
         asked_here * peer_table_.entries() > kBusyModelRate;
}

std::optional<milliseconds> ModelLoader::RequestLoad(
    const routing::Service& service, const core::ModelId& model,
    const core::RequestId& request, const OptionalVersion& version,
    std::optional<milliseconds> rested_in) {
  const LoadTarget target{service.id, model, core::AdapterId()};
  const auto left = TimeUntilLoaded(target, version);
  if (left && *left < kSlowLoad) {
    JoinLoad(target, version);
    return left;
  }
  if (!left) DropOverdue(target);
  std::vector<LoadCandidate> loaders =
      FindLoadCandidates(service, model, version);
  const std::size_t in_reach = loaders.size();
  const bool is_near =
      std::ranges::any_of(loaders, [](const LoadCandidate& it) {
        return it.view.tier != policy::Tier::kRemote;
      });
  const auto plan = Plan(service, model, loaders);
  // An engine with a copy in memory or on disk may have registered since the
  // load was requested.
  const bool faster = plan && left && plan->ready_in + kSlowLoad < *left;
  if (left && !faster) return left;
  if (rested_in && (!plan || plan->ready_in >= *rested_in)) return std::nullopt;
  const bool from_store =
      plan && loaders[plan->engine].view.tier == policy::Tier::kRemote;
  if (from_store && clock_.Now() - began_ < kDiscoveryTime) return kRetryDelay;
  // Engines with a copy in memory or on disk lack room only for a moment. A
  // load from the weight store would take longer and keep others from trying
  // them.
  if (from_store && is_near) return kRetryDelay;
  if (from_store && MustDeferStoreLoad(service, model)) {
    return kDeferredLoadFactor * plan->ready_in;
  }
  if (!plan) {
    log_.Event(
        LogLevel::kInfo, LogCategory::kRequest, "wake_impossible",
        {{"request", request}, {"model", model}, {"endpoints", in_reach}});
    // Engines that are loading or unloading usually have room a moment later.
    return in_reach > 0 ? std::optional(kRetryDelay) : std::nullopt;
  }
  const fleet::InstanceId instance = loaders[plan->engine].instance;
  log_.Event(LogLevel::kInfo, LogCategory::kRequest, "wake",
             {{"request", request},
              {"model", model},
              {"instance", instance},
              {"tier", policy::TierName(loaders[plan->engine].view.tier)},
              {"ready_in_ms", plan->ready_in},
              {"evict", plan->evict.size()},
              {"eviction_cost_ms", plan->eviction_cost}});
  const policy::Tier tier = loaders[plan->engine].view.tier;
  const core::SteadyTime ready = clock_.Now() + plan->ready_in;
  Start({target, instance}, PendingLoad{ready, tier}, plan->evict);
  return plan->ready_in;
}

/**
 * Forgets loads that are overdue, so that callers do not wait for an engine
 * whose load request was lost while other engines are idle. The loads' tasks go
 * on, but their engines count as having failed.
 */
void ModelLoader::DropOverdue(const LoadTarget& target) {
  const core::SteadyTime now = clock_.Now();
  std::erase_if(pending_, [&](const auto& it) {
    const auto& [asked, pending] = it;
    const bool same = !(asked.target < target) && !(target < asked.target);
    if (!same || now < pending.ready + kOverdue) return false;
    log_.Event(LogLevel::kWarning, LogCategory::kReplica, "wake_overdue",
               {{"model", target.model},
                {"adapter", target.adapter},
                {"instance", asked.instance}});
    failures_[asked] = now;
    return true;
  });
}

void ModelLoader::RequestAdapterLoad(const core::ServiceId& service,
                                     const fleet::InstanceId& instance,
                                     const core::ModelId& model,
                                     const core::AdapterId& adapter,
                                     const core::RequestId& request) {
  const LoadTarget target{service, model, adapter};
  if (TimeUntilLoaded(target)) return;
  DropOverdue(target);
  log_.Event(LogLevel::kInfo, LogCategory::kRequest, "wake_adapter",
             {{"request", request},
              {"model", model},
              {"adapter", adapter},
              {"instance", instance}});
  const core::SteadyTime ready = clock_.Now() + kAdapterTime;
  Start({target, instance}, PendingLoad{ready, policy::Tier::kMemory}, {});
}

void ModelLoader::AddReplica(const routing::Service& service,
                             const core::ModelId& model,
                             policy::ReplicaNeed need, int at_once,
                             const OptionalVersion& version) {
  if (need == policy::ReplicaNeed::kNone) return;
  const LoadTarget target{service.id, model, core::AdapterId()};
  const auto asked = last_attempt_.find(target);
  const core::SteadyTime now = clock_.Now();
  const milliseconds pause = at_once > 1 ? kUrgentReplicaPause : kReplicaPause;
  if (asked != last_attempt_.end() && now - asked->second < pause) return;
  last_attempt_[target] = now;
  const std::vector<PendingModelLoad> coming = PendingLoadsOf(target, version);
  const auto soon = std::ranges::count_if(
      coming,
      [](const PendingModelLoad& it) { return it.ready_in < kSlowLoad; });
  if (soon >= at_once) return;
  std::vector<LoadCandidate> loaders =
      FindLoadCandidates(service, model, version);
  // A load from the weight store is slow, so copies in memory or on disk are
  // tried in parallel.
  if (!coming.empty() || need != policy::ReplicaNeed::kUrgent) {
    std::erase_if(loaders, [](const LoadCandidate& it) {
      return it.view.tier == policy::Tier::kRemote ||
             it.view.order_left.count() > 0;
    });
  }
  std::erase_if(loaders, [&](const LoadCandidate& it) {
    return pending_.contains({target, it.instance});
  });
  const auto plan = Plan(service, model, loaders);
  if (!plan || plan->eviction_cost > kMaxEvictionCost) return;
  const fleet::InstanceId instance = loaders[plan->engine].instance;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "add_replica",
             {{"model", model},
              {"instance", instance},
              {"demand", finder_.Demand(service.id, model)},
              {"at_once", at_once},
              {"ready_in_ms", plan->ready_in},
              {"eviction_cost_ms", plan->eviction_cost}});
  const policy::Tier tier = loaders[plan->engine].view.tier;
  const core::SteadyTime ready = now + plan->ready_in;
  Start({target, instance}, PendingLoad{ready, tier}, plan->evict);
}

void ModelLoader::Start(const LoadKey& asked, PendingLoad pending,
                        std::vector<core::ModelId> evict) {
  pending_[asked] = pending;
  peer_table_.SetOwnLoads(PendingLoads());
  core::Spawn(executor_, log_, "load_model",
              [this, asked, pending, evict = std::move(evict)] {
                return Load(asked, pending, evict);
              });
}

core::Task<> ModelLoader::Load(LoadKey asked, PendingLoad pending,
                               std::vector<core::ModelId> evict) {
  const LoadTarget& target = asked.target;
  const fleet::InstanceId& instance = asked.instance;
  const auto ready_in =
      std::chrono::duration_cast<milliseconds>(pending.ready - clock_.Now());
  const milliseconds limit =
      target.adapter.empty() ? std::max(kLoadLimit, kLoadLimitFactor * ready_in)
                             : kAdapterLimit;
  gen::EnsureModel load_request = LoadRequestOf(asked, evict, limit);
  const core::SteadyTime began = clock_.Now();
  std::string failure;
  std::string_view outcome = "ok";
  try {
    co_await calls_.RequestLoad(instance, std::move(load_request), limit);
  } catch (const core::Error& e) {
    failure = e.what();
    outcome = core::InfoOf(e.code()).name;
    if (e.code() == core::ErrorCode::kEngineReplaced) {
      registry_.MarkReplaced(instance);
    }
    if (e.code() == core::ErrorCode::kEngineUnavailable) {
      loads_.MarkUnreachable(instance);
    }
  }
  const auto took =
      std::chrono::duration_cast<milliseconds>(clock_.Now() - began);
  metrics_.WakeUpEnded(pending.tier, outcome, took);
  pending_.erase({target, instance});
  peer_table_.SetOwnLoads(PendingLoads());
  if (failure.empty()) {
    NoteLoaded(asked, pending, evict, took);
  } else {
    failures_[{target, instance}] = clock_.Now();
  }
  log_.Event(LogLevel::kInfo, LogCategory::kReplica,
             failure.empty() ? "woken" : "wake_failed",
             {{"model", target.model},
              {"adapter", target.adapter},
              {"instance", instance},
              {"took_ms", took},
              {"error", failure}});
  changed_.Notify();
}

gen::EnsureModel ModelLoader::LoadRequestOf(
    const LoadKey& asked, const std::vector<core::ModelId>& evict,
    milliseconds limit) const {
  gen::EnsureModel load_request;
  load_request.service_id = asked.target.service.value();
  load_request.model = asked.target.model.value();
  load_request.adapter = asked.target.adapter.value();
  load_request.engine_instance = asked.instance.value();
  load_request.remaining_ms = limit.count();
  for (const core::ModelId& it : evict) {
    load_request.evict.push_back(it.value());
  }
  const core::SteadyTime now = clock_.Now();
  for (const auto& [part, usage] : finder_.UsageAt(asked.instance)) {
    load_request.resident_use.push_back(
        fleet::MakeResidentUse(part, usage, now));
  }
  return load_request;
}

/** Records the effects of the load, which the engine's entry in the store shows
 * only later. */
void ModelLoader::NoteLoaded(const LoadKey& asked, const PendingLoad& pending,
                             const std::vector<core::ModelId>& evict,
                             milliseconds took) {
  const LoadTarget& target = asked.target;
  loads_.NoteLoaded(asked.instance, {target.model, target.adapter});
  for (const core::ModelId& it : evict) {
    loads_.MarkLacking(asked.instance, {it, core::AdapterId()});
  }
  if (pending.tier == policy::Tier::kRemote) {
    store_load_ = StoreLoad{took, clock_.Now()};
  }
}

std::vector<fleet::ComingLoad> ModelLoader::PendingLoads() const {
  std::vector<fleet::ComingLoad> asked;
  for (const auto& [one, pending] : pending_) {
    if (pending.joined || !one.target.adapter.empty()) continue;
    asked.push_back({one.instance, one.target.model, pending.ready,
                     pending.tier == policy::Tier::kRemote});
  }
  return asked;
}

milliseconds ModelLoader::OwnStoreLoadTime() const {
  const bool fresh =
      store_load_ && clock_.Now() - store_load_->at < kMaxStoreLoadAge;
  return fresh ? store_load_->took : milliseconds(0);
}

milliseconds ModelLoader::StoreLoadTime() const {
  return std::max(peer_table_.StoreLoadTime(), OwnStoreLoadTime());
}

/** Joins a load that another entry has requested, to learn of its end at once
 * instead of from the next update of the engine's entry in the store. */
void ModelLoader::JoinLoad(const LoadTarget& target,
                           const OptionalVersion& version) {
  const bool asked_here = std::ranges::any_of(pending_, [&](const auto& it) {
    return !(it.first.target < target) && !(target < it.first.target) &&
           finder_.IsOfVersion(it.first.instance, version);
  });
  if (asked_here) return;
  const std::vector<PendingModelLoad> coming = PendingLoadsOf(target, version);
  const auto first =
      std::ranges::min_element(coming, {}, &PendingModelLoad::ready_in);
  if (first == coming.end() || HasFailedRecently(target, first->instance)) {
    return;
  }
  PendingLoad pending;
  pending.ready = clock_.Now() + first->ready_in;
  pending.tier = policy::Tier::kDisk;
  pending.joined = true;
  Start({target, first->instance}, pending, {});
}

bool ModelLoader::HasFailedRecently(const LoadTarget& target,
                                    const fleet::InstanceId& instance) const {
  if (!IsControllerReachable(instance)) return true;
  const auto it = failures_.find({target, instance});
  return it != failures_.end() &&
         clock_.Now() - it->second < kAvoidAfterFailure;
}

}  // namespace sapphire::serving
