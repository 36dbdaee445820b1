/** @file quarantine.cc Requests that crash engines, by fingerprint. */
#include <algorithm>

#include "entry/quarantine_base.h"

namespace sapphire::entry {

bool Quarantine::RecordCrash(std::int64_t fingerprint,
                             const core::ModelId& model,
                             const core::EndpointId& endpoint,
                             core::SteadyTime placed_at, core::SteadyTime now) {
  if (fingerprint == 0) return false;
  const std::lock_guard lock(mutex_);
  Record& record = records_[fingerprint];
  record.model = model;
  const bool counted = std::any_of(
      record.crashes.begin(), record.crashes.end(), [&](const Crash& crash) {
        return crash.endpoint == endpoint && placed_at <= crash.at;
      });
  if (counted) return false;
  record.crashes.push_back({endpoint, now});
  return true;
}

bool Quarantine::RecordCompleted(std::int64_t fingerprint) {
  const std::lock_guard lock(mutex_);
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) return false;
  if (static_cast<int>(it->second.crashes.size()) >= kCrashLimit) return false;
  records_.erase(it);
  return true;
}

int Quarantine::Crashes(std::int64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) return 0;
  return static_cast<int>(it->second.crashes.size());
}

}  // namespace sapphire::entry
