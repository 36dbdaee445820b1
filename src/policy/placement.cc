/** @file placement.cc Decides where a request runs, waits or loads its
 * model. */
#include <algorithm>
#include <tuple>

#include "core/random_func.h"
#include "policy/eviction_func.h"
#include "policy/placement_func.h"
#include "policy/queue_wait_func.h"

namespace sapphire::policy {

namespace {

/** Retry hint to callers if only an unload elsewhere can free capacity. */
constexpr Millis kNoCapacityRetry{2000};
/** Penalty for loading in another zone than the caller's, in ms of waiting. */
constexpr double kOtherZonePenaltyMs = 2;
/** Penalty for loading on an accelerator that holds no model. */
constexpr double kEmptyAcceleratorPenaltyMs = 4000;
/** Penalty for loading on one that holds models but runs no request. */
constexpr double kIdleAcceleratorPenaltyMs = 1500;
/** Penalty for each unit of EvictionCost. */
constexpr double kEvictionCostMs = 20;
/** Another replica has to save at least this fraction of its load time. */
constexpr double kMinLoadTimeSaved = 0.5;

/** One reload out of this many has to read the checkpoint from disk. */
constexpr int kReloadsPerDiskRead = 4;

bool Usable(const EndpointView& endpoint, const PlacementRequest& request) {
  return endpoint.engine_up && !endpoint.leaving &&
         (!endpoint.reserved_for_suspect || request.alone) &&
         !request.avoid.contains(endpoint.id);
}

bool HasAdapter(const ReplicaView& replica, const PlacementRequest& request) {
  return request.adapter.empty() || replica.adapters.contains(request.adapter);
}

std::int64_t FreeBytes(const EndpointView& endpoint) {
  return endpoint.memory_bytes - endpoint.reserved_bytes;
}

int RunningAt(const EndpointView& endpoint) {
  int running = 0;
  for (const ReplicaView& replica : endpoint.replicas) {
    running += replica.running;
  }
  return running;
}

bool HasSlot(const EndpointView& endpoint, const ReplicaView& replica,
             const PlacementRequest& request) {
  const int running = RunningAt(endpoint);
  if (request.alone && running > 0) return false;
  if (endpoint.max_running > 0 && running >= endpoint.max_running) return false;
  return replica.state == ReplicaState::kReady &&
         replica.running < request.max_concurrent;
}

/** A replica of the model at a usable endpoint. */
struct Site {
  const EndpointView* endpoint = nullptr;
  const ReplicaView* replica = nullptr;
};

/** Result of one pass over the fleet: the replicas of the model. */
struct Survey {
  std::vector<Site> sites;
  /** Replicas that count towards the model's limit, usable or not. */
  int held = 0;
  bool any_usable = false;
};

Survey SurveyFleet(const PlacementRequest& request,
                   std::span<const EndpointView> endpoints) {
  Survey survey;
  for (const EndpointView& endpoint : endpoints) {
    const bool usable = Usable(endpoint, request);
    survey.any_usable = survey.any_usable || usable;
    for (const ReplicaView& replica : endpoint.replicas) {
      if (replica.model != request.model) continue;
      ++survey.held;
      const bool serves = replica.state == ReplicaState::kReady ||
                          replica.state == ReplicaState::kLoading;
      if (usable && serves) survey.sites.push_back({&endpoint, &replica});
    }
  }
  return survey;
}

/** Sort key for sites, best first: adapter loaded, prefix cached, same zone,
 * fewest running requests. */
auto SitePreference(const Site& site, const PlacementRequest& request) {
  const bool no_prefix = request.prefix_hash != 0 &&
                         !site.replica->prefixes.contains(request.prefix_hash);
  return std::make_tuple(!HasAdapter(*site.replica, request), no_prefix,
                         site.endpoint->zone != request.zone,
                         site.replica->running, site.endpoint->id);
}

/** @return The best site with a free slot and memory for the adapter, if
 * any. */
const Site* ChooseRun(const PlacementRequest& request, const Survey& survey) {
  const Site* best = nullptr;
  for (const Site& site : survey.sites) {
    if (!HasSlot(*site.endpoint, *site.replica, request)) continue;
    if (!HasAdapter(*site.replica, request) &&
        FreeBytes(*site.endpoint) < request.adapter_bytes) {
      continue;
    }
    if (best == nullptr ||
        SitePreference(site, request) < SitePreference(*best, request)) {
      best = &site;
    }
  }
  return best;
}

/** A possible load and its penalties. */
struct LoadChoice {
  const EndpointView* endpoint = nullptr;
  std::vector<core::ModelId> evict;
  Millis ready_in{0};
  bool too_late = false;
  double score = 0;

