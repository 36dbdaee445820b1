/** @file order_sender.cc Sends load and unload orders to the engine, one at a
 * time. */
#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "core/task_func.h"
#include "endpoint/order_sender_base.h"

namespace sapphire::endpoint {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Task;
using external::EngineModel;
using external::EngineModelState;
using external::EngineOrder;
using external::EngineStatus;
using external::OrderKind;

namespace {

/** How long to wait for one engine status before the wait starts again. */
constexpr std::chrono::milliseconds kStatusTimeout{5000};
/** Longest delay caused by a missed notification. */
constexpr std::chrono::milliseconds kLockRecheck{1000};
/** How often an order that the engine refuses is sent in all. */
constexpr int kMaxTries = 3;

std::string_view NameOf(OrderKind kind) {
  constexpr std::array<std::string_view, 4> kNames = {
      "load_model", "unload_model", "load_adapter", "unload_adapter"};
  return kNames.at(static_cast<std::size_t>(kind));
}

const EngineModel* FindModel(const EngineStatus& status,
                             const core::ModelId& model) {
  const auto it = std::ranges::find(status.models, model, &EngineModel::model);
  return it == status.models.end() ? nullptr : &*it;
}

/** @return True if the status shows the order's effect. */
bool ShowsEffect(const EngineStatus& status, const EngineOrder& order) {
  const EngineModel* model = FindModel(status, order.model);
  const bool adapter_held =
      model != nullptr &&
      std::ranges::find(model->adapters, order.adapter,
                        &external::EngineAdapter::adapter) !=
          model->adapters.end();
  switch (order.kind) {
    case OrderKind::kLoadModel:
      return model != nullptr && model->state == EngineModelState::kReady;
    case OrderKind::kUnloadModel:
      return model == nullptr;
    case OrderKind::kLoadAdapter:
      return adapter_held;
    case OrderKind::kUnloadAdapter:
      return !adapter_held;
  }
  return false;
}

/** @return True while the engine loads or unloads the model. */
bool IsChangingState(const EngineStatus& status, const core::ModelId& model) {
  const EngineModel* it = FindModel(status, model);
  return it != nullptr && it->state != EngineModelState::kReady;
}

}  // namespace

OrderSender::OrderSender(OrderSenderOptions options, external::Engine& engine,
                         EngineStatusPoller& status_poller,
                         const core::Clock& clock, const core::Logger& log)
    : options_(options),
      engine_(engine),
      status_poller_(status_poller),
      clock_(clock),
      log_(log),
      lock_state_(std::make_shared<LockState>()) {}

Task<OrderLock> OrderSender::Enter() {
  const auto lock_state = lock_state_;
  while (true) {
    const auto epoch = lock_state->freed.epoch();
    {
      const std::lock_guard lock(lock_state->mutex);
      if (!lock_state->held) {
        lock_state->held = true;
        ++lock_state->count;
        break;
      }
    }
    co_await lock_state->freed.Wait(epoch, kLockRecheck);
  }
  co_return OrderLock(nullptr, [lock_state](void*) {
    {
      const std::lock_guard lock(lock_state->mutex);
      lock_state->held = false;
    }
    lock_state->freed.Notify();
  });
}

std::uint64_t OrderSender::IdleSequence() const {
  const std::lock_guard lock(lock_state_->mutex);
  return lock_state_->held ? 0 : lock_state_->count;
}

std::int64_t OrderSender::NextFence() const {
  std::int64_t seen = 0;
  if (const auto status = status_poller_.Latest()) seen = status->fence;
  const std::lock_guard lock(mutex_);
  return std::max(last_fence_, seen) + 1;
}

void OrderSender::RaiseFence(std::int64_t fence) {
  const std::lock_guard lock(mutex_);
  last_fence_ = std::max(last_fence_, fence);
}

std::int64_t OrderSender::TakeFence() {
  const std::int64_t next = NextFence();
  RaiseFence(next);
  return next;
}

Task<OrderResult> OrderSender::Execute(EngineOrder order,
                                       std::function<void()> outcome_lost) {
  log_.Event(LogLevel::kInfo, LogCategory::kReplica, "order_given",
             {{"kind", NameOf(order.kind)},
              {"model", order.model},
              {"adapter", order.adapter}});
  for (int i = 1;; ++i) {
    order.fence = TakeFence();
    const auto error = co_await Send(order);
    if (!error) co_return OrderResult{true, std::nullopt};
    log_.Event(LogLevel::kWarning, LogCategory::kReplica, "order_failed",
               {{"kind", NameOf(order.kind)},
                {"model", order.model},
                {"fence", order.fence},
                {"error", std::string(error->what())}});
    if (error->code() == ErrorCode::kEngineRefusedOrder) {
      OrderResult result = co_await PrepareRetry(order, *error);
      if (result.carried_out || i >= kMaxTries) co_return result;
      continue;
    }
    if (error->code() == ErrorCode::kOutcomeUnknown) {
      outcome_lost();
      co_return co_await ResolveOutcome(order, *error);
    }
    co_return OrderResult{false, error};
  }
}

Task<std::optional<Error>> OrderSender::Send(EngineOrder order) {
  try {
    co_await engine_.Order(std::move(order), options_.order_timeout);
  } catch (const Error& e) {
    co_return e;
  }
  co_return std::nullopt;
}

/** Waits for a status that shows no order in progress. */
Task<EngineStatusPoller::StatusPtr> OrderSender::WaitForIdleStatus() {
  while (true) {
    const auto status =
        co_await status_poller_.WaitForNewStatus(kStatusTimeout);
    if (status && !status->order_in_progress) co_return status;
  }
}

/**
 * Prepares the retry of a refused order. The engine refuses an order while
 * another is in progress (of this process's predecessor on the VM), or if the
 * fence is too small (the predecessor's were larger). Once the engine is idle
 * its fence is known, and the next try uses a larger one.
 */
Task<OrderResult> OrderSender::PrepareRetry(EngineOrder order, Error error) {
  const auto status = co_await WaitForIdleStatus();
  RaiseFence(status->fence);
  co_return OrderResult{ShowsEffect(*status, order), error};
}

/**
 * Determines the outcome of an order whose answer was lost. The engine may have
 * carried the order out, may still do so, or may not have received it yet; the
 * memory and the grant stay taken until that is certain. The order counts as
 * carried out once the status shows its effect, and as not carried out once the
 * engine has been idle without it for longer than an order can be in transit.
 */
Task<OrderResult> OrderSender::ResolveOutcome(EngineOrder order, Error error) {
  std::optional<core::SteadyTime> idle_since;
  while (true) {
    const auto status = co_await WaitForIdleStatus();
    if (IsChangingState(*status, order.model)) {
      idle_since.reset();
      continue;
    }
    if (ShowsEffect(*status, order)) co_return OrderResult{true, std::nullopt};
    const core::SteadyTime now = clock_.Now();
    if (!idle_since) idle_since = now;
    if (now - *idle_since >= options_.settle_time) {
      co_return OrderResult{false, error};
    }
  }
}

}  // namespace sapphire::endpoint
