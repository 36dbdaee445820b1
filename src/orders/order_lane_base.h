/** @file order_lane_base.h First-in, first-out mutex for coroutines. */
#ifndef SAPPHIRE_ORDERS_ORDER_LANE_BASE_H_
#define SAPPHIRE_ORDERS_ORDER_LANE_BASE_H_

#include <cstdint>

#include "core/signal_base.h"
#include "core/task_type.h"

namespace sapphire::orders {

/**
 * A mutex that coroutines acquire in the order of their requests. Used on one
 * thread.
 */
class OrderLane {
 public:
  /** Holds the mutex until it is destroyed. */
  class Turn {
   public:
    explicit Turn(OrderLane& lane) : lane_(lane) {}
    ~Turn() { lane_.Next(); }
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;

   private:
    OrderLane& lane_;
  };

  /**
   * Waits until all earlier requests have released the mutex; the caller then
   * constructs a Turn at once.
   */
  core::Task<> Await();

  /** @return Number of coroutines that wait for the mutex or hold it. */
  [[nodiscard]] int length() const {
    return static_cast<int>(next_ticket_ - serving_);
  }

 private:
  void Next();

  std::uint64_t next_ticket_ = 0;
  std::uint64_t serving_ = 0;
  core::Signal moved_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ORDER_LANE_BASE_H_
