/** @file model_usage.cc Which models of one engine are in use. */
#include <cmath>

#include "fleet/model_usage_base.h"

namespace sapphire::fleet {

namespace {

/** Time over which demand is averaged: rare models are asked for every half
 * minute, and demand that moves to other models shows within seconds. */
constexpr double kAverageSeconds = 15;

}  // namespace

ModelUsage::ModelUsage(const core::Clock& clock) : clock_(clock) {}

void ModelUsage::Note(std::int64_t entry, const gen::UsageReport& report) {
  std::map<UsedPart, Counts>& known = entries_[entry];
  std::map<UsedPart, Counts> now;
  for (const gen::ModelUsage& it : report.models) {
    const UsedPart part{core::ModelId(it.model), core::AdapterId(it.adapter)};
    const std::int64_t before = known.contains(part) ? known.at(part).begun : 0;
    if (it.begun > before) AddDemand(part, it.begun - before);
    now[part] = Counts{it.running, it.begun};
  }
  known = std::move(now);
}

void ModelUsage::Forget(std::int64_t entry) { entries_.erase(entry); }

void ModelUsage::NoteWanted(const UsedPart& part) { AddDemand(part, 1); }

Usage ModelUsage::Of(const UsedPart& part) const {
  Usage usage;
  for (const auto& [entry, parts] : entries_) {
    const auto it = parts.find(part);
    if (it != parts.end()) usage.running += it->second.running;
  }
  const auto it = demand_.find(part);
  if (it != demand_.end()) {
    usage.demand = Decayed(it->second);
    usage.last_begun = it->second.last_begun;
  }
  return usage;
}

void ModelUsage::AddDemand(const UsedPart& part, std::int64_t requests) {
  Demand& demand = demand_[part];
  demand.per_second =
      Decayed(demand) + static_cast<double>(requests) / kAverageSeconds;
  demand.at = clock_.Now();
  demand.last_begun = demand.at;
}

double ModelUsage::Decayed(const Demand& demand) const {
  const std::chrono::duration<double> age = clock_.Now() - demand.at;
  return demand.per_second * std::exp(-age.count() / kAverageSeconds);
}

}  // namespace sapphire::fleet
