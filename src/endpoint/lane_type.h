/** @file lane_type.h Who loads from the weight store, and who waits for it. */
#ifndef SAPPHIRE_ENDPOINT_LANE_TYPE_H_
#define SAPPHIRE_ENDPOINT_LANE_TYPE_H_

#include <vector>

#include "core/clock_base.h"
#include "core/id_type.h"

namespace sapphire::endpoint {

/** A load that uses one of the weight store's lanes, or waits for one. */
struct LaneEntry {
  core::VmId vm;
  core::ModelId model;
  /** Bids: the earlier goes first. */
  core::WallTime deadline;
  /** Counts no more from then on: its process may be gone. */
  core::WallTime until;
};

/** The value under `lanes`. */
struct LanesValue {
  std::vector<LaneEntry> holders;
  std::vector<LaneEntry> bids;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_LANE_TYPE_H_
