/** @file order_time.cc Estimates how long engine orders take. */
#include <algorithm>

#include "orders/order_time_func.h"
#include "policy/placement_func.h"

namespace sapphire::orders {

using std::chrono::milliseconds;

namespace {

/**
 * An overdue load is expected to take another 1/kOverdueDivisor of the time
 * that it has taken so far.
 */
constexpr int kOverdueDivisor = 3;
/**
 * A load that exceeds the longest configured load time from disk by more than
 * this is assumed to be from the weight store.
 */
constexpr milliseconds kDiskSlack{500};
/** Shortest remaining time reported for an order that may end any moment. */
constexpr milliseconds kMinTimeLeft{200};
/**
 * @return How much longer an operation is expected to take that began at
 *   `began` and usually ends at `usual_end`.
 */
milliseconds ExpectedTimeLeft(core::SteadyTime began,
                              core::SteadyTime usual_end,
                              core::SteadyTime now) {
  const auto usual = std::chrono::duration_cast<milliseconds>(usual_end - now);
  if (usual.count() > 0) return usual;
  // An overdue load is likely to take longer still: a load from the weight
  // store takes twice its time while others run.
  return std::chrono::duration_cast<milliseconds>(now - began) /
         kOverdueDivisor;
}

/**
 * Longest load times of a service's models, from disk and from the weight
 * store.
 */
struct LongestLoads {
  milliseconds disk{0};
  milliseconds remote{0};
};

LongestLoads FindLongestLoads(const routing::EngineSpec* spec) {
  LongestLoads longest;
  if (spec == nullptr) return longest;
  for (const auto& [id, model] : spec->models) {
    longest.disk = std::max(longest.disk, model.load_times.disk);
    longest.remote = std::max(longest.remote, model.load_times.remote);
  }
  return longest;
}

}  // namespace

milliseconds LoadRequestsTimeLeft(
    std::span<const OpenLoadRequest> load_requests, core::SteadyTime now) {
  milliseconds left{0};
  for (const OpenLoadRequest& load_request : load_requests) {
    left = std::max(
        left, ExpectedTimeLeft(load_request.began, load_request.ready, now));
  }
  return left;
}

milliseconds ForeignOrderTimeLeft(std::optional<core::SteadyTime> since,
                                  const routing::EngineSpec* spec,
                                  core::SteadyTime now) {
  if (!since) return milliseconds(0);
  const LongestLoads longest = FindLongestLoads(spec);
  // Most loads are from disk, and this one began before it was first seen.
  const core::SteadyTime from_disk = *since + longest.disk;
  if (now < from_disk + kDiskSlack) {
    const auto left = std::chrono::duration_cast<milliseconds>(from_disk - now);
    return std::max(left, kMinTimeLeft);
  }
  return ExpectedTimeLeft(*since, *since + longest.remote, now);
}

policy::Tier NearestTier(const EngineReport& engine,
                         const core::ModelId& model) {
  if (engine.copies.in_memory.contains(model)) return policy::Tier::kMemory;
  if (engine.copies.on_disk.contains(model)) return policy::Tier::kDisk;
  return policy::Tier::kRemote;
}

milliseconds ExpectedLoadTime(const EngineReport& engine,
                              const routing::EngineSpec* spec,
                              const core::ModelId& model) {
  if (spec == nullptr || !spec->models.contains(model)) return milliseconds(0);
  return policy::LoadTimeFrom(spec->models.at(model).load_times,
                              NearestTier(engine, model));
}

}  // namespace sapphire::orders
