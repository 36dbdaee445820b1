/** @file clock_base.h The clock every time-dependent object is given. */
#ifndef SAPPHIRE_CORE_CLOCK_BASE_H_
#define SAPPHIRE_CORE_CLOCK_BASE_H_

#include <time.h>

#include <atomic>
#include <chrono>

namespace sapphire::core {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Millis = std::chrono::milliseconds;

/** Source of time. Passed in, so that tests decide what time it is. */
class Clock {
 public:
  virtual ~Clock() = default;

  /** @return Monotonic time: for timeouts and durations. */
  [[nodiscard]] virtual SteadyTime Now() const = 0;

  /** @return Wall time: for log lines and values kept in the platform only. */
  [[nodiscard]] virtual WallTime WallNow() const = 0;
};

/** The machine's clocks. */
class SystemClock final : public Clock {
 public:
  /** Counts the time for which the machine was suspended, which the steady
   * clock of the library leaves out: leases end meanwhile. */
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

/** A clock that stands still until it is told to move. */
class ManualClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const override {
    return SteadyTime(std::chrono::nanoseconds(nanos_.load()));
  }
  [[nodiscard]] WallTime WallNow() const override {
    return WallTime(std::chrono::nanoseconds(nanos_.load()));
  }

  /** Moves both times forward. */
  void Advance(std::chrono::nanoseconds by) { nanos_ += by.count(); }

 private:
  std::atomic<std::chrono::nanoseconds::rep> nanos_{0};
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_CLOCK_BASE_H_
