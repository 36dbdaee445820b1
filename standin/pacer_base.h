/** @file pacer_base.h A rate limit that makes callers wait their turn. */
#ifndef SAPPHIRE_STANDIN_PACER_BASE_H_
#define SAPPHIRE_STANDIN_PACER_BASE_H_

#include <chrono>
#include <mutex>

#include "core/clock_base.h"
#include "core/task_type.h"

namespace sapphire::standin {

/** Spaces callers evenly, in the order they ask. Safe on many threads. */
class Pacer {
 public:
  /** @param per_second How many may pass; 0: no limit.
   * @pre `clock` outlives the pacer. */
  Pacer(double per_second, const core::Clock& clock);

  /** Takes the next free turn. @return How long until it comes. */
  std::chrono::milliseconds Reserve();

  /** Takes the next free turn and waits for it. */
  core::Task<> Pass();

 private:
  const core::SteadyTime::duration interval_;
  const core::Clock& clock_;
  std::mutex mutex_;
  core::SteadyTime next_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_PACER_BASE_H_
