/** @file testing_engine.h An engine in memory that keeps the order protocol. */
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

/** One thread. Loads take real time; what is lost or late is switched. */
class TestingEngine final : public EnginePort {
 public:
  TestingEngine(std::int64_t memory_bytes, std::int64_t model_bytes)
      : memory_bytes_(memory_bytes), model_bytes_(model_bytes) {}

  core::Task<EngineReport> Report() override {
    Advance();
    co_return report_;
  }

  core::Task<OrderAnswer> Give(EngineOrder order) override {
    ++orders_given;
    co_await core::SleepFor(answer_delay);
    Advance();
    if (lose_next_answer) {
      lose_next_answer = false;
      late_.push_back({order, Now() + late_by});
      throw core::Error(core::ErrorCode::kOutcomeUnknown, "no answer");
    }
    co_return Take(order);
  }

  /** The next order gets no answer and is carried out `late_by` later. */
  bool lose_next_answer = false;
  std::chrono::milliseconds late_by{300};
  std::chrono::milliseconds load_time{60};
  /** How long the engine takes to answer an order. */
  std::chrono::milliseconds answer_delay{0};
  fleet::InstanceId instance{"i-1"};
  int orders_given = 0;
  /** It was ordered over its memory, which crashes a real one. */
  bool over_memory = false;

  void Hold(const std::string& model) {
    fleet::LoadedModel held;
    held.model = core::ModelId(model);
    report_.models.push_back(held);
  }

  /** Crashes and is back at once, empty; reports do not tell its start. */
  void Restart() {
    report_ = EngineReport();
    loading_.reset();
    late_.clear();
  }

  /** Tells from now on that it started then. */
  void TellBirth(fleet::EngineStartTime born) { report_.born = born; }

  /** Crashes and is back at once under its name, empty and counting anew. What
   * is late on its way still arrives. */
  void RestartAt(fleet::EngineStartTime born) {
    report_ = EngineReport();
    report_.born = born;
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
  struct Late {
    EngineOrder order;
    core::SteadyTime at;
  };

  static core::SteadyTime Now() { return std::chrono::steady_clock::now(); }

  OrderAnswer Take(const EngineOrder& order) {
    const bool other_engine =
        fleet::EngineOf(order.instance) != fleet::EngineOf(instance);
    if (other_engine) return OrderAnswer::kOtherInstance;
    if (order.expected_count != report_.order_count || loading_) {
      return OrderAnswer::kBusy;
    }
    if (!order.adapter.empty()) return TakeAdapter(order);
    ++report_.order_count;
    if (order.kind == OrderKind::kUnload) {
      std::erase_if(report_.models,
                    [&](const auto& it) { return it.model == order.model; });
      return OrderAnswer::kAccepted;
    }
    const auto held = static_cast<std::int64_t>(report_.models.size());
    over_memory = over_memory || (held + 1) * model_bytes_ > memory_bytes_;
    loading_ = Late{order, Now() + load_time};
    report_.order_in_progress = true;
    return OrderAnswer::kAccepted;
  }

  /** An adapter loads beside requests: its engine does not count as busy. */
  OrderAnswer TakeAdapter(const EngineOrder& order) {
    if (HeldOf(order.model) == nullptr) return OrderAnswer::kBusy;
    ++report_.order_count;
    adapters_.push_back({order, Now() + load_time});
    ShowComing();
    return OrderAnswer::kAccepted;
  }

  fleet::LoadedModel* HeldOf(const core::ModelId& model) {
    const auto it =
        std::ranges::find(report_.models, model, &fleet::LoadedModel::model);
    return it == report_.models.end() ? nullptr : &*it;
  }

  void AdvanceAdapters() {
    for (const Late& it : std::exchange(adapters_, {})) {
      fleet::LoadedModel* held = HeldOf(it.order.model);
      if (Now() < it.at) {
        adapters_.push_back(it);
      } else if (held != nullptr) {
        held->adapters.insert(it.order.adapter);
      }
    }
    ShowComing();
  }

  void ShowComing() {
    report_.coming.clear();
    for (const Late& it : adapters_) {
      report_.coming.push_back({it.order.model, it.order.adapter});
    }
  }

  void Advance() {
    AdvanceAdapters();
    for (const Late& it : std::exchange(late_, {})) {
      if (Now() < it.at) {
        late_.push_back(it);
      } else {
        Take(it.order);
      }
    }
    if (!loading_ || Now() < loading_->at) return;
    Hold(loading_->order.model.value());
    loading_.reset();
    report_.order_in_progress = false;
  }

  const std::int64_t memory_bytes_;
  const std::int64_t model_bytes_;
  EngineReport report_;
  std::optional<Late> loading_;
  std::vector<Late> late_;
  std::vector<Late> adapters_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_TESTING_ENGINE_H_
