/** @file fifo_mutex_base.h First-in, first-out mutex for coroutines. */
#ifndef SAPPHIRE_ORDERS_FIFO_MUTEX_BASE_H_
#define SAPPHIRE_ORDERS_FIFO_MUTEX_BASE_H_

#include <cstdint>

#include "core/signal_base.h"
#include "core/task_type.h"

namespace sapphire::orders {

/**
 * A mutex that coroutines acquire in the order of their requests. Used on one
 * thread.
 */
class FifoMutex {
 public:
  /** Holds the mutex until it is destroyed. */
  class Lock {
   public:
    explicit Lock(FifoMutex& mutex) : mutex_(mutex) {}
    ~Lock() { mutex_.Unlock(); }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;

   private:
    FifoMutex& mutex_;
  };

  /**
   * Waits until all earlier requests have released the mutex; the caller then
   * constructs a Lock at once.
   */
  core::Task<> Acquire();

  /** @return Number of coroutines that wait for the mutex or hold it. */
  [[nodiscard]] int queue_length() const {
    return static_cast<int>(next_ticket_ - serving_);
  }

 private:
  void Unlock();

  std::uint64_t next_ticket_ = 0;
  std::uint64_t serving_ = 0;
  core::Signal unlocked_;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_FIFO_MUTEX_BASE_H_
