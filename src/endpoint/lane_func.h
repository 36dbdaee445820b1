/** @file lane_func.h Reading, writing and granting the weight store's lanes. */
#ifndef SAPPHIRE_ENDPOINT_LANE_FUNC_H_
#define SAPPHIRE_ENDPOINT_LANE_FUNC_H_

#include <string>
#include <string_view>

#include "endpoint/lane_type.h"

namespace sapphire::endpoint {

inline constexpr std::string_view kLanesKey = "lanes";

std::string EncodeLanes(const LanesValue& lanes);

/** @return The lanes; none if the text can't be read: a lane is only a matter
 * of speed, so a spoilt value must not stop loads. */
LanesValue DecodeLanes(std::string_view text);

/**
 * Bids for a lane and takes it if it is this bid's turn.
 * @param mine `until` is when the bid, and then the lane, lapses.
 * @param lanes_at_once How many loads the store serves at full speed.
 * @return True if `lanes` now shows `mine` as a holder.
 */
bool BidOrTake(LanesValue& lanes, const LaneEntry& mine, int lanes_at_once,
               core::WallTime now);

/** Ends the bid and the hold of one load. */
void DropLane(LanesValue& lanes, const core::VmId& vm,
              const core::ModelId& model);

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_LANE_FUNC_H_
