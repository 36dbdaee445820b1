/** @file lane.cc Encodes, decodes and grants the weight store's lanes. */
#include <algorithm>
#include <boost/json.hpp>
#include <exception>

#include "core/clock_base.h"
#include "endpoint/lane_func.h"
#include "policy/admission_func.h"

namespace sapphire::endpoint {

namespace json = boost::json;

namespace {

std::int64_t ToMillis(core::WallTime time) {
  return std::chrono::duration_cast<core::Millis>(time.time_since_epoch())
      .count();
}

core::WallTime FromMillis(std::int64_t millis) {
  return core::WallTime(core::Millis(millis));
}

json::array ToJson(const std::vector<LaneEntry>& entries) {
  json::array list;
  for (const LaneEntry& it : entries) {
    list.push_back(json::object{{"vm", it.vm.value()},
                                {"model", it.model.value()},
                                {"deadline", ToMillis(it.deadline)},
                                {"until", ToMillis(it.until)}});
  }
  return list;
}

std::vector<LaneEntry> FromJson(const json::value& value) {
  std::vector<LaneEntry> entries;
  for (const json::value& it : value.as_array()) {
    entries.push_back(
        {core::VmId(json::value_to<std::string>(it.at("vm"))),
         core::ModelId(json::value_to<std::string>(it.at("model"))),
         FromMillis(it.at("deadline").to_number<std::int64_t>()),
         FromMillis(it.at("until").to_number<std::int64_t>())});
  }
  return entries;
}

void DropLapsed(std::vector<LaneEntry>& entries, core::WallTime now) {
  std::erase_if(entries,
                [now](const LaneEntry& it) { return it.until <= now; });
}

void Drop(std::vector<LaneEntry>& entries, const core::VmId& vm,
          const core::ModelId& model) {
  std::erase_if(entries, [&](const LaneEntry& it) {
    return it.vm == vm && it.model == model;
  });
}

/** @return How many bids are ranked before the last one. */
std::size_t RankOfLast(const std::vector<LaneEntry>& bids) {
  std::vector<policy::LoadBid> ranked;
  ranked.reserve(bids.size());
  for (const LaneEntry& it : bids) {
    // Only the order of the deadlines matters, so any common epoch will do.
    const core::SteadyTime deadline(
        std::chrono::duration_cast<core::SteadyTime::duration>(
            it.deadline.time_since_epoch()));
    ranked.push_back({it.vm, it.model, deadline, true});
  }
  const auto order = policy::OrderBids(ranked);
  const auto last = std::ranges::find(order, bids.size() - 1);
  return static_cast<std::size_t>(last - order.begin());
}

}  // namespace

std::string EncodeLanes(const LanesValue& lanes) {
  return json::serialize(json::object{{"holders", ToJson(lanes.holders)},
                                      {"bids", ToJson(lanes.bids)}});
}

LanesValue DecodeLanes(std::string_view text) {
  try {
    const json::value value = json::parse(json::string_view(text));
    return {FromJson(value.at("holders")), FromJson(value.at("bids"))};
  } catch (const std::exception&) {
    return {};
  }
}

bool BidForLane(LanesValue& lanes, const LaneEntry& mine, int lanes_at_once,
                core::WallTime now) {
  DropLapsed(lanes.holders, now);
  DropLapsed(lanes.bids, now);
  DropLane(lanes, mine.vm, mine.model);
  lanes.bids.push_back(mine);
  const auto held = lanes.holders.size();
  const auto most = static_cast<std::size_t>(std::max(lanes_at_once, 1));
  if (held >= most || RankOfLast(lanes.bids) >= most - held) return false;
  lanes.bids.pop_back();
  lanes.holders.push_back(mine);
  return true;
}

void DropLane(LanesValue& lanes, const core::VmId& vm,
              const core::ModelId& model) {
  Drop(lanes.holders, vm, model);
  Drop(lanes.bids, vm, model);
}

}  // namespace sapphire::endpoint
