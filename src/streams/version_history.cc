/** @file version_history.cc Tracks the software versions that have lately
 * served each service. */
#include <utility>

#include "streams/version_history_base.h"

namespace sapphire::streams {

void VersionHistory::Update() {
  const core::SteadyTime now = clock_.Now();
  for (const auto& [instance, engine] : registry_.engines()) {
    last_seen_[engine.service][engine.software_version] = {now, true};
  }
  for (auto& [service, versions] : last_seen_) {
    std::erase_if(versions, [this, now](const auto& it) {
      return now - it.second.at > max_age_;
    });
  }
  std::erase_if(last_seen_, [](const auto& it) { return it.second.empty(); });
  registry_generation_ = registry_.generation();
}

void VersionHistory::UpdateIfChanged() {
  if (registry_generation_ != registry_.generation()) Update();
}

void VersionHistory::Add(const core::ServiceId& service,
                         const VersionSet& versions) {
  for (const fleet::SoftwareVersion& it : versions) {
    last_seen_[service].try_emplace(it, Seen{clock_.Now(), false});
  }
}

void VersionHistory::BeginFollowing() {
  followed_since_ = clock_.Now();
  stored_.clear();
}

void VersionHistory::SetStored(const core::ServiceId& service,
                               VersionSet versions) {
  Add(service, versions);
  stored_[service] = std::move(versions);
}

void VersionHistory::RemoveStored(const core::ServiceId& service) {
  stored_.erase(service);
}

const VersionSet* VersionHistory::Stored(const core::ServiceId& service) const {
  const auto it = stored_.find(service);
  return it == stored_.end() ? nullptr : &it->second;
}

std::optional<milliseconds> VersionHistory::Followed() const {
  if (!followed_since_) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(clock_.Now() -
                                                  *followed_since_);
}

VersionSet VersionHistory::VersionsToStore(const core::ServiceId& service) {
  VersionSet versions = Observed(service);
  const VersionSet* const stored = Stored(service);
  if (stored == nullptr) return versions;
  const auto seen = last_seen_.find(service);
  for (const fleet::SoftwareVersion& it : *stored) {
    const bool is_recent =
        seen != last_seen_.end() && seen->second.contains(it);
    if (is_recent || !HasFollowedLong()) versions.insert(it);
  }
  return versions;
}

VersionSet VersionHistory::Recent(const core::ServiceId& service) {
  UpdateIfChanged();
  const VersionSet* const stored = Stored(service);
  VersionSet recent = stored == nullptr ? VersionSet() : *stored;
  const auto it = last_seen_.find(service);
  if (it == last_seen_.end()) return recent;
  for (const auto& [version, seen] : it->second) recent.insert(version);
  return recent;
}

VersionSet VersionHistory::Observed(const core::ServiceId& service) {
  UpdateIfChanged();
  VersionSet observed;
  const auto it = last_seen_.find(service);
  if (it == last_seen_.end()) return observed;
  for (const auto& [version, seen] : it->second) {
    if (seen.by_this_entry) observed.insert(version);
  }
  return observed;
}

std::set<core::ServiceId> VersionHistory::Services() const {
  std::set<core::ServiceId> services;
  for (const auto& [service, versions] : last_seen_) services.insert(service);
  for (const auto& [service, versions] : stored_) services.insert(service);
  return services;
}

}  // namespace sapphire::streams
