/** @file lane_queue_base.h Waits for a lane (load slot) of the weight store. */
#ifndef SAPPHIRE_ENDPOINT_LANE_QUEUE_BASE_H_
#define SAPPHIRE_ENDPOINT_LANE_QUEUE_BASE_H_

#include <chrono>
#include <optional>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "endpoint/lane_type.h"
#include "external/key_value_base.h"

namespace sapphire::endpoint {

struct LaneQueueOptions {
  core::VmId vm;
  /** Time until a lane lapses if its holder doesn't free it. */
  std::chrono::milliseconds hold_limit{30'000};
  /** Time until a bid lapses if it isn't renewed. */
  std::chrono::milliseconds bid_lifetime{2000};
  std::chrono::milliseconds poll{200};
};

/**
 * Limits the fleet's concurrent remote loads, so that the weight store serves
 * each at full speed and the earliest deadline first. Lanes lapse by wall time:
 * clock skew, a paused holder or an outage makes loads slower, never unsafe.
 */
class LaneQueue {
 public:
  /** @pre All references outlive the queue. */
  LaneQueue(LaneQueueOptions options, external::KeyValueStore& store,
            const core::Clock& clock, const core::Logger& log);

  /**
   * Waits for a lane. If the key-value service is down it returns true without
   * one: the endpoint loads one model at a time anyway, its fixed share.
   * @param lanes_at_once How many loads the store serves at full speed.
   * @return False if no lane was free before `deadline`.
   */
  core::Task<bool> Enter(core::ModelId model, int lanes_at_once,
                         core::SteadyTime deadline);

  /** Frees the lane; if that fails, the lane lapses later. */
  core::Task<> Leave(core::ModelId model);

 private:
  enum class EnterResult { kTaken, kWait, kOutage };

  core::Task<EnterResult> TryEnter(core::ModelId model, int lanes_at_once,
                                   core::WallTime deadline);
  core::Task<bool> TryLeave(core::ModelId model);

  const LaneQueueOptions options_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_LANE_QUEUE_BASE_H_
