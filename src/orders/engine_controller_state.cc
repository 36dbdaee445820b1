/** @file engine_controller_state.cc Tracks the state of an engine and its open
 * orders. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "fleet/instance_func.h"
#include "orders/engine_controller_base.h"

namespace sapphire::orders {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

/**
 * An order whose response was lost is carried out within this time, if at all.
 * Operators have seen 12 s.
 */
constexpr milliseconds kMaxOrderDelay{15'000};
/** The engine counts as down if its last report is older than this. */
constexpr milliseconds kMaxReportAge{1500};

}  // namespace

void EngineController::RemoveFinishedOrders() {
  std::erase_if(open_orders_,
                [this](const OpenOrder& it) { return IsFinished(it); });
}

/**
 * An order whose response was lost may still be carried out after a restart of
 * the engine under the same id, once the new instance has accepted as many
 * orders. Its memory stays reserved until then.
 */
bool EngineController::IsFinished(const OpenOrder& open) const {
  if (!IsOtherInstance(open.order.instance)) return IsFinished(open.order);
  if (HasTakenEffect(open.order)) return true;
  const bool passed = report_.order_count > open.order.expected_count &&
                      !report_.order_in_progress;
  return passed || clock_.Now() - open.sent > kMaxOrderDelay;
}

bool EngineController::IsFinished(const EngineOrder& order) const {
  const bool other_engine =
      fleet::EngineOf(order.instance) != fleet::EngineOf(instance_);
  if (other_engine) return true;
  if (HasTakenEffect(order)) return true;
  // The engine has accepted an order since: either this one, or another one
  // that makes it void.
  if (report_.order_count <= order.expected_count) return false;
  const bool loading =
      std::ranges::any_of(report_.loading, [&order](const LoadingAdapter& it) {
        return it.model == order.model && it.adapter == order.adapter;
      });
  return !report_.order_in_progress && !loading;
}

bool EngineController::HasTakenEffect(const EngineOrder& order) const {
  return Holds(order.model, order.adapter) == (order.kind == OrderKind::kLoad);
}

bool EngineController::Holds(const core::ModelId& model,
                             const core::AdapterId& adapter) const {
  return std::ranges::any_of(report_.models, [&](const fleet::LoadedModel& it) {
    return it.model == model &&
           (adapter.empty() || it.adapters.contains(adapter));
  });
}

bool EngineController::Fits(const EngineOrder& order) const {
  if (order.kind == OrderKind::kUnload) return true;
  const MemoryState state = BuildMemoryState(order);
  return order.adapter.empty() ? ModelFits(state, order.model)
                               : AdapterFits(state, order.model);
}

/** @param excluded Order that is not counted among the pending loads. */
MemoryState EngineController::BuildMemoryState(
    const EngineOrder& excluded) const {
  MemoryState state;
  state.spec = FindEngineSpec();
  if (state.spec == nullptr) {
    throw Error(ErrorCode::kNotConfigured, "the service is not configured");
  }
  state.report = &report_;
  state.usage = usage_;
  for (const auto& [part, at] : last_loaded_) {
    fleet::Usage& usage = state.usage[part];
    usage.last_begun = std::max(usage.last_begun, std::optional(at));
  }
  for (const OpenOrder& it : open_orders_) {
    if (it.order.kind != OrderKind::kLoad) continue;
    const bool same = it.order.model == excluded.model &&
                      it.order.adapter == excluded.adapter;
    if (!same) state.pending_loads.push_back(it.order);
  }
  state.now = clock_.Now();
  return state;
}

const routing::EngineSpec* EngineController::FindEngineSpec() const {
  const auto table = configuration_.current();
  if (table == nullptr) return nullptr;
  const routing::Service* service = table->FindService(options_.service);
  if (service == nullptr || !service->engine) return nullptr;
  return &*service->engine;
}

/**
 * Refuses load requests for another instance of the engine: they were decided
 * by memory contents and an order count that no longer exist.
 */
core::Task<> EngineController::CheckInstance(fleet::InstanceId requested) {
  if (IsOtherInstance(requested)) {
    co_await Poll();
  }
  if (IsOtherInstance(requested)) {
    throw Error(ErrorCode::kEngineReplaced, "the engine has restarted");
  }
  UpdateInstance(requested);
}

/** @return True if the engine reports that it is another instance than this. */
bool EngineController::IsOtherInstance(
    const fleet::InstanceId& instance) const {
  const auto start_time = fleet::StartTimeOf(instance);
  return start_time && report_.start_time && *start_time != *report_.start_time;
}

void EngineController::UpdateInstance(const fleet::InstanceId& instance) {
  if (instance == instance_) return;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_instance",
             {{"was", instance_}, {"now", instance}});
  instance_ = instance;
}

bool EngineController::IsEngineUp() const {
  return engine_up_ && report_time_ &&
         clock_.Now() - *report_time_ < kMaxReportAge;
}

ControllerLevels EngineController::Levels() const {
  ControllerLevels levels;
  levels.config_version = configuration_.version();
  levels.engine_up = IsEngineUp();
  if (report_time_) {
    levels.report_age =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - *report_time_);
  }
  levels.running = report_.running;
  levels.waiting = report_.waiting;
  levels.kv_tokens_used = report_.kv_used;
  levels.load_requests = static_cast<int>(load_requests_.size());
  levels.open_orders = static_cast<int>(open_orders_.size());
  levels.log = log_.counters();
  return levels;
}

}  // namespace sapphire::orders
