/** @file clock_base.h Clock interface, system clock and test clock. */
#ifndef SAPPHIRE_CORE_CLOCK_BASE_H_
#define SAPPHIRE_CORE_CLOCK_BASE_H_

#include <time.h>

#include <atomic>
#include <chrono>

namespace sapphire::core {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Millis = std::chrono::milliseconds;

/** Source of time, injected so that tests control it. */
class Clock {
 public:
  virtual ~Clock() = default;

  /** @return Monotonic time: for timeouts and durations. */
  [[nodiscard]] virtual SteadyTime Now() const = 0;

  /** @return Wall time: only for log lines and values kept in the platform. */
  [[nodiscard]] virtual WallTime WallNow() const = 0;
};

/** The clocks of the operating system. */
class SystemClock final : public Clock {
 public:
  /** Includes the time for which the machine was suspended, unlike
   * std::chrono::steady_clock: leases expire meanwhile. */
  [[nodiscard]] SteadyTime Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return SteadyTime(std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
  }
  [[nodiscard]] WallTime WallNow() const override {
    return std::chrono::system_clock::now();
  }
};

/** A clock that only changes when it is advanced. */
class ManualClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const override {
    return SteadyTime(std::chrono::nanoseconds(nanos_.load()));
  }
  [[nodiscard]] WallTime WallNow() const override {
    return WallTime(std::chrono::nanoseconds(nanos_.load()));
  }

  /** Advances the monotonic and the wall time. */
  void Advance(std::chrono::nanoseconds by) { nanos_ += by.count(); }

 private:
  std::atomic<std::chrono::nanoseconds::rep> nanos_{0};
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_CLOCK_BASE_H_
