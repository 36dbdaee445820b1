/** @file replica_finder.cc Engines as the choices of a request see them. */
#include <algorithm>
#include <map>
#include <utility>

#include "serving/replica_finder_base.h"

namespace sapphire::serving {

namespace {

/** What an engine holds of a model. */
struct Holding {
  bool model = false;
  bool adapter = false;
};

/** The endpoint beside the engine knows best; without it the engine's own
 * entry serves. */
Holding HoldingOf(const fleet::EngineEntry& engine,
                  const fleet::EndpointState* state, const core::ModelId& model,
                  const core::AdapterId& adapter) {
  Holding holding;
  if (state != nullptr) {
    for (const gen::ReplicaReport& it : state->report.replicas) {
      if (it.model != model.value()) continue;
      if (it.state != gen::ReplicaState::READY) continue;
      holding.model = true;
      holding.adapter =
          std::ranges::find(it.adapters, adapter.value()) != it.adapters.end();
    }
    return holding;
  }
  for (const fleet::HeldModel& it : engine.models) {
    if (it.model != model) continue;
    holding.model = true;
    holding.adapter = it.adapters.contains(adapter);
  }
  return holding;
}

policy::Tier TierOf(const gen::EndpointReport& report,
                    const core::ModelId& model) {
  const auto has = [&model](const std::vector<std::string>& names) {
    return std::ranges::find(names, model.value()) != names.end();
  };
  if (has(report.memory_tier)) return policy::Tier::kMemory;
  if (has(report.disk_tier)) return policy::Tier::kDisk;
  return policy::Tier::kRemote;
}

/** An engine and what its endpoint said last. */
struct ReportedEngine {
  const fleet::EngineEntry* engine = nullptr;
  const gen::EndpointReport* report = nullptr;
};

/** Replicas and demand of each model, over all engines of a service. */
struct ModelTotals {
  int replicas = 0;
  double demand = 0;
};

double PerSecond(std::int64_t per_1000_s) {
  return static_cast<double>(per_1000_s) / 1000;
}

}  // namespace

ReplicaFinder::ReplicaFinder(core::ZoneId zone,
                             const fleet::EngineRegistry& registry,
                             const fleet::EndpointFeed& feed,
                             const fleet::EngineLoads& loads,
                             const core::Clock& clock)
    : zone_(std::move(zone)),
      registry_(registry),
      feed_(feed),
      loads_(loads),
      clock_(clock) {}

std::vector<FoundReplica> ReplicaFinder::Find(
    const core::ServiceId& service, const CallerRequest& request,
    const std::set<fleet::InstanceId>& avoid) const {
  std::vector<FoundReplica> found;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service || engine.draining) continue;
    if (avoid.contains(instance)) continue;
    if (loads_.Unreachable(instance) || feed_.EngineDown(instance)) continue;
    if (loads_.Lacks(instance, {request.model, core::AdapterId()})) continue;
    FoundReplica replica;
    replica.instance = instance;
    replica.view = View(engine, request);
    if (!request.model.empty()) {
      const fleet::EndpointState* state = feed_.Find(instance);
      const Holding holding =
          HoldingOf(engine, state, request.model, request.adapter);
      if (!holding.model) continue;
      if (state != nullptr) {
        replica.order_left = milliseconds(state->report.loading_left_ms);
      }
      const bool lacks =
          loads_.Lacks(instance, {request.model, request.adapter});
      replica.has_adapter =
          request.adapter.empty() || (holding.adapter && !lacks);
    }
    found.push_back(std::move(replica));
  }
  return found;
}

policy::ReplicaCandidate ReplicaFinder::View(
    const fleet::EngineEntry& engine, const CallerRequest& request) const {
  policy::ReplicaCandidate view;
  view.same_zone = engine.zone == zone_;
  view.max_running = engine.max_running;
  view.running = loads_.Running(engine.instance);
  view.failure_rate = loads_.FailureRate(engine.instance);
  view.oldest_silence = loads_.OldestSilence(engine.instance);
  view.warming_up = engine.warm_up_left.count() > 0;
  const fleet::EndpointState* state = feed_.Find(engine.instance);
  if (state != nullptr) {
    // The report counts our own requests as they were when it came.
    const int others = state->report.running - state->own_running;
    view.running += std::max(others, 0);
    view.waiting = state->report.waiting;
    view.kv_used = state->report.kv_tokens_used;
    view.kv_total = state->report.kv_tokens_total;
  }
  std::vector<std::uint64_t> hashes;
  for (const PromptPart& part : request.prompt_parts) {
    hashes.push_back(part.hash);
  }
  const std::size_t known =
      loads_.KnownParts(engine.instance, request.model, hashes);
  for (std::size_t i = 0; i < known; ++i) {
    view.known_tokens += request.prompt_parts[i].tokens;
  }
  return view;
}

