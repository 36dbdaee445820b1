/** @file usage_window_base.h Units used over a sliding window. */
#ifndef SAPPHIRE_QUOTA_USAGE_WINDOW_BASE_H_
#define SAPPHIRE_QUOTA_USAGE_WINDOW_BASE_H_

#include <chrono>
#include <deque>

#include "core/clock_base.h"

namespace sapphire::quota {

/** Units used at a time. */
struct Use {
  core::SteadyTime at;
  double units = 0;
};

/** Remembers each use for the length of the window. */
class UsageWindow {
 public:
  void Add(double units, core::SteadyTime now);

  /** Takes units back that were not used, the latest first. */
  void Remove(double units);

  /** @return Units used in the window that ends at `now`. */
  double Sum(std::chrono::milliseconds window, core::SteadyTime now);

  /** @return True if nothing was used in the window. */
  [[nodiscard]] bool IsOver(std::chrono::milliseconds window,
                            core::SteadyTime now) const;

  /** @return Until the sum falls below `units`, if nothing is added. */
  [[nodiscard]] std::chrono::milliseconds TimeUntilBelow(
      double units, std::chrono::milliseconds window,
      core::SteadyTime now) const;

  /** @return What was used, the oldest first. */
  [[nodiscard]] const std::deque<Use>& uses() const { return uses_; }

 private:
  std::deque<Use> uses_;
  double sum_ = 0;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_USAGE_WINDOW_BASE_H_
