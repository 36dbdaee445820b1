/** @file pacer_base.h A rate limiter that delays callers. */
#ifndef SAPPHIRE_STANDIN_PACER_BASE_H_
#define SAPPHIRE_STANDIN_PACER_BASE_H_

#include <chrono>
#include <mutex>

#include "core/clock_base.h"
#include "core/task_type.h"

namespace sapphire::standin {

/** Spaces calls evenly, first come, first served. Thread-safe. */
class Pacer {
 public:
  /** @param per_second Calls per second; 0: no limit.
   * @pre `clock` outlives the pacer. */
  Pacer(double per_second, const core::Clock& clock);

  /** Reserves the next free slot. @return The time until the slot. */
  std::chrono::milliseconds Reserve();

  /** Reserves the next free slot and waits for it. */
  core::Task<> Acquire();

 private:
  const core::SteadyTime::duration interval_;
  const core::Clock& clock_;
  std::mutex mutex_;
  core::SteadyTime next_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_PACER_BASE_H_
