/** @file engine_controller_base.h Gives one engine its orders. */
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
#include "orders/memory_plan_func.h"
#include "orders/order_lane_base.h"
#include "orders/order_time_func.h"
#include "routing/routing_table_base.h"

namespace sapphire::orders {

struct ControllerOptions {
  /** Names the engine's lease. */
  std::string engine_address;
  core::ServiceId service;
  /** Between two looks at an engine that has nothing to do for us. */
  std::chrono::milliseconds look_interval{2000};
  /** Between two looks while an order is carried out: an unload takes 10 ms, a
   * load from memory a second. */
  std::chrono::milliseconds busy_look_interval{30};
  /** The engine's reports tell of now: they come from the same VM. */
  bool reports_are_current = true;
};

/** A model that somebody waits for. */
struct LoadRequest {
  core::ModelId model;
  /** Empty: the model itself. */
  core::AdapterId adapter;
  /** The start of the engine that is meant. */
  fleet::InstanceId instance;
  /** What the asking entry would drop for it. */
  std::vector<core::ModelId> evict;
  /** What it knows of the use of all that the engine holds. */
  fleet::UsageByPart use;
  core::SteadyTime deadline;
};

/**
 * Gives an engine orders while this process holds the engine's lease. One
 * thread.
 *
 * An order whose answer is lost may be carried out seconds later. Two guards:
 * each order names how many the engine has accepted, so a late copy is void as
 * soon as another order was accepted; and until that shows, what the lost order
 * would load counts as taken memory, so nothing is ordered over the limit.
 */
class EngineController {
 public:
  /** @pre All references outlive the controller. */
  EngineController(ControllerOptions options, EnginePort& engine,
                   const EngineLeases& leases,
                   const routing::ConfigurationHolder& configuration,
                   ControllerMetrics& metrics, const core::Clock& clock,
                   const core::Logger& log);

  /** Looks at the engine for as long as the process runs. */
  core::Task<> Run();

  /**
   * Has a model (and adapter) loaded; returns once it can serve.
   * @throws core::Error with the reason.
   */
  core::Task<> Ensure(LoadRequest load_request);

  /** @return Levels for the metrics. */
  [[nodiscard]] ControllerLevels Levels() const;

  /** Waits until no load request is in progress and no order is open, but not
   * for longer than the limit. */
  core::Task<> AwaitQuiet(std::chrono::milliseconds limit);

 private:
  /** An order that was given and is not yet seen to be over. */
  struct OpenOrder {
    std::int64_t number = 0;
    EngineOrder order;
    core::SteadyTime given;
  };
  /** The engine as it was last seen while orders could be given from here. */
  struct OwnCount {
    std::optional<fleet::EngineStartTime> born;
    std::int64_t order_count = 0;
  };

  core::Task<> Look();
  core::Task<> TryLook();
  core::Task<> Fulfil(const LoadRequest& load_request);
  core::Task<> EnsureModel(const LoadRequest& load_request);
  void CheckQueue(const LoadRequest& load_request) const;
  core::Task<> EnsureAdapter(const LoadRequest& load_request);
  core::Task<> AwaitIdle(core::SteadyTime deadline);
  [[nodiscard]] core::ModelId ModelToUnload(
      const LoadRequest& load_request) const;
  core::Task<> CarryOut(EngineOrder order, core::SteadyTime deadline);
  core::Task<bool> GiveOnce(EngineOrder order);
  core::Task<> AwaitTurn(core::SteadyTime deadline);
  [[nodiscard]] bool IsUntouched() const;
  void NoteOwnCount();
  void Settle();
  void NoteForeignOrder();
  [[nodiscard]] bool IsOver(const EngineOrder& order) const;
  [[nodiscard]] bool IsOver(const OpenOrder& open) const;
  [[nodiscard]] bool IsOtherStart(const fleet::InstanceId& instance) const;
  [[nodiscard]] bool IsDone(const EngineOrder& order) const;
  [[nodiscard]] bool Holds(const core::ModelId& model,
                           const core::AdapterId& adapter) const;
  [[nodiscard]] bool Fits(const EngineOrder& order) const;
  [[nodiscard]] MemoryState State(const EngineOrder& but) const;
  [[nodiscard]] const routing::EngineSpec* Spec() const;
  [[nodiscard]] bool IsEngineUp() const;
  core::Task<> CheckInstance(fleet::InstanceId meant);
  void NoteInstance(const fleet::InstanceId& instance);

  const ControllerOptions options_;
  EnginePort& engine_;
  const EngineLeases& leases_;
  const routing::ConfigurationHolder& configuration_;
  ControllerMetrics& metrics_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** As the latest load request told it. */
  fleet::UsageByPart use_;
  /** When something was last loaded for somebody. */
  std::map<fleet::ModelOrAdapter, core::SteadyTime> wanted_;
  OrderLane model_lane_;
  OrderLane adapter_lane_;
  EngineReport report_;
  std::optional<core::SteadyTime> report_time_;
  std::vector<OpenOrder> open_orders_;
  std::int64_t next_order_ = 1;
  std::vector<OpenLoadRequest> load_requests_;
  /** Since when the engine carries out an order of somebody else: of the
   * process that was here before. */
  std::optional<core::SteadyTime> foreign_order_;
  /** The start of the engine that entries mean, or that it tells itself. */
  fleet::InstanceId instance_;
  /** The last look at the engine was answered. */
  bool engine_up_ = true;
  /** Load requests in progress. */
  int in_progress_ = 0;
  std::optional<OwnCount> own_count_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENGINE_CONTROLLER_BASE_H_
