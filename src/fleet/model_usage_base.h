/** @file model_usage_base.h Tracks the use of models and adapters. */
#ifndef SAPPHIRE_FLEET_MODEL_USAGE_BASE_H_
#define SAPPHIRE_FLEET_MODEL_USAGE_BASE_H_

#include <chrono>

#include "core/clock_base.h"
#include "fleet/usage_type.h"

namespace sapphire::fleet {

/** Counts requests in progress and averages the rate of new ones, per model and
 * adapter. Not thread-safe. */
class ModelUsage {
 public:
  /** @pre `clock` outlives this object. */
  explicit ModelUsage(const core::Clock& clock) : clock_(clock) {}

  /** Records that a request has begun now. */
  void RecordBegun(const ModelOrAdapter& part);

  /** Changes the number of requests in progress. */
  void AddRunning(const ModelOrAdapter& part, int change);

  /** Changes the demand, in requests per second. */
  void AddDemand(const ModelOrAdapter& part, double change);

  /** Records that a request began at `time`. */
  void UpdateLastBegun(const ModelOrAdapter& part, core::SteadyTime time);

  [[nodiscard]] Usage Of(const ModelOrAdapter& part) const;

  /** @return Use of all models and adapters with requests that are in progress
   * or began within `time`. */
  [[nodiscard]] UsageByPart Recent(std::chrono::milliseconds time) const;

  /** @return Number of requests in progress. Requests for an adapter are
   * counted once, with its model. */
  [[nodiscard]] int running() const { return running_; }

 private:
  struct Counts {
    int running = 0;
    double demand = 0;
    /** When `demand` was last updated. */
    core::SteadyTime demand_at;
    std::optional<core::SteadyTime> last_begun;
  };

  [[nodiscard]] double Decayed(const Counts& counts) const;
  [[nodiscard]] Usage UsageOf(const Counts& counts) const;

  const core::Clock& clock_;
  std::map<ModelOrAdapter, Counts> parts_;
  int running_ = 0;
};

/** @return The demand after exponential decay for the given time. */
double DecayedDemand(double demand, std::chrono::duration<double> age);

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_MODEL_USAGE_BASE_H_
