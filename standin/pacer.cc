/** @file pacer.cc A rate limiter that delays callers. */
#include <algorithm>

#include "core/task_func.h"
#include "standin/pacer_base.h"

namespace sapphire::standin {

namespace {

core::SteadyTime::duration IntervalOf(double per_second) {
  if (per_second <= 0) return {};
  const std::chrono::duration<double> interval(1 / per_second);
  return std::chrono::duration_cast<core::SteadyTime::duration>(interval);
}

}  // namespace

Pacer::Pacer(double per_second, const core::Clock& clock)
    : interval_(IntervalOf(per_second)), clock_(clock), next_(clock.Now()) {}

std::chrono::milliseconds Pacer::Reserve() {
  const std::lock_guard lock(mutex_);
  const core::SteadyTime now = clock_.Now();
  const core::SteadyTime turn = std::max(now, next_);
  next_ = turn + interval_;
  return std::chrono::ceil<std::chrono::milliseconds>(turn - now);
}

core::Task<> Pacer::Acquire() {
  const std::chrono::milliseconds wait = Reserve();
  if (wait.count() > 0) {
    co_await core::SleepFor(wait);
  }
}

}  // namespace sapphire::standin
