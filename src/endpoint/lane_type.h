/** @file lane_type.h Holders of, and bids for, the weight store's lanes. */
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
  /** Of several bids the one with the earliest deadline goes first. */
  core::WallTime deadline;
  /** When the entry lapses, because its process may have ended. */
  core::WallTime until;
};

/** The value under `lanes`. */
struct LanesValue {
  std::vector<LaneEntry> holders;
  std::vector<LaneEntry> bids;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_LANE_TYPE_H_
