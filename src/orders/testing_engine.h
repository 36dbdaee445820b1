/** @file testing_engine.h In-memory engine for tests that implements the order
 * protocol. */
#ifndef SAPPHIRE_ORDERS_TESTING_ENGINE_H_
#define SAPPHIRE_ORDERS_TESTING_ENGINE_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/instance_func.h"
#include "orders/engine_port_base.h"

namespace sapphire::orders {

/**
 * Loads take real time; tests switch on losses and delays. Used on one thread.
 */
class TestingEngine final : public EnginePort {
 public:
  TestingEngine(std::int64_t memory_bytes, std::int64_t model_bytes)
      : memory_bytes_(memory_bytes), model_bytes_(model_bytes) {}

  core::Task<EngineReport> Report() override {
    Advance();
    co_return report_;
  }

  core::Task<OrderAnswer> Submit(EngineOrder order) override {
    ++orders_submitted;
    co_await core::SleepFor(answer_delay);
    Advance();
    if (lose_next_answer) {
      lose_next_answer = false;
      late_orders_.push_back({order, Now() + late_order_delay});
      throw core::Error(core::ErrorCode::kOutcomeUnknown, "no answer");
    }
    co_return ApplyOrder(order);
  }

  /** The next order gets no answer and is carried out `late_order_delay` later.
   */
  bool lose_next_answer = false;
  std::chrono::milliseconds late_order_delay{300};
  std::chrono::milliseconds load_time{60};
  /** How long the engine takes to answer an order. */
  std::chrono::milliseconds answer_delay{0};
  fleet::InstanceId instance{"i-1"};
  int orders_submitted = 0;
  /** An order exceeded its memory, which crashes a real engine. */
  bool over_memory = false;

  void AddModel(const std::string& model) {
    fleet::LoadedModel held;
    held.model = core::ModelId(model);
    report_.models.push_back(held);
  }

  /**
   * Crashes and restarts at once, empty; reports do not contain its start time.
   */
  void Restart() {
    report_ = EngineReport();
    loading_.reset();
    late_orders_.clear();
  }

  /** Reports from now on that it leaves. */
  void Leave() { report_.leaving = true; }

  /** Reports this start time from now on. */
  void SetStartTime(fleet::EngineStartTime start_time) {
    report_.start_time = start_time;
  }

  /**
   * Crashes and restarts at once under the same id, empty and with an order
   * count of 0. Delayed orders still arrive.
   */
  void RestartAt(fleet::EngineStartTime start_time) {
    report_ = EngineReport();
    report_.start_time = start_time;
    loading_.reset();
    adapters_.clear();
  }

  [[nodiscard]] bool Holds(const std::string& model) {
    Advance();
    return std::ranges::any_of(report_.models, [&](const auto& it) {
      return it.model.value() == model;
    });
  }

 private:
  struct ScheduledOrder {
    EngineOrder order;
    core::SteadyTime at;
  };

  static core::SteadyTime Now() { return std::chrono::steady_clock::now(); }

  OrderAnswer ApplyOrder(const EngineOrder& order) {
    const bool other_engine =
        fleet::EngineOf(order.instance) != fleet::EngineOf(instance);
    if (other_engine) return OrderAnswer::kOtherInstance;
    if (order.expected_count != report_.order_count || loading_) {
      return OrderAnswer::kBusy;
    }
    if (!order.adapter.empty()) return ApplyAdapterOrder(order);
    ++report_.order_count;
    if (order.kind == OrderKind::kUnload) {
      std::erase_if(report_.models,
                    [&](const auto& it) { return it.model == order.model; });
      return OrderAnswer::kAccepted;
    }
    const auto held = static_cast<std::int64_t>(report_.models.size());
    over_memory = over_memory || (held + 1) * model_bytes_ > memory_bytes_;
    loading_ = ScheduledOrder{order, Now() + load_time};
    report_.order_in_progress = true;
    return OrderAnswer::kAccepted;
  }

  /** Adapters load while requests run: the engine does not count as busy. */
  OrderAnswer ApplyAdapterOrder(const EngineOrder& order) {
    if (FindHeldModel(order.model) == nullptr) return OrderAnswer::kBusy;
    ++report_.order_count;
    adapters_.push_back({order, Now() + load_time});
    UpdateLoadingAdapters();
    return OrderAnswer::kAccepted;
  }

  fleet::LoadedModel* FindHeldModel(const core::ModelId& model) {
    const auto it =
        std::ranges::find(report_.models, model, &fleet::LoadedModel::model);
    return it == report_.models.end() ? nullptr : &*it;
  }

  void AdvanceAdapters() {
    for (const ScheduledOrder& it : std::exchange(adapters_, {})) {
      fleet::LoadedModel* held = FindHeldModel(it.order.model);
      if (Now() < it.at) {
        adapters_.push_back(it);
      } else if (held != nullptr) {
        held->adapters.insert(it.order.adapter);
      }
    }
    UpdateLoadingAdapters();
  }

  void UpdateLoadingAdapters() {
    report_.loading.clear();
    for (const ScheduledOrder& it : adapters_) {
      report_.loading.push_back({it.order.model, it.order.adapter});
    }
  }

  void Advance() {
    AdvanceAdapters();
    for (const ScheduledOrder& it : std::exchange(late_orders_, {})) {
      if (Now() < it.at) {
        late_orders_.push_back(it);
      } else {
        ApplyOrder(it.order);
      }
    }
    if (!loading_ || Now() < loading_->at) return;
    AddModel(loading_->order.model.value());
    loading_.reset();
    report_.order_in_progress = false;
  }

  const std::int64_t memory_bytes_;
  const std::int64_t model_bytes_;
  EngineReport report_;
  std::optional<ScheduledOrder> loading_;
  std::vector<ScheduledOrder> late_orders_;
  std::vector<ScheduledOrder> adapters_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_TESTING_ENGINE_H_
