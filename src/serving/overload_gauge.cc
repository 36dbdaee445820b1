/** @file overload_gauge.cc Tells when an entry has more work than processor
 * time. */
#include "serving/overload_gauge_base.h"

namespace sapphire::serving {

void OverloadGauge::Record(std::chrono::milliseconds delay) {
  const core::SteadyTime now = clock_.Now();
  if (delay <= kMaxDelay) {
    late_since_.reset();
  } else if (!late_since_) {
    late_since_ = now;
  }
  const bool is_over = late_since_ && now - *late_since_ >= kMinTime;
  if (is_over == is_overloaded_) return;
  is_overloaded_ = is_over;
  log_.Event(core::LogLevel::kWarning, core::LogCategory::kProcess,
             is_over ? "overload_began" : "overload_ended",
             {{"delay_ms", delay}});
}

}  // namespace sapphire::serving
