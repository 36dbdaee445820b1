/** @file engine_controller_base.h Gives orders to one engine. */
#ifndef SAPPHIRE_ORDERS_ENGINE_CONTROLLER_BASE_H_
#define SAPPHIRE_ORDERS_ENGINE_CONTROLLER_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/usage_type.h"
#include "orders/controller_metrics_base.h"
#include "orders/engine_leases_base.h"
#include "orders/engine_port_base.h"
#include "orders/fifo_mutex_base.h"
#include "orders/memory_plan_func.h"
#include "orders/order_time_func.h"
#include "routing/routing_table_base.h"

namespace sapphire::orders {

struct ControllerOptions {
  /** Address of the engine, which also names its lease. */
  std::string engine_address;
  core::ServiceId service;
  /** Interval between two polls of an engine that has no order in progress. */
  std::chrono::milliseconds poll_interval{2000};
  /**
   * Interval between two polls while an order is carried out: an unload takes
   * 10 ms, a load from memory a second.
   */
  std::chrono::milliseconds busy_poll_interval{30};
  /** The engine's reports are up to date, as they come from the same VM. */
  bool reports_are_current = true;
};

/** An entry's request to load a model, and possibly an adapter. */
struct LoadRequest {
  core::ModelId model;
  /** Empty if only the model is requested. */
  core::AdapterId adapter;
  /** The engine instance that the request is for. */
  fleet::InstanceId instance;
  /** Models that the requesting entry would unload for it. */
  std::vector<core::ModelId> evict;
  /** Usage of all that the engine holds, as far as the entry knows it. */
  fleet::UsageByPart usage;
  core::SteadyTime deadline;
};

/**
 * Gives an engine orders while this process holds the engine's lease. Used on
 * one thread.
 *
 * An order whose response is lost may be carried out seconds later. Two
 * safeguards: each order states how many orders the engine has accepted, so
 * that a late copy is void once another order was accepted; and until the
 * engine's report shows that, what the lost order would load counts as taken
 * memory, so that no order exceeds the memory limit.
 */
class EngineController {
 public:
  /** @pre All references outlive the controller. */
  EngineController(ControllerOptions options, EnginePort& engine,
                   const EngineLeases& leases,
                   const routing::ConfigurationHolder& configuration,
                   ControllerMetrics& metrics, const core::Clock& clock,
                   const core::Logger& log);

  /** Polls the engine for as long as the process runs. */
  core::Task<> Run();

  /**
   * Loads a model (and adapter); returns once it can serve requests.
   * @throws core::Error with the reason.
   */
  core::Task<> EnsureLoaded(LoadRequest load_request);

  /** @return Current values for the metrics. */
  [[nodiscard]] ControllerLevels Levels() const;

  /**
   * Waits until no load request is in progress and no order is open, for
   * `limit` at most.
   */
  core::Task<> AwaitDrained(std::chrono::milliseconds limit);

 private:
  /** An order that was sent and is not known to be finished. */
  struct OpenOrder {
    std::int64_t number = 0;
    EngineOrder order;
    core::SteadyTime sent;
  };
  /**
   * The engine's state when it was last polled while this process was allowed
   * to give it orders.
   */
  struct HeldState {
    /** Distinguishes starts of an engine that doesn't report when it started.
     */
    fleet::InstanceId instance;
    std::optional<fleet::EngineStartTime> start_time;
    std::int64_t order_count = 0;
    bool operator==(const HeldState&) const = default;
  };

  core::Task<> Poll();
  core::Task<> TryPoll();
  core::Task<> Fulfil(const LoadRequest& load_request);
  core::Task<> EnsureModel(const LoadRequest& load_request);
  void CheckLeaving(const LoadRequest& load_request) const;
  void CheckQueueTime(const LoadRequest& load_request) const;
  core::Task<> EnsureAdapter(const LoadRequest& load_request);
  core::Task<> AwaitIdle(core::SteadyTime deadline);
  [[nodiscard]] core::ModelId ModelToUnload(
      const LoadRequest& load_request) const;
  core::Task<> ExecuteOrder(EngineOrder order, core::SteadyTime deadline);
  core::Task<bool> SubmitOnce(EngineOrder order);
  core::Task<> AwaitHandover(core::SteadyTime deadline);
  [[nodiscard]] bool HasNoForeignOrders() const;
  [[nodiscard]] HeldState ReportedState() const;
  void RecordHeldState();
  void RemoveFinishedOrders();
  void UpdateForeignOrder();
  [[nodiscard]] bool IsFinished(const EngineOrder& order) const;
  [[nodiscard]] bool IsFinished(const OpenOrder& open) const;
  [[nodiscard]] bool IsOtherInstance(const fleet::InstanceId& instance) const;
  [[nodiscard]] bool HasTakenEffect(const EngineOrder& order) const;
  [[nodiscard]] bool Holds(const core::ModelId& model,
                           const core::AdapterId& adapter) const;
  [[nodiscard]] bool Fits(const EngineOrder& order) const;
  [[nodiscard]] MemoryState BuildMemoryState(const EngineOrder& excluded) const;
  [[nodiscard]] const routing::EngineSpec* FindEngineSpec() const;
  [[nodiscard]] bool IsEngineUp() const;
  core::Task<> CheckInstance(fleet::InstanceId requested);
  void UpdateInstance(const fleet::InstanceId& instance);

  const ControllerOptions options_;
  EnginePort& engine_;
  const EngineLeases& leases_;
  const routing::ConfigurationHolder& configuration_;
  ControllerMetrics& metrics_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** Usage from the latest load request. */
  fleet::UsageByPart usage_;
  /** When each model or adapter was last loaded for a load request. */
  std::map<fleet::ModelOrAdapter, core::SteadyTime> last_loaded_;
  FifoMutex model_mutex_;
  FifoMutex adapter_mutex_;
  EngineReport report_;
  std::optional<core::SteadyTime> report_time_;
  /** When the report was requested. */
  core::SteadyTime report_requested_;
  std::vector<OpenOrder> open_orders_;
  std::int64_t next_order_ = 1;
  std::vector<OpenLoadRequest> load_requests_;
  /**
   * Since when the engine has been carrying out an order of another process,
   * such as the previous one here.
   */
  std::optional<core::SteadyTime> foreign_order_since_;
  /** The engine instance that entries request, or that the engine reports. */
  fleet::InstanceId instance_;
  /** The last poll of the engine succeeded. */
  bool engine_up_ = true;
  /** Load requests in progress. */
  int requests_in_progress_ = 0;
  std::optional<HeldState> last_held_state_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENGINE_CONTROLLER_BASE_H_
