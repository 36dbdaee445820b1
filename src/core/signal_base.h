/** @file signal_base.h A condition variable for coroutines. */
#ifndef SAPPHIRE_CORE_SIGNAL_BASE_H_
#define SAPPHIRE_CORE_SIGNAL_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "core/task_type.h"

namespace sapphire::core {

/**
 * Wakes coroutines on any thread. A waiter reads the epoch, checks its
 * condition under its own lock, then waits for the epoch to change: a
 * notification between the check and the wait is not missed.
 */
class Signal {
 public:
  [[nodiscard]] std::uint64_t epoch() const;

  /** Increments the epoch and wakes every waiter. Thread-safe. */
  void Notify();

  /**
   * Waits until the epoch differs from `seen`, or until `timeout`.
   * @return True if the epoch changed.
   * @pre The calling coroutine runs on a strand.
   */
  Task<bool> Wait(std::uint64_t seen, std::chrono::milliseconds timeout);

 private:
  struct Waiter;
  mutable std::mutex mutex_;
  std::uint64_t epoch_ = 0;
  std::vector<std::shared_ptr<Waiter>> waiters_;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_SIGNAL_BASE_H_
