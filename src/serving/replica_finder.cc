/** @file replica_finder.cc Lists engines that can serve a request or load a
 * model. */
#include <algorithm>
#include <map>
#include <utility>

#include "serving/replica_finder_base.h"

namespace sapphire::serving {

namespace {

const fleet::LoadedModel* FindHeld(const fleet::EngineEntry& engine,
                                   const core::ModelId& model) {
  const auto it =
      std::ranges::find(engine.models, model, &fleet::LoadedModel::model);
  return it == engine.models.end() ? nullptr : &*it;
}

policy::Tier TierOf(const fleet::EngineEntry& engine,
                    const core::ModelId& model) {
  if (engine.copies.in_memory.contains(model)) return policy::Tier::kMemory;
  if (engine.copies.on_disk.contains(model)) return policy::Tier::kDisk;
  return policy::Tier::kRemote;
}

/** Maximum age of cached load candidates. */
constexpr milliseconds kMaxViewAge{250};

/** Replicas and demand of each model, over all engines of a service. */
struct ModelTotals {
  int replicas = 0;
  double demand = 0;
};

}  // namespace

ReplicaFinder::ReplicaFinder(core::ZoneId zone,
                             const fleet::EngineRegistry& registry,
                             const fleet::PeerTable& peer_table,
                             const fleet::EngineLoads& loads,
                             const LoadGauges& gauges, const core::Clock& clock)
    : zone_(std::move(zone)),
      registry_(registry),
      peer_table_(peer_table),
      loads_(loads),
      gauges_(gauges),
      clock_(clock) {}

bool ReplicaFinder::HasVersion(const core::ServiceId& service,
                               const fleet::SoftwareVersion& version) const {
  return std::ranges::any_of(registry_.engines(), [&](const auto& it) {
    const fleet::EngineEntry& engine = it.second;
    return engine.service == service && !loads_.IsLeaving(engine) &&
           engine.software_version == version;
  });
}

bool ReplicaFinder::IsOfVersion(
    const fleet::InstanceId& instance,
    const std::optional<fleet::SoftwareVersion>& version) const {
  const fleet::EngineEntry* engine = registry_.Find(instance);
  return engine != nullptr &&
         (!version || engine->software_version == *version);
}

bool ReplicaFinder::Serves(const fleet::EngineEntry& engine,
                           const ReplicaQuery& query) const {
  const CallerRequest& request = query.request;
  if (engine.service != query.service || loads_.IsLeaving(engine)) return false;
  if (query.version && engine.software_version != *query.version) return false;
  const fleet::ModelOrAdapter model{request.model, core::AdapterId()};
  // Checked first: few of hundreds of engines hold the model.
  const bool holds = request.model.empty() ||
                     FindHeld(engine, request.model) != nullptr ||
                     loads_.HasLoaded(engine.instance, model);
  return holds && !query.avoid.contains(engine.instance) &&
         !loads_.IsUnreachable(engine.instance) &&
         !loads_.Lacks(engine.instance, model);
}

std::vector<FoundReplica> ReplicaFinder::Find(const ReplicaQuery& query) const {
  std::vector<FoundReplica> found;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (!Serves(engine, query)) continue;
    if (loads_.BlockedFor(instance) > milliseconds(0)) continue;
    found.push_back(Describe(engine, query.request));
  }
  return found;
}

std::vector<FoundReplica> ReplicaFinder::FindWithResting(
    const ReplicaQuery& query) const {
  std::vector<FoundReplica> found;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (!Serves(engine, query)) continue;
    if (loads_.limits().ThrottledFor(instance) > milliseconds(0)) continue;
    found.push_back(Describe(engine, query.request));
  }
  return found;
}

FoundReplica ReplicaFinder::Describe(const fleet::EngineEntry& engine,
                                     const CallerRequest& request) const {
  FoundReplica replica;
  replica.instance = engine.instance;
  replica.view = MakeView(engine, request);
  if (request.model.empty()) return replica;
  const fleet::ModelOrAdapter part{request.model, request.adapter};
  const fleet::LoadedModel* held = FindHeld(engine, request.model);
  replica.order_left = peer_table_.RemainingLoadTime(engine.instance);
  const bool listed =
      held != nullptr && held->adapters.contains(request.adapter);
  const bool has = (listed && !loads_.Lacks(engine.instance, part)) ||
                   loads_.HasLoaded(engine.instance, part);
  replica.has_adapter = request.adapter.empty() || has;
  return replica;
}

