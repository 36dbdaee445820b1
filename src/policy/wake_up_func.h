/** @file wake_up_func.h Which engine wakes a model that none holds. */
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

/** A model that was loaded for somebody, or asked for, within this is kept:
 * entries tell of requests a moment later. The process beside the engine
 * refuses to drop it, so whoever chooses has to go by the same. */
inline constexpr std::chrono::milliseconds kKeptAfterUse{1500};

/** A model that an engine holds and could drop. */
struct ResidentModel {
  core::ModelId model;
  std::int64_t bytes = 0;
  /** Requests in progress: an unload would wait for them. */
  int running = 0;
  /** Loaded, or asked for, within kKeptAfterUse. */
  bool just_used = false;
  /** Requests a second for it, over all engines. */
  double demand = 0;
  /** Other engines that hold it too. */
  int other_replicas = 0;
  /** Its requests may name an adapter, which is loaded when it is wanted. */
  bool has_adapters = false;
};

/** An engine that could load the model. */
struct WakeUpCandidate {
  Tier tier = Tier::kRemote;
  /** Until its one order at a time is carried out. */
  std::chrono::milliseconds order_left{0};
  std::int64_t memory_bytes = 0;
  std::vector<ResidentModel> residents;
  int running = 0;
  bool same_zone = false;
};

struct WakeUpPlan {
  /** Index of the candidate. */
  std::size_t engine = 0;
  /** What it drops first. */
  std::vector<core::ModelId> evict;
  /** Until the model can serve. */
  std::chrono::milliseconds ready_in{0};
  /** What callers of the dropped models are expected to wait for it. */
  std::chrono::milliseconds eviction_cost{0};
};

/**
 * The cost of an engine is when the model is ready there, plus what dropping
 * its residents costs others: the reload times their demand over the time they
 * would likely have stayed; plus what the load itself costs the callers of its
 * residents' adapters, as an engine carries out one order at a time.
 * @param bytes Weights of the model.
 * @return Nothing if no engine can make room without interrupting requests.
 */
std::optional<WakeUpPlan> ChooseWakeUp(
    std::int64_t bytes, const LoadTimes& loads,
    std::span<const WakeUpCandidate> candidates);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_WAKE_UP_FUNC_H_
