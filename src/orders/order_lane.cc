/** @file order_lane.cc One at a time, in the order of coming. */
#include "orders/order_lane_base.h"

namespace sapphire::orders {

namespace {

/** Only a bound for one wait; the signal wakes earlier. */
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
