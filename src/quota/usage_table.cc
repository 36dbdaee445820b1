/** @file usage_table.cc Recent use of each quota, by the entry that
 * granted it. */
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/usage_table_base.h"

namespace sapphire::quota {

namespace {

/** Number of time steps per window in the use that entries exchange. */
constexpr int kStepsPerWindow = 16;

}  // namespace

UsageTable::UsageTable(std::string self, milliseconds window,
                       const core::Clock& clock)
    : self_(std::move(self)), window_(window), clock_(clock) {}

milliseconds UsageTable::StepLength() const {
  return window_ / kStepsPerWindow;
}

void UsageTable::RecordGrant(const QuotaId& id, double units) {
  Usage& own = quotas_[id][self_];
  own.number = ++number_;
  own.window.Add(units, clock_.Now());
}

void UsageTable::RecordGiveBack(const QuotaId& id, double units) {
  const auto quota = quotas_.find(id);
  if (quota == quotas_.end()) return;
  const auto own = quota->second.find(self_);
  if (own == quota->second.end()) return;
  own->second.number = ++number_;
  own->second.window.Remove(units);
}

void UsageTable::Merge(const QuotaId& id,
                       const std::vector<gen::QuotaUsage>& usages) {
  const core::SteadyTime now = clock_.Now();
  for (const gen::QuotaUsage& update : usages) {
    if (update.entry == self_ || update.steps.size() > kStepsPerWindow + 1) {
      continue;
    }
    Usage& known = quotas_[id][update.entry];
    if (update.number <= known.number) continue;
    known.number = update.number;
    known.window = UsageWindow();
    // All use of a step is dated at the step's latest time, so that it doesn't
    // expire early.
    for (std::size_t i = update.steps.size(); i-- > 0;) {
      const auto units = static_cast<double>(update.steps[i]);
      if (units > 0) {
        known.window.Add(units, now - static_cast<int>(i) * StepLength());
      }
    }
  }
}

double UsageTable::Sum(const QuotaId& id) {
  const auto quota = quotas_.find(id);
  if (quota == quotas_.end()) return 0;
  double sum = 0;
  for (auto& [entry, usage] : quota->second) {
    sum += usage.window.Sum(window_, clock_.Now());
  }
  return sum;
}

double UsageTable::OwnSum(const QuotaId& id) {
  const auto quota = quotas_.find(id);
  if (quota == quotas_.end()) return 0;
  const auto own = quota->second.find(self_);
  if (own == quota->second.end()) return 0;
  return own->second.window.Sum(window_, clock_.Now());
}

milliseconds UsageTable::TimeUntilBelow(const QuotaId& id, double units) {
  const auto quota = quotas_.find(id);
  if (quota == quotas_.end()) return milliseconds(0);
  std::vector<UsageSample> samples;
  for (const auto& [entry, usage] : quota->second) {
    const std::deque<UsageSample>& of_entry = usage.window.samples();
    samples.insert(samples.end(), of_entry.begin(), of_entry.end());
  }
  std::ranges::sort(samples, {}, &UsageSample::at);
  UsageWindow all;
  for (const UsageSample& it : samples) all.Add(it.units, it.at);
  return all.TimeUntilBelow(units, window_, clock_.Now());
}

gen::QuotaUsage UsageTable::ExportEntry(const std::string& entry,
                                        const Usage& usage) const {
  const core::SteadyTime now = clock_.Now();
  gen::QuotaUsage update;
  update.entry = entry;
  update.number = usage.number;
  std::vector<double> steps;
  for (const UsageSample& it : usage.window.samples()) {
    const auto age = std::max(now - it.at, core::SteadyTime::duration(0));
    const auto step = static_cast<std::size_t>(age / StepLength());
    if (step > kStepsPerWindow) continue;
    if (steps.size() <= step) steps.resize(step + 1);
    steps[step] += it.units;
  }
  for (const double it : steps) {
    update.steps.push_back(static_cast<std::int64_t>(std::ceil(it)));
  }
  return update;
}

std::vector<gen::QuotaUsage> UsageTable::Export(const QuotaId& id) {
  std::vector<gen::QuotaUsage> update;
  const auto quota = quotas_.find(id);
  if (quota == quotas_.end()) return update;
  for (auto& [entry, usage] : quota->second) {
    if (usage.window.Sum(window_, clock_.Now()) <= 0) continue;
    update.push_back(ExportEntry(entry, usage));
  }
  return update;
}

std::vector<gen::QuotaUsage> UsageTable::ExportOwn(const QuotaId& id) {
  if (OwnSum(id) <= 0) return {};
  return {ExportEntry(self_, quotas_.at(id).at(self_))};
}

void UsageTable::Forget() {
  const core::SteadyTime now = clock_.Now();
  for (auto& [id, entries] : quotas_) {
    std::erase_if(entries, [this, now](const auto& it) {
      return it.second.window.IsExpired(window_, now);
    });
  }
  std::erase_if(quotas_, [](const auto& it) { return it.second.empty(); });
}

}  // namespace sapphire::quota