std::vector<FoundWaker> ReplicaFinder::FindWakers(
    const routing::Service& service, const core::ModelId& model) const {
  std::map<std::string, ModelTotals> totals;
  // Each report is looked up once. The failure met: between two look-ups of one
  // engine its report grew too old, the second found none, and the process
  // died.
  std::vector<ReportedEngine> engines;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service.id || engine.draining) continue;
    if (loads_.Unreachable(instance)) continue;
    const fleet::EndpointState* state = feed_.Find(instance);
    if (state == nullptr) continue;
    engines.push_back({&engine, &state->report});
    for (const gen::ReplicaReport& it : state->report.replicas) {
      ++totals[it.model].replicas;
      totals[it.model].demand += PerSecond(it.demand_per_1000_s);
    }
  }
  std::vector<FoundWaker> found;
  for (const ReportedEngine& reported : engines) {
    const gen::EndpointReport& report = *reported.report;
    FoundWaker waker;
    waker.instance = reported.engine->instance;
    waker.view.tier = TierOf(report, model);
    waker.view.order_left = milliseconds(report.loading_left_ms);
    waker.view.memory_bytes = service.engine->memory_bytes;
    waker.view.running = report.running;
    waker.view.same_zone = reported.engine->zone == zone_;
    bool holds = false;
    for (const gen::ReplicaReport& it : report.replicas) {
      holds = holds || it.model == model.value();
      policy::ResidentModel resident;
      resident.model = core::ModelId(it.model);
      const auto spec = service.engine->models.find(resident.model);
      if (spec != service.engine->models.end()) {
        resident.bytes = spec->second.bytes;
        resident.has_adapters = spec->second.adapters > 0;
      }
      // One on its way is wanted by somebody: as good as in use.
      const bool coming = it.state != gen::ReplicaState::READY;
      resident.running = coming ? 1 : it.running;
      resident.just_used = it.idle_ms < policy::kKeptAfterUse.count();
      resident.demand = totals[it.model].demand;
      resident.other_replicas = totals[it.model].replicas - 1;
      waker.view.residents.push_back(std::move(resident));
    }
    if (!holds) found.push_back(std::move(waker));
  }
  return found;
}

std::vector<ComingModel> ReplicaFinder::FindComing(
    const core::ServiceId& service, const core::ModelId& model) const {
  std::vector<ComingModel> coming;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service || engine.draining) continue;
    const fleet::EndpointState* state = feed_.Find(instance);
    if (state == nullptr) continue;
    for (const gen::ReplicaReport& it : state->report.replicas) {
      if (it.model != model.value()) continue;
      if (it.state != gen::ReplicaState::LOADING) continue;
      coming.push_back({instance, milliseconds(state->report.loading_left_ms)});
    }
  }
  return coming;
}

milliseconds ReplicaFinder::StoreLoadTime(
    const core::ServiceId& service) const {
  milliseconds longest{0};
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service) continue;
    const fleet::EndpointState* state = feed_.Find(instance);
    if (state == nullptr) continue;
    longest = std::max(longest, milliseconds(state->report.store_load_ms));
  }
  return longest;
}

int ReplicaFinder::StoreLoads(const core::ServiceId& service) const {
  int loads = 0;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service) continue;
    const fleet::EndpointState* state = feed_.Find(instance);
    if (state == nullptr || state->report.loading_model.empty()) continue;
    const core::ModelId loading(state->report.loading_model);
    if (TierOf(state->report, loading) == policy::Tier::kRemote) ++loads;
  }
  return loads;
}

double ReplicaFinder::Demand(const core::ServiceId& service,
                             const core::ModelId& model) const {
  double demand = 0;
  for (const auto& [instance, engine] : registry_.engines()) {
    if (engine.service != service) continue;
    const fleet::EndpointState* state = feed_.Find(instance);
    if (state == nullptr) continue;
    for (const gen::ReplicaReport& it : state->report.replicas) {
      if (it.model == model.value()) demand += PerSecond(it.demand_per_1000_s);
    }
  }
  return demand;
}

}  // namespace sapphire::serving
