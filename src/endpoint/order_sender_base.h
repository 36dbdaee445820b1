/** @file order_sender_base.h Sends load and unload orders to the engine, one at
 * a time. */
#ifndef SAPPHIRE_ENDPOINT_ORDER_SENDER_BASE_H_
#define SAPPHIRE_ENDPOINT_ORDER_SENDER_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "endpoint/engine_status_poller_base.h"
#include "external/engine_base.h"

namespace sapphire::endpoint {

struct OrderSenderOptions {
  /** Longest time one order may take. */
  std::chrono::milliseconds order_timeout{60'000};
  /** How long the engine must show neither the effect of an order of unknown
   * outcome nor any order in progress, before the order counts as not carried
   * out. Longer than an order can be in transit to the engine. */
  std::chrono::milliseconds settle_time{1000};
};

/** The final outcome of an order. */
struct OrderResult {
  bool carried_out = false;
  /** Why it was not carried out. */
  std::optional<core::Error> error;
};

/** Exclusive right to send orders; released when the last copy is dropped. */
using OrderLock = std::shared_ptr<void>;

/**
 * The only sender of orders to the engine. Each order's fence is larger than
 * all before it, so that an engine which honours fencing refuses a copy that
 * arrives late. Thread-safe.
 */
class OrderSender {
 public:
  /** @pre All references outlive the object. */
  OrderSender(OrderSenderOptions options, external::Engine& engine,
              EngineStatusPoller& status_poller, const core::Clock& clock,
              const core::Logger& log);

  /** Waits for the order lock. @pre The calling coroutine runs on a strand. */
  core::Task<OrderLock> Enter();

  /**
   * Sends an order and waits, without a time limit, until its outcome is
   * certain.
   * @param outcome_lost Called if the answer did not arrive.
   * @pre The caller holds the order lock.
   */
  core::Task<OrderResult> Execute(external::EngineOrder order,
                                  std::function<void()> outcome_lost);

  /** @return How often the order lock was taken so far; 0 while it is held. A
   * status read is consistent with this process's records if the value was the
   * same, and not 0, at both ends of the read. */
  [[nodiscard]] std::uint64_t IdleSequence() const;

  /** @return The lowest fence that the next grant may have. */
  [[nodiscard]] std::int64_t NextFence() const;

  /** Makes the next order's fence larger than `fence`. */
  void RaiseFence(std::int64_t fence);

 private:
  struct LockState {
    std::mutex mutex;
    core::Signal freed;
    bool held = false;
    std::uint64_t count = 1;
  };

  core::Task<std::optional<core::Error>> Send(external::EngineOrder order);
  core::Task<OrderResult> ResolveOutcome(external::EngineOrder order,
                                         core::Error error);
  core::Task<OrderResult> PrepareRetry(external::EngineOrder order,
                                       core::Error error);
  core::Task<EngineStatusPoller::StatusPtr> WaitForIdleStatus();
  std::int64_t TakeFence();

  const OrderSenderOptions options_;
  external::Engine& engine_;
  EngineStatusPoller& status_poller_;
  const core::Clock& clock_;
  const core::Logger& log_;
  const std::shared_ptr<LockState> lock_state_;
  mutable std::mutex mutex_;
  std::int64_t last_fence_ = 0;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ORDER_SENDER_BASE_H_