  [[nodiscard]] bool exists() const { return endpoint != nullptr; }
};

bool IsBetter(const LoadChoice& a, const LoadChoice& b) {
  if (!b.exists()) return true;
  return std::tie(a.too_late, a.score, a.endpoint->id) <
         std::tie(b.too_late, b.score, b.endpoint->id);
}

/** @return The best site where the base is loaded and evictions can make room
 * for the adapter. */
LoadChoice ChooseAdapterLoad(const PlacementRequest& request,
                             const Survey& survey, const LoadTimes& loads) {
  LoadChoice best;
  for (const Site& site : survey.sites) {
    if (!HasSlot(*site.endpoint, *site.replica, request)) continue;
    const auto evictions =
        ChooseEvictions(*site.endpoint, {.free_bytes = request.adapter_bytes,
                                         .service = {},
                                         .keep = request.model});
    if (!evictions.has_value()) continue;
    LoadChoice choice{.endpoint = site.endpoint,
                      .evict = evictions->models,
                      .ready_in = loads.adapter,
                      .score = evictions->cost};
    if (IsBetter(choice, best)) best = std::move(choice);
  }
  return best;
}

/** @return Time until the endpoint's loads in progress have ended: an engine
 * executes one order at a time, so another load has to wait for them. */
Millis RemainingLoadTime(const EndpointView& endpoint) {
  Millis left{0};
  for (const ReplicaView& replica : endpoint.replicas) {
    if (replica.state != ReplicaState::kLoading) continue;
    left = std::max(left, replica.ready_in);
  }
  return left;
}

/** @return The penalty for the accelerator time that a load here would use. */
double WakeUpPenaltyMs(const EndpointView& endpoint) {
  if (endpoint.replicas.empty()) return kEmptyAcceleratorPenaltyMs;
  return RunningAt(endpoint) > 0 ? 0 : kIdleAcceleratorPenaltyMs;
}

bool Holds(const EndpointView& endpoint, const core::ModelId& model) {
  return std::ranges::any_of(endpoint.replicas, [&](const ReplicaView& it) {
    return it.model == model;
  });
}

/** @return What has to be freed for a load; at the service's replica limit,
 * this includes one of its replicas. */
EvictionNeed EvictionNeedFor(const PlacementRequest& request) {
  EvictionNeed need;
  need.free_bytes = request.replica_bytes + request.adapter_bytes;
  if (request.service_replicas >= request.service_max_replicas) {
    need.service = request.service;
  }
  return need;
}

bool MayLoad(const PlacementRequest& request, const Survey& survey) {
  if (survey.held >= request.max_replicas) return false;
  const bool place = request.service_replicas < request.service_max_replicas;
  // At the service's replica limit, evicting a replica of the same service
  // makes room for a new one, but only if the limit is not already exceeded.
  const bool exchange =
      !request.service.empty() &&
      request.service_replicas == request.service_max_replicas;
  return place || exchange;
}

LoadChoice ChooseLoad(const PlacementRequest& request,
                      std::span<const EndpointView> endpoints,
                      const LoadTimes& loads) {
  const EvictionNeed need = EvictionNeedFor(request);
  LoadChoice best;
  for (const EndpointView& endpoint : endpoints) {
    if (!Usable(endpoint, request) || Holds(endpoint, request.model)) continue;
    if (endpoint.memory_bytes < need.free_bytes) continue;
    if (request.alone && RunningAt(endpoint) > 0) continue;
    const Tier tier = TierAt(endpoint, request.model);
    LoadChoice choice;
    choice.endpoint = &endpoint;
    choice.ready_in = RemainingLoadTime(endpoint) + LoadTimeFrom(loads, tier);
    choice.too_late =
        choice.ready_in + request.service_time > request.remaining;
    choice.score = static_cast<double>(choice.ready_in.count()) +
                   WakeUpPenaltyMs(endpoint);
    if (endpoint.zone != request.zone) choice.score += kOtherZonePenaltyMs;
    if (!IsBetter(choice, best)) continue;
    auto evictions = ChooseEvictions(endpoint, need);
    if (!evictions.has_value()) continue;
    choice.score += kEvictionCostMs * evictions->cost;
    choice.evict = std::move(evictions->models);
    if (IsBetter(choice, best)) best = std::move(choice);
  }
  return best;
}

std::vector<QueueServer> QueueServersFor(const Survey& survey,
                                         const PlacementRequest& request) {
  std::vector<QueueServer> servers;
  for (const Site& site : survey.sites) {
    // If a slot is free, the request doesn't run because there is no memory for
    // its adapter; waiting for a slot would not change that.
    if (HasSlot(*site.endpoint, *site.replica, request)) continue;
    servers.push_back({.ready_in = site.replica->ready_in,
                       .loading = site.replica->state == ReplicaState::kLoading,
                       .slots = request.max_concurrent});
  }
  return servers;
}

PlacementDecision Refuse(core::ErrorCode code, Millis retry_after) {
  PlacementDecision decision;
  decision.action = PlacementAction::kRefuse;
  decision.refusal = code;
  decision.retry_after = retry_after;
  return decision;
}

PlacementDecision RunAt(const EndpointView& endpoint) {
  PlacementDecision decision;
  decision.action = PlacementAction::kRun;
  decision.endpoint = endpoint.id;
  return decision;
}

PlacementDecision LoadAt(const LoadChoice& load, Millis wait) {
  PlacementDecision decision;
  decision.action = PlacementAction::kLoad;
  decision.endpoint = load.endpoint->id;
  decision.evict = load.evict;
  decision.expected_wait = wait;
  return decision;
}

PlacementDecision Wait(const PlacementRequest& request, const Survey& survey,
                       Millis wait) {
  PlacementDecision decision;
  decision.action = PlacementAction::kWait;
  decision.expected_wait = wait;
  if (request.alone) decision.endpoint = survey.sites.front().endpoint->id;
  return decision;
}

PlacementDecision RefuseAsTooLate(Millis wait, bool served,
                                  const LoadChoice& load) {
  auto decision = Refuse(core::ErrorCode::kDeadlineTooShort, wait);
  if (served || !load.exists()) return decision;
  decision.endpoint = load.endpoint->id;
  decision.evict = load.evict;
  decision.load_for_retry = true;
  return decision;
}

/** @return True if the time saved by another replica is worth its load. */
bool IsLoadWorthwhile(const PlacementRequest& request,
                      std::optional<Millis> queue, Millis with_load,
                      const LoadChoice& load) {
  if (!queue.has_value()) return true;
  if (*queue + request.service_time > request.remaining) {
    return with_load < *queue;
  }
  const Millis saved = *queue - with_load;
  return static_cast<double>(saved.count()) >
         kMinLoadTimeSaved * static_cast<double>(load.ready_in.count());
}

/** Decides whether to wait for a slot, load another replica or refuse, when no
 * slot is free. */
PlacementDecision WaitOrLoad(const PlacementRequest& request,
                             const Survey& survey, const LoadChoice& load) {
  auto servers = QueueServersFor(survey, request);
  const auto queue =
      QueueWait(servers, request.service_time, request.waiting_ahead);
  std::optional<Millis> with_load;
  if (load.exists()) {
    servers.push_back({.ready_in = load.ready_in,
                       .loading = true,
                       .slots = request.max_concurrent});
    with_load = QueueWait(servers, request.service_time, request.waiting_ahead);
  }
  const bool loads = with_load.has_value() &&
                     IsLoadWorthwhile(request, queue, *with_load, load);
  const auto wait = loads ? with_load : queue;
  if (!wait.has_value()) {
    return Refuse(load.exists() || MayLoad(request, survey)
                      ? core::ErrorCode::kNoCapacity
                      : core::ErrorCode::kReplicaLimit,
                  kNoCapacityRetry);
  }
  if (*wait + request.service_time > request.remaining) {
    return RefuseAsTooLate(*wait, queue.has_value(), load);
  }
  return loads ? LoadAt(load, *wait) : Wait(request, survey, *wait);
}

}  // namespace

PlacementDecision DecidePlacement(const PlacementRequest& request,
                                  std::span<const EndpointView> endpoints,
                                  const LoadTimes& loads) {
  const Survey survey = SurveyFleet(request, endpoints);
  if (!survey.any_usable) {
    return Refuse(core::ErrorCode::kNoEndpoint, kNoCapacityRetry);
  }
  const Site* run = ChooseRun(request, survey);
  if (run != nullptr) return RunAt(*run->endpoint);
  const LoadChoice adapter = ChooseAdapterLoad(request, survey, loads);
  const bool adapter_in_time =
      adapter.exists() &&
      adapter.ready_in + request.service_time <= request.remaining;
  if (adapter_in_time) return LoadAt(adapter, adapter.ready_in);
  LoadChoice load;
  if (MayLoad(request, survey)) load = ChooseLoad(request, endpoints, loads);
  return WaitOrLoad(request, survey, load);
}

Tier TierAt(const EndpointView& endpoint, const core::ModelId& model) {
  if (endpoint.memory_tier.contains(model)) return Tier::kMemory;
  if (endpoint.disk_tier.contains(model)) return Tier::kDisk;
  return Tier::kRemote;
}

Millis LoadTimeFrom(const LoadTimes& loads, Tier tier) {
  switch (tier) {
    case Tier::kMemory:
      return loads.memory;
    case Tier::kDisk:
      return loads.disk;
    case Tier::kRemote:
      break;
  }
  return loads.remote;
}

Millis ExpectedReloadTime(const LoadTimes& loads) {
  return loads.memory + (loads.disk - loads.memory) / kReloadsPerDiskRead;
}

std::vector<core::VmId> RankByRendezvousHash(
    std::string_view key, std::span<const core::VmId> candidates) {
  std::vector<std::pair<std::uint64_t, const core::VmId*>> scored;
  scored.reserve(candidates.size());
  const std::uint64_t seed = core::HashOf(key);
  for (const core::VmId& vm : candidates) {
    scored.emplace_back(core::HashOf(vm.value(), seed), &vm);
  }
  std::ranges::sort(scored, [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first > b.first;
    return *a.second < *b.second;
  });
  std::vector<core::VmId> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, vm] : scored) ranked.push_back(*vm);
  return ranked;
}

std::string_view TierName(Tier tier) {
  switch (tier) {
    case Tier::kMemory:
      return "memory";
    case Tier::kDisk:
      return "disk";
    case Tier::kRemote:
      return "remote";
  }
  return "";
}

}  // namespace sapphire::policy