std::optional<milliseconds> ReplicaFinder::TimeToFirstUnthrottled(
    const ReplicaQuery& query) const {
  std::optional<milliseconds> first;
  for (const auto& [instance, engine] : registry_.engines()) {
    const milliseconds left = loads_.BlockedFor(instance);
    if (left == milliseconds(0) || !Serves(engine, query)) continue;
    first = std::min(first.value_or(left), left);
  }
  return first;
}

std::optional<milliseconds> ReplicaFinder::TimeToFirstRested(
    const ReplicaQuery& query) const {
  if (loads_.notices().resting() == 0) return std::nullopt;
  std::optional<milliseconds> first;
  for (const auto& [instance, engine] : registry_.engines()) {
    const milliseconds left = loads_.notices().RestLeft(instance);
    if (left == milliseconds(0) || !Serves(engine, query)) continue;
    first = std::min(first.value_or(left), left);
  }
  return first;
}

policy::ReplicaCandidate ReplicaFinder::MakeView(
    const fleet::EngineEntry& engine, const CallerRequest& request) const {
  policy::ReplicaCandidate view;
  view.same_zone = engine.zone == zone_;
  view.max_running = engine.max_running;
  view.running = peer_table_.Running(engine.instance);
  const LoadGauge* gauge = gauges_.Find(engine.instance);
  if (gauge != nullptr) {
    // The engine's figure includes this entry's own requests as of the query.
    const int others = gauge->state.running - gauge->own_running;
    view.running = loads_.Running(engine.instance) + std::max(others, 0);
    view.waiting = gauge->state.waiting;
    view.kv_used = gauge->state.kv_tokens_used;
    view.kv_total = gauge->state.kv_tokens_total;
  }
  view.failure_rate = loads_.FailureRate(engine.instance);
  view.oldest_silence = loads_.LongestSilence(engine.instance);
  view.warming_up = engine.warm_up_left.count() > 0;
  std::vector<std::uint64_t> hashes;
  for (const PromptPart& part : request.prompt_parts) {
    hashes.push_back(part.hash);
  }
  const std::size_t known =
      loads_.KnownPrefixParts(engine.instance, request.model, hashes);
  for (std::size_t i = 0; i < known; ++i) {
    view.cached_tokens += request.prompt_parts[i].tokens;
  }
  return view;
}

std::vector<policy::ResidentModel> ReplicaFinder::Residents(
    const fleet::EngineEntry& engine, const routing::EngineSpec& spec) const {
  std::vector<policy::ResidentModel> residents;
  const auto resident_of = [&spec](const core::ModelId& model) {
    policy::ResidentModel resident;
    resident.model = model;
    const auto it = spec.models.find(model);
    if (it == spec.models.end()) return resident;
    resident.bytes = it->second.bytes;
    resident.has_adapters = it->second.adapters > 0;
    return resident;
  };
  const core::SteadyTime now = clock_.Now();
  for (const fleet::LoadedModel& it : engine.models) {
    policy::ResidentModel resident = resident_of(it.model);
    const fleet::Usage usage =
        peer_table_.UsageOf(engine.instance, {it.model, core::AdapterId()});
    resident.running = usage.running;
    resident.recently_used =
        usage.last_begun &&
        now - *usage.last_begun < policy::kNoEvictionAfterUse;
    resident.demand = usage.demand;
    residents.push_back(std::move(resident));
  }
  for (const fleet::ComingLoad& it : peer_table_.LoadsAt(engine.instance)) {
    if (FindHeld(engine, it.model) != nullptr) continue;
    // A model is loaded because requests wait for it, so it counts as in use.
    policy::ResidentModel resident = resident_of(it.model);
    resident.running = 1;
    residents.push_back(std::move(resident));
  }
  return residents;
}

