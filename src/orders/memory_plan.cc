/** @file memory_plan.cc Chooses what an engine unloads so that an order fits
 * into its memory. */
#include <algorithm>

#include "orders/memory_plan_func.h"
#include "policy/wake_up_func.h"

namespace sapphire::orders {

namespace {

/**
 * An adapter that was loaded for a caller within this time is about to be used.
 */
constexpr std::chrono::milliseconds kAdapterKeepTime{700};

fleet::Usage UsageOf(const MemoryState& state,
                     const fleet::ModelOrAdapter& part) {
  const auto it = state.usage.find(part);
  return it == state.usage.end() ? fleet::Usage() : it->second;
}

bool UsedWithin(const fleet::Usage& usage, core::SteadyTime now,
                std::chrono::milliseconds time) {
  if (usage.running > 0) return true;
  return usage.last_begun && now - *usage.last_begun < time;
}

std::int64_t AdapterBytes(const routing::EngineSpec& spec,
                          const core::ModelId& model) {
  const auto it = spec.models.find(model);
  return it == spec.models.end() ? 0 : it->second.adapter_bytes;
}

/** @return True if the report already counts this load. */
bool Holds(const EngineReport& report, const EngineOrder& order) {
  return std::ranges::any_of(report.models, [&](const fleet::LoadedModel& it) {
    return it.model == order.model &&
           (order.adapter.empty() || it.adapters.contains(order.adapter));
  });
}

std::int64_t PendingBytes(const MemoryState& state, const EngineOrder& load) {
  if (Holds(*state.report, load)) return 0;
  return load.adapter.empty() ? ModelBytes(*state.spec, load.model)
                              : AdapterBytes(*state.spec, load.model);
}

int CommittedAdapters(const MemoryState& state) {
  auto taken = state.report->loading.size();
  for (const fleet::LoadedModel& it : state.report->models) {
    taken += it.adapters.size();
  }
  taken += static_cast<std::size_t>(
      std::ranges::count_if(state.pending_loads, [&](const EngineOrder& it) {
        return !it.adapter.empty() && !Holds(*state.report, it);
      }));
  return static_cast<int>(taken);
}

}  // namespace

std::int64_t ModelBytes(const routing::EngineSpec& spec,
                        const core::ModelId& model) {
  const auto it = spec.models.find(model);
  if (it != spec.models.end()) return it->second.bytes;
  std::int64_t largest = 0;
  for (const auto& [id, known] : spec.models) {
    largest = std::max(largest, known.bytes);
  }
  return largest;
}

std::int64_t CommittedBytes(const MemoryState& state) {
  std::int64_t taken = 0;
  for (const EngineOrder& it : state.pending_loads) {
    taken += PendingBytes(state, it);
  }
  for (const fleet::LoadedModel& it : state.report->models) {
    taken += ModelBytes(*state.spec, it.model);
    taken += static_cast<std::int64_t>(it.adapters.size()) *
             AdapterBytes(*state.spec, it.model);
  }
  for (const LoadingAdapter& it : state.report->loading) {
    taken += AdapterBytes(*state.spec, it.model);
  }
  return taken;
}

bool ModelFits(const MemoryState& state, const core::ModelId& model) {
  return CommittedBytes(state) + ModelBytes(*state.spec, model) <=
         state.spec->memory_bytes;
}

std::optional<core::ModelId> ChooseModelToUnload(
    const MemoryState& state, const std::vector<core::ModelId>& preferred,
    const core::ModelId& keep) {
  const fleet::LoadedModel* best = nullptr;
  double best_demand = 0;
  for (const fleet::LoadedModel& it : state.report->models) {
    const fleet::Usage usage = UsageOf(state, {it.model, core::AdapterId()});
    if (it.model == keep) continue;
    if (UsedWithin(usage, state.now, policy::kNoEvictionAfterUse)) continue;
    const bool requested =
        std::ranges::find(preferred, it.model) != preferred.end();
    // Models named in the load request are unloaded before those with the
    // lowest demand.
    const double demand = requested ? -1.0 : usage.demand;
    if (best != nullptr && demand >= best_demand) continue;
    best = &it;
    best_demand = demand;
  }
  if (best == nullptr) return std::nullopt;
  return best->model;
}

bool AdapterFits(const MemoryState& state, const core::ModelId& model) {
  if (CommittedAdapters(state) >= state.spec->max_adapters) return false;
  return CommittedBytes(state) + AdapterBytes(*state.spec, model) <=
         state.spec->memory_bytes;
}

std::optional<LoadingAdapter> ChooseAdapterToUnload(const MemoryState& state) {
  std::optional<LoadingAdapter> best;
  core::SteadyTime best_used;
  for (const fleet::LoadedModel& held : state.report->models) {
    for (const core::AdapterId& adapter : held.adapters) {
      const fleet::Usage usage = UsageOf(state, {held.model, adapter});
      if (UsedWithin(usage, state.now, kAdapterKeepTime)) continue;
      const core::SteadyTime used =
          usage.last_begun.value_or(core::SteadyTime());
      if (best && used >= best_used) continue;
      best = LoadingAdapter{held.model, adapter};
      best_used = used;
    }
  }
  return best;
}

}  // namespace sapphire::orders
