/** @file lane_func.h Encodes, decodes and grants the weight store's lanes. */
#ifndef SAPPHIRE_ENDPOINT_LANE_FUNC_H_
#define SAPPHIRE_ENDPOINT_LANE_FUNC_H_

#include <string>
#include <string_view>

#include "endpoint/lane_type.h"

namespace sapphire::endpoint {

inline constexpr std::string_view kLanesKey = "lanes";

std::string EncodeLanes(const LanesValue& lanes);

/** @return The lanes, or no lanes if the text is invalid: lanes only affect
 * speed, so a corrupt value must not stop loads. */
LanesValue DecodeLanes(std::string_view text);

/**
 * Bids for a lane and takes it if it is this bid's turn.
 * @param mine Its `until` is when the bid, and then the lane, lapses.
 * @param lanes_at_once How many loads the store serves at full speed.
 * @return True if `lanes` now lists `mine` as a holder.
 */
bool BidForLane(LanesValue& lanes, const LaneEntry& mine, int lanes_at_once,
                core::WallTime now);

/** Removes the bid and the lane of one load. */
void DropLane(LanesValue& lanes, const core::VmId& vm,
              const core::ModelId& model);

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_LANE_FUNC_H_
