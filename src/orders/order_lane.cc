/** @file order_lane.cc First-in, first-out mutex for coroutines. */
#include "orders/order_lane_base.h"

namespace sapphire::orders {

namespace {

/** Upper bound for one wait; the signal wakes the coroutine earlier. */
constexpr std::chrono::seconds kLongWait{60};

}  // namespace

core::Task<> OrderLane::Await() {
  const std::uint64_t ticket = next_ticket_++;
  while (serving_ != ticket) {
    const std::uint64_t epoch = moved_.epoch();
    co_await moved_.Wait(epoch, kLongWait);
  }
}

void OrderLane::Next() {
  ++serving_;
  moved_.Notify();
}

}  // namespace sapphire::orders
