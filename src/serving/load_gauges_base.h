/** @file load_gauges_base.h Queries engines for their load. */
#ifndef SAPPHIRE_SERVING_LOAD_GAUGES_BASE_H_
#define SAPPHIRE_SERVING_LOAD_GAUGES_BASE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "serving/caller_type.h"
#include "serving/engine_clients_base.h"
#include "serving/engine_notice_recorder_base.h"

namespace sapphire::serving {

/** Load that an engine has reported. */
struct LoadGauge {
  EngineState state;
  core::SteadyTime at;
  /** Requests of this entry that the report includes. */
  int own_running = 0;
};

/**
 * Queries engines for their load, for a request that can choose among several.
 * Peers' reports are seconds old in a large fleet, and all entries would send
 * to the engine that was idle then; reports of every engine to every entry cost
 * more than the queries do. Not thread-safe.
 */
class LoadGauges {
 public:
  /** @pre All references outlive it. */
  LoadGauges(const EngineWire& wire, EngineClients& clients,
             fleet::EngineRegistry& registry, fleet::EngineLoads& loads,
             EngineNoticeRecorder& notices, const core::Executor& executor,
             const core::Clock& clock, const core::Logger& log);

  /**
   * While `store_failing` returns true as the store can't be read, polls the
   * engines of model services one by one, at a constant rate, for what they
   * hold. Otherwise the entry would send to engines that have unloaded the
   * model or no longer exist.
   */
  core::Task<> Poll(std::function<bool()> store_failing);

  /** Queries those of the engines that were not queried recently; waits briefly
   * for their answers. */
  core::Task<> Refresh(std::vector<fleet::InstanceId> instances);

  /** @return The engine's last report; null if there is no recent one. */
  [[nodiscard]] const LoadGauge* Find(const fleet::InstanceId& instance) const;

  /** Drops the reports of engines that are not in `alive`. */
  void Forget(const std::set<fleet::InstanceId>& alive);

 private:
  core::Task<> QueryOne(fleet::InstanceId instance);
  core::Task<> QueryLoad(fleet::InstanceId instance);
  core::Task<> QueryHoldings(fleet::InstanceId instance);
  [[nodiscard]] std::optional<fleet::InstanceId> NextToPoll();

  const EngineWire& wire_;
  EngineClients& clients_;
  fleet::EngineRegistry& registry_;
  fleet::EngineLoads& loads_;
  EngineNoticeRecorder& notices_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<fleet::InstanceId, LoadGauge> gauges_;
  /** Engines with a query in progress. */
  std::set<fleet::InstanceId> querying_;
  core::Signal answered_;
  /** The engine that was polled last. */
  fleet::InstanceId last_polled_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_LOAD_GAUGES_BASE_H_
