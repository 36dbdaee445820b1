/** @file run_time.cc How long requests of models usually run. */
#include <algorithm>

#include "policy/run_time_base.h"

namespace sapphire::policy {

namespace {

using std::chrono::milliseconds;

constexpr double kLatestWeight = 0.05;
/** Bounds of one run: a verdict of a few tokens, and the longest draft on a
 * crowded engine. */
constexpr milliseconds kShortest{50};
constexpr milliseconds kLongest{15'000};

}  // namespace

void RunTimeEstimate::Note(milliseconds run) {
  const auto bounded =
      static_cast<double>(std::clamp(run, kShortest, kLongest).count());
  mean_ms_ += kLatestWeight * (bounded - mean_ms_);
}

milliseconds RunTimeEstimate::mean() const {
  return milliseconds(static_cast<milliseconds::rep>(mean_ms_));
}

}  // namespace sapphire::policy
