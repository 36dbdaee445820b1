/** @file usage_window_base.h Units used over a sliding window. */
#ifndef SAPPHIRE_QUOTA_USAGE_WINDOW_BASE_H_
#define SAPPHIRE_QUOTA_USAGE_WINDOW_BASE_H_

#include <chrono>
#include <deque>

#include "core/clock_base.h"

namespace sapphire::quota {

/** Units used at about the same time. */
struct UsageSample {
  core::SteadyTime at;
  double units = 0;
};

/** Sums up the units used within a sliding window. */
class UsageWindow {
 public:
  void Add(double units, core::SteadyTime now);

  /** Subtracts units that were not used after all, from the latest use first.
   */
  void Remove(double units);

  /** @return Units used in the window that ends at `now`. */
  double Sum(std::chrono::milliseconds window, core::SteadyTime now);

  /** @return True if nothing was used in the window. */
  [[nodiscard]] bool IsExpired(std::chrono::milliseconds window,
                               core::SteadyTime now) const;

  /** @return Time until the sum falls below `units`, if nothing is added. */
  [[nodiscard]] std::chrono::milliseconds TimeUntilBelow(
      double units, std::chrono::milliseconds window,
      core::SteadyTime now) const;

  /** @return The samples, oldest first. */
  [[nodiscard]] const std::deque<UsageSample>& samples() const {
    return samples_;
  }

 private:
  std::deque<UsageSample> samples_;
  double sum_ = 0;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_USAGE_WINDOW_BASE_H_
