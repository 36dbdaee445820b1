/** @file engine_controller_state.cc What an order controller believes of its
 * engine. */
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

/** An order whose answer was lost is carried out within this, if at all.
 * Origin: operators have seen 12 s. */
constexpr milliseconds kLatestOrder{15'000};
/** A report older than this tells entries nothing. */
constexpr milliseconds kFreshReport{1500};

}  // namespace

void EngineController::Settle() {
  std::erase_if(open_orders_,
                [this](const OpenOrder& it) { return IsOver(it); });
}

/**
 * A lost order may still be carried out after a restart under the same name,
 * once the new start has accepted as many orders: its memory stays reserved
 * till then.
 */
bool EngineController::IsOver(const OpenOrder& open) const {
  if (!IsOtherStart(open.order.instance)) return IsOver(open.order);
  if (IsDone(open.order)) return true;
  const bool passed = report_.order_count > open.order.expected_count &&
                      !report_.order_in_progress;
  return passed || clock_.Now() - open.given > kLatestOrder;
}

bool EngineController::IsOver(const EngineOrder& order) const {
  const bool other_engine =
      fleet::EngineOf(order.instance) != fleet::EngineOf(instance_);
  if (other_engine) return true;
  if (IsDone(order)) return true;
  // Another order was accepted since: this one was it, or is void.
  if (report_.order_count <= order.expected_count) return false;
  const bool coming =
      std::ranges::any_of(report_.coming, [&order](const ComingAdapter& it) {
        return it.model == order.model && it.adapter == order.adapter;
      });
  return !report_.order_in_progress && !coming;
}

bool EngineController::IsDone(const EngineOrder& order) const {
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
  const MemoryState state = State(order);
  return order.adapter.empty() ? ModelFits(state, order.model)
                               : AdapterFits(state, order.model);
}

/** @param but Not counted among the open loads. */
MemoryState EngineController::State(const EngineOrder& but) const {
  MemoryState state;
  state.spec = Spec();
  if (state.spec == nullptr) {
    throw Error(ErrorCode::kNotConfigured, "the service is not configured");
  }
  state.report = &report_;
  state.use = use_;
  for (const auto& [part, at] : wanted_) {
    fleet::Usage& usage = state.use[part];
    usage.last_begun = std::max(usage.last_begun, std::optional(at));
  }
  for (const OpenOrder& it : open_orders_) {
    if (it.order.kind != OrderKind::kLoad) continue;
    const bool same =
        it.order.model == but.model && it.order.adapter == but.adapter;
    if (!same) state.open_loads.push_back(it.order);
  }
  state.now = clock_.Now();
  return state;
}

const routing::EngineSpec* EngineController::Spec() const {
  const auto table = configuration_.current();
  if (table == nullptr) return nullptr;
  const routing::Service* service = table->FindService(options_.service);
  if (service == nullptr || !service->engine) return nullptr;
  return &*service->engine;
}

/**
 * Refuses load requests that mean another start of the engine: they were
 * decided by memory and an order count that are gone.
 */
core::Task<> EngineController::CheckInstance(fleet::InstanceId meant) {
  if (IsOtherStart(meant)) {
    co_await Look();
  }
  if (IsOtherStart(meant)) {
    throw Error(ErrorCode::kEngineReplaced, "the engine has restarted");
  }
  NoteInstance(meant);
}

/** @return True if the engine tells that it is another start than this. */
bool EngineController::IsOtherStart(const fleet::InstanceId& instance) const {
  const auto born = fleet::StartTimeOf(instance);
  return born && report_.born && *born != *report_.born;
}

void EngineController::NoteInstance(const fleet::InstanceId& instance) {
  if (instance == instance_) return;
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "engine_instance",
             {{"was", instance_}, {"now", instance}});
  instance_ = instance;
}

bool EngineController::IsEngineUp() const {
  return engine_up_ && report_time_ &&
         clock_.Now() - *report_time_ < kFreshReport;
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
