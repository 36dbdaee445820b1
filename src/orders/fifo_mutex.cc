/** @file fifo_mutex.cc First-in, first-out mutex for coroutines. */
#include "orders/fifo_mutex_base.h"

namespace sapphire::orders {

namespace {

/** Upper bound for one wait; the signal wakes the coroutine earlier. */
constexpr std::chrono::seconds kMaxWait{60};

}  // namespace

core::Task<> FifoMutex::Acquire() {
  const std::uint64_t ticket = next_ticket_++;
  while (serving_ != ticket) {
    const std::uint64_t epoch = unlocked_.epoch();
    co_await unlocked_.Wait(epoch, kMaxWait);
  }
}

void FifoMutex::Unlock() {
  ++serving_;
  unlocked_.Notify();
}

}  // namespace sapphire::orders
