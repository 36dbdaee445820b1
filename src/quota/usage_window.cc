/** @file usage_window.cc Units used over a sliding window. */
#include <algorithm>

#include "quota/usage_window_base.h"

namespace sapphire::quota {

namespace {

/** Units used within this time of the latest sample are added to it. */
constexpr std::chrono::milliseconds kStep{20};

}  // namespace

void UsageWindow::Add(double units, core::SteadyTime now) {
  sum_ += units;
  if (!uses_.empty() && now - uses_.back().at < kStep) {
    uses_.back().units += units;
    return;
  }
  uses_.push_back({now, units});
}

void UsageWindow::Remove(double units) {
  while (units > 0 && !uses_.empty()) {
    Use& last = uses_.back();
    const double taken = std::min(units, last.units);
    last.units -= taken;
    sum_ -= taken;
    units -= taken;
    if (last.units <= 0) uses_.pop_back();
  }
}

double UsageWindow::Sum(std::chrono::milliseconds window,
                        core::SteadyTime now) {
  // A sample expires with the latest use that it can hold.
  while (!uses_.empty() && uses_.front().at + kStep + window <= now) {
    sum_ -= uses_.front().units;
    uses_.pop_front();
  }
  if (uses_.empty()) sum_ = 0;
  return sum_;
}

bool UsageWindow::IsOver(std::chrono::milliseconds window,
                         core::SteadyTime now) const {
  return uses_.empty() || uses_.back().at + kStep + window <= now;
}

std::chrono::milliseconds UsageWindow::TimeUntilBelow(
    double units, std::chrono::milliseconds window,
    core::SteadyTime now) const {
  double left = sum_;
  for (const Use& it : uses_) {
    if (left < units) break;
    left -= it.units;
    if (left >= units) continue;
    const auto wait = it.at + kStep + window - now;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(wait),
                    std::chrono::milliseconds(0));
  }
  return std::chrono::milliseconds(0);
}

}  // namespace sapphire::quota