std::vector<LoadCandidate> ReplicaFinder::FindLoadCandidates(
    const routing::Service& service, const core::ModelId& model,
    const std::optional<fleet::SoftwareVersion>& version) const {
  std::vector<LoadCandidate> found;
  for (const LoadCandidate& it : LoadCandidatesOf(service)) {
    const bool holds = std::ranges::any_of(
        it.view.residents, [&model](const policy::ResidentModel& resident) {
          return resident.model == model;
        });
    if (holds || loads_.IsUnreachable(it.instance)) continue;
    const fleet::EngineEntry* engine = registry_.Find(it.instance);
    if (engine == nullptr || loads_.IsLeaving(*engine)) continue;
    if (!IsOfVersion(it.instance, version)) continue;
    LoadCandidate loader = it;
    loader.view.tier = TierOf(*engine, model);
    // A model that is loaded during a rest serves only after it.
    loader.view.order_left =
        std::max(peer_table_.RemainingLoadTime(it.instance),
                 loads_.notices().RestLeft(it.instance));
    found.push_back(std::move(loader));
  }
  return found;
}

const std::vector<LoadCandidate>& ReplicaFinder::LoadCandidatesOf(
    const routing::Service& service) const {
  const core::SteadyTime now = clock_.Now();
  const bool fresh = views_.service == service.id &&
                     now - views_.at < kMaxViewAge &&
                     views_.registry_generation == registry_.generation() &&
                     views_.loads_generation == peer_table_.loads_generation();
  if (!fresh) {
    views_ = {service.id, MakeLoadCandidates(service), now,
              registry_.generation(), peer_table_.loads_generation()};
  }
  return views_.loaders;
}

std::vector<LoadCandidate> ReplicaFinder::MakeLoadCandidates(
    const routing::Service& service) const {
  std::map<core::ModelId, ModelTotals> totals;
  std::vector<LoadCandidate> made;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service.id || loads_.IsLeaving(engine)) continue;
    LoadCandidate loader;
    loader.instance = instance;
    loader.view.memory_bytes = service.engine->memory_bytes;
    loader.view.running = peer_table_.Running(instance);
    loader.view.same_zone = engine.zone == zone_;
    loader.view.residents = Residents(engine, *service.engine);
    for (const policy::ResidentModel& it : loader.view.residents) {
      ++totals[it.model].replicas;
      totals[it.model].demand += it.demand;
    }
    made.push_back(std::move(loader));
  }
  for (LoadCandidate& loader : made) {
    for (policy::ResidentModel& it : loader.view.residents) {
      it.demand = totals[it.model].demand;
      it.other_replicas = totals[it.model].replicas - 1;
    }
  }
  return made;
}

std::vector<PendingModelLoad> ReplicaFinder::FindPendingLoads(
    const core::ServiceId& service, const core::ModelId& model) const {
  std::vector<PendingModelLoad> coming;
  for (const fleet::ComingLoad& it : peer_table_.LoadsOf(model)) {
    const fleet::EngineEntry* engine = registry_.Find(it.instance);
    const bool counts = engine != nullptr && engine->service == service &&
                        !loads_.IsLeaving(*engine);
    if (!counts) continue;
    const auto left =
        std::chrono::duration_cast<milliseconds>(it.ready - clock_.Now());
    coming.push_back({it.instance, std::max(left, milliseconds(0))});
  }
  return coming;
}

int ReplicaFinder::CountStoreLoads(const core::ServiceId& service) const {
  int loads = 0;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service) continue;
    const std::vector<fleet::ComingLoad> coming = peer_table_.LoadsAt(instance);
    const bool from_store = std::ranges::any_of(
        coming, [](const auto& it) { return it.from_weight_store; });
    if (from_store) ++loads;
  }
  return loads;
}

double ReplicaFinder::Demand(const core::ServiceId& service,
                             const core::ModelId& model) const {
  double demand = 0;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service) continue;
    if (FindHeld(engine, model) == nullptr) continue;
    demand += peer_table_.UsageOf(instance, {model, core::AdapterId()}).demand;
  }
  return demand;
}

fleet::UsageByPart ReplicaFinder::UsageAt(
    const fleet::InstanceId& instance) const {
  fleet::UsageByPart table;
  const fleet::EngineEntry* engine = registry_.Find(instance);
  if (engine == nullptr) return table;
  for (const fleet::LoadedModel& held : engine->models) {
    const fleet::ModelOrAdapter model{held.model, core::AdapterId()};
    table[model] = peer_table_.UsageOf(instance, model);
    for (const core::AdapterId& adapter : held.adapters) {
      const fleet::ModelOrAdapter part{held.model, adapter};
      table[part] = peer_table_.UsageOf(instance, part);
    }
  }
  return table;
}

}  // namespace sapphire::serving
