/** @file usage_window.cc Units used over a sliding window. */
#include <algorithm>

#include "quota/usage_window_base.h"

namespace sapphire::quota {

namespace {

/** Units used within this time of the latest sample are added to it. */
constexpr std::chrono::milliseconds kSampleInterval{20};

}  // namespace

void UsageWindow::Add(double units, core::SteadyTime now) {
  sum_ += units;
  if (!samples_.empty() && now - samples_.back().at < kSampleInterval) {
    samples_.back().units += units;
    return;
  }
  samples_.push_back({now, units});
}

void UsageWindow::Remove(double units) {
  while (units > 0 && !samples_.empty()) {
    UsageSample& last = samples_.back();
    const double taken = std::min(units, last.units);
    last.units -= taken;
    sum_ -= taken;
    units -= taken;
    if (last.units <= 0) samples_.pop_back();
  }
}

double UsageWindow::Sum(std::chrono::milliseconds window,
                        core::SteadyTime now) {
  // A sample expires with the latest use that it can hold.
  while (!samples_.empty() &&
         samples_.front().at + kSampleInterval + window <= now) {
    sum_ -= samples_.front().units;
    samples_.pop_front();
  }
  if (samples_.empty()) sum_ = 0;
  return sum_;
}

bool UsageWindow::IsExpired(std::chrono::milliseconds window,
                            core::SteadyTime now) const {
  return samples_.empty() ||
         samples_.back().at + kSampleInterval + window <= now;
}

std::chrono::milliseconds UsageWindow::TimeUntilBelow(
    double units, std::chrono::milliseconds window,
    core::SteadyTime now) const {
  double left = sum_;
  for (const UsageSample& it : samples_) {
    if (left < units) break;
    left -= it.units;
    if (left >= units) continue;
    const auto wait = it.at + kSampleInterval + window - now;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(wait),
                    std::chrono::milliseconds(0));
  }
  return std::chrono::milliseconds(0);
}

}  // namespace sapphire::quota
