/** @file wake_up_func.h Chooses the engine to load a model that no engine
 * holds. */
#ifndef SAPPHIRE_POLICY_WAKE_UP_FUNC_H_
#define SAPPHIRE_POLICY_WAKE_UP_FUNC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/id_type.h"
#include "policy/placement_type.h"

namespace sapphire::policy {

/** A model is not evicted within this time after it was loaded or requested,
 * because entries report requests with a short delay. The endpoint process
 * refuses to unload it, so the choice has to follow the same rule. */
inline constexpr std::chrono::milliseconds kNoEvictionAfterUse{1500};

/** A model that an engine holds and could evict. */
struct ResidentModel {
  core::ModelId model;
  std::int64_t bytes = 0;
  /** Requests in progress, which an unload would have to wait for. */
  int running = 0;
  /** Loaded or requested within kNoEvictionAfterUse. */
  bool recently_used = false;
  /** Requests a second for the model, over all engines. */
  double demand = 0;
  /** Number of other engines that hold the model. */
  int other_replicas = 0;
  /** True if its requests may name adapters, which are loaded on demand. */
  bool has_adapters = false;
};

/** An engine that could load the model. */
struct WakeUpCandidate {
  Tier tier = Tier::kRemote;
  /** Time until the engine, which executes one order at a time, has finished
   * its current order. */
  std::chrono::milliseconds order_left{0};
  std::int64_t memory_bytes = 0;
  std::vector<ResidentModel> residents;
  int running = 0;
  bool same_zone = false;
};

struct WakeUpPlan {
  /** Index of the candidate. */
  std::size_t engine = 0;
  /** Models to evict before the load. */
  std::vector<core::ModelId> evict;
  /** Time until the model can serve requests. */
  std::chrono::milliseconds ready_in{0};
  /** Expected waiting time of the callers of the evicted models, in total. */
  std::chrono::milliseconds eviction_cost{0};
};

/**
 * Chooses the engine with the lowest cost. The cost is the time until the model
 * is ready, plus the cost of evicting residents (reload time times demand over
 * the time they would have stayed loaded), plus the cost for callers of the
 * residents' adapters, which can't be loaded meanwhile because an engine
 * executes one order at a time.
 * @param bytes Size of the model's weights.
 * @return Nothing if no engine can make room without interrupting requests.
 */
std::optional<WakeUpPlan> ChooseWakeUp(
    std::int64_t bytes, const LoadTimes& loads,
    std::span<const WakeUpCandidate> candidates);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_WAKE_UP_FUNC_H_
