/** @file run_time_base.h How long requests of models usually run. */
#ifndef SAPPHIRE_POLICY_RUN_TIME_BASE_H_
#define SAPPHIRE_POLICY_RUN_TIME_BASE_H_

#include <chrono>

namespace sapphire::policy {

/**
 * A running mean of the times that whole runs took. Before anything was seen it
 * is a prior; each run counts a twentieth, so that a step change shows within
 * some seconds of a busy entry; what is beyond the bounds counts as the bound,
 * so that one stuck run can't move it far.
 */
class RunTimeEstimate {
 public:
  void Note(std::chrono::milliseconds run);

  [[nodiscard]] std::chrono::milliseconds mean() const;

 private:
  /** Origin: a draft of 42 to 58 events takes 1.7 to 2.3 s on engines that are
   * not crowded. */
  double mean_ms_ = 2000;
};

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_RUN_TIME_BASE_H_
