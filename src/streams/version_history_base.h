/** @file version_history_base.h Tracks the software versions that have lately
 * served each service. */
#ifndef SAPPHIRE_STREAMS_VERSION_HISTORY_BASE_H_
#define SAPPHIRE_STREAMS_VERSION_HISTORY_BASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "core/clock_base.h"
#include "fleet/engine_registry_base.h"
#include "streams/stream_type.h"

namespace sapphire::streams {

using VersionSet = std::set<fleet::SoftwareVersion>;

/**
 * The software versions of each service's engines, including those that were
 * registered within the last max_age(): a stream that one of them began may
 * still be taken up.
 *
 * They are complete if the store names the service's versions, or if this entry
 * has seen each change of the engines for max_age(). Else versions may have
 * served and left before this entry began to follow the store. Not thread-safe.
 */
class VersionHistory {
 public:
  /** @pre All references outlive the history. */
  VersionHistory(const fleet::EngineRegistry& registry,
                 const core::Clock& clock)
      : registry_(registry), clock_(clock) {}

  /** Sets the time for which callers may take a stream up. */
  void SetMaxAge(milliseconds age) { max_age_ = age; }
  [[nodiscard]] milliseconds max_age() const { return max_age_; }

  /** Records the versions that are registered now; must be called regularly. */
  void Update();

  /** Adds versions that another entry has observed. */
  void Add(const core::ServiceId& service, const VersionSet& versions);

  /** Records that all engines and all keys of the store have just been listed:
   * from now on this entry sees each change. */
  void BeginFollowing();

  /** Sets the versions that the store's key of the service names. */
  void SetStored(const core::ServiceId& service, VersionSet versions);
  /** Records that the store has no readable key of the service. */
  void RemoveStored(const core::ServiceId& service);

  /** @return What the store's key of the service names; null if it is absent or
   * was not read. */
  [[nodiscard]] const VersionSet* Stored(const core::ServiceId& service) const;

  /** @return For how long this entry has seen each change; nothing before the
   * first listing. */
  [[nodiscard]] std::optional<milliseconds> Followed() const;

  /** @return True if no version that has lately served can be missing. */
  [[nodiscard]] bool IsComplete(const core::ServiceId& service) const {
    return Stored(service) != nullptr || HasFollowedLong();
  }

  /** @return True if this entry has seen each change for max_age(). */
  [[nodiscard]] bool HasFollowedLong() const {
    return Followed().value_or(milliseconds(0)) >= max_age_;
  }

  /** @return What the store's key is to name: the versions that this entry has
   * seen registered, and those stored ones that it can't rule out. */
  [[nodiscard]] VersionSet VersionsToStore(const core::ServiceId& service);

  /** @return The service's recent versions, as of now, and those that the store
   * names. */
  [[nodiscard]] VersionSet Recent(const core::ServiceId& service);

  /** @return Those of the recent versions that this entry itself has seen
   * registered. Only these are told to others: entries that repeat what they
   * were told would keep a version recent for ever. */
  [[nodiscard]] VersionSet Observed(const core::ServiceId& service);

  /** @return True if streams of the service may have several origins. */
  [[nodiscard]] bool HasSeveral(const core::ServiceId& service) {
    return Recent(service).size() > 1;
  }

  /** @return The services that have engines or lately had some. */
  [[nodiscard]] std::set<core::ServiceId> Services() const;

 private:
  struct Seen {
    core::SteadyTime at;
    bool by_this_entry = false;
  };

  void UpdateIfChanged();

  const fleet::EngineRegistry& registry_;
  const core::Clock& clock_;
  milliseconds max_age_ = kMinStreamAge;
  /** When each version was last registered, or reported. */
  std::map<core::ServiceId, std::map<fleet::SoftwareVersion, Seen>> last_seen_;
  std::optional<std::int64_t> registry_generation_;
  std::map<core::ServiceId, VersionSet> stored_;
  /** Time of the latest listing. */
  std::optional<core::SteadyTime> followed_since_;
};

}  // namespace sapphire::streams

#endif  // SAPPHIRE_STREAMS_VERSION_HISTORY_BASE_H_
