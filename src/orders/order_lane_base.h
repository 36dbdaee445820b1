/** @file order_lane_base.h One at a time, in the order of coming. */
#ifndef SAPPHIRE_ORDERS_ORDER_LANE_BASE_H_
#define SAPPHIRE_ORDERS_ORDER_LANE_BASE_H_

#include <cstdint>

#include "core/signal_base.h"
#include "core/task_type.h"

namespace sapphire::orders {

/** A queue of coroutines. One thread. */
class OrderLane {
 public:
  /** Holds the lane until it is destroyed. */
  class Turn {
   public:
    explicit Turn(OrderLane& lane) : lane_(lane) {}
    ~Turn() { lane_.Next(); }
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;

   private:
    OrderLane& lane_;
  };

  /** Waits until everybody before has gone; then make a Turn at once. */
  core::Task<> Await();

  /** @return How many wait or hold it. */
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
