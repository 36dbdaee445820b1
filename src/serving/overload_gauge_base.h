/** @file overload_gauge_base.h Tells when an entry has more work than processor
 * time. */
#ifndef SAPPHIRE_SERVING_OVERLOAD_GAUGE_BASE_H_
#define SAPPHIRE_SERVING_OVERLOAD_GAUGE_BASE_H_

#include <chrono>
#include <optional>

#include "core/clock_base.h"
#include "core/log_base.h"

namespace sapphire::serving {

/**
 * Finds a standing queue of work: timers that fire late all the time. A single
 * stall makes one timer late and does not count. Not thread-safe.
 */
class OverloadGauge {
 public:
  /** A stream's event may be relayed this much later than its engine sent it;
   * callers count a longer delay as a late answer. */
  static constexpr std::chrono::milliseconds kMaxDelay{120};
  /** Timers have to be late for this long. */
  static constexpr std::chrono::milliseconds kMinTime{750};

  /** @pre `clock` and `log` outlive the gauge. */
  OverloadGauge(const core::Clock& clock, const core::Logger& log)
      : clock_(clock), log_(log) {}

  /** Records how late a timer fired. */
  void Record(std::chrono::milliseconds delay);

  [[nodiscard]] bool is_overloaded() const { return is_overloaded_; }

 private:
  const core::Clock& clock_;
  const core::Logger& log_;
  /** When the first of the late timers fired, without one in time since. */
  std::optional<core::SteadyTime> late_since_;
  bool is_overloaded_ = false;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_OVERLOAD_GAUGE_BASE_H_
