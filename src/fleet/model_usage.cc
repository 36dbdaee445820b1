/** @file model_usage.cc Tracks the use of models and adapters. */
#include <algorithm>
#include <cmath>

#include "fleet/model_usage_base.h"

namespace sapphire::fleet {

namespace {

/** Time constant of the demand's moving average: rare models get a request
 * every half minute, and demand that shifts to other models must show within
 * seconds. */
constexpr double kAverageSeconds = 15;

}  // namespace

double DecayedDemand(double demand, std::chrono::duration<double> age) {
  return demand * std::exp(-age.count() / kAverageSeconds);
}

void ModelUsage::RecordBegun(const ModelOrAdapter& part) {
  AddDemand(part, 1 / kAverageSeconds);
  UpdateLastBegun(part, clock_.Now());
}

void ModelUsage::AddRunning(const ModelOrAdapter& part, int change) {
  parts_[part].running += change;
  if (part.adapter.empty()) running_ += change;
}

void ModelUsage::AddDemand(const ModelOrAdapter& part, double change) {
  Counts& counts = parts_[part];
  counts.demand = std::max(Decayed(counts) + change, 0.0);
  counts.demand_at = clock_.Now();
}

void ModelUsage::UpdateLastBegun(const ModelOrAdapter& part,
                                 core::SteadyTime time) {
  Counts& counts = parts_[part];
  counts.last_begun = std::max(counts.last_begun, std::optional(time));
}

Usage ModelUsage::Of(const ModelOrAdapter& part) const {
  const auto it = parts_.find(part);
  return it == parts_.end() ? Usage() : UsageOf(it->second);
}

UsageByPart ModelUsage::Recent(std::chrono::milliseconds time) const {
  UsageByPart table;
  const core::SteadyTime now = clock_.Now();
  for (const auto& [part, counts] : parts_) {
    const bool began = counts.last_begun && now - *counts.last_begun < time;
    if (began || counts.running > 0) table[part] = UsageOf(counts);
  }
  return table;
}

double ModelUsage::Decayed(const Counts& counts) const {
  return DecayedDemand(counts.demand, clock_.Now() - counts.demand_at);
}

Usage ModelUsage::UsageOf(const Counts& counts) const {
  return {counts.running, Decayed(counts), counts.last_begun};
}

}  // namespace sapphire::fleet
