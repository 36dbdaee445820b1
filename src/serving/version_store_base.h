/** @file version_store_base.h Shares the software versions of services through
 * the store. */
#ifndef SAPPHIRE_SERVING_VERSION_STORE_BASE_H_
#define SAPPHIRE_SERVING_VERSION_STORE_BASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"
#include "fleet/peer_table_base.h"
#include "routing/store_follower_base.h"
#include "streams/version_history_base.h"

namespace sapphire::serving {

/**
 * Keeps, under a key per service, the versions that have lately served it. An
 * entry that has just started thus knows whether streams may have begun at a
 * version that does not serve any more. A service without a key may have had
 * any versions. Written by one entry when a version is new or has left for
 * long; not thread-safe.
 */
class VersionStore {
 public:
  /**
   * @param self Key of this entry's own presence.
   * @pre All references outlive it.
   */
  VersionStore(std::string self, streams::VersionHistory& history,
               const fleet::PeerTable& peer_table,
               external::KeyValueStore& store, const core::Executor& executor,
               const core::Clock& clock, const core::Logger& log);

  /** @return Hooks for the store follower. @pre This object outlives them. */
  [[nodiscard]] routing::FollowHooks Hooks();

  /** Writes what has changed, if no other entry does so first. To be called at
   * short intervals. */
  void Maintain();

 private:
  struct StoredVersions {
    streams::VersionSet versions;
    /** Revision of the key; 0 if it is absent. */
    std::int64_t revision = 0;
  };

  void ApplyListing(const std::vector<external::KvEntry>& entries);
  void Apply(const core::ServiceId& service, const external::KvEntry& entry);
  void LogKnown(const core::ServiceId& service, std::int64_t revision) const;
  void ApplyChange(const external::KvEvent& event);
  void MaintainService(const core::ServiceId& service);
  core::Task<> Write(core::ServiceId service, streams::VersionSet versions,
                     std::int64_t revision);
  [[nodiscard]] std::chrono::milliseconds Turn(
      const core::ServiceId& service) const;

  const std::string self_;
  streams::VersionHistory& history_;
  const fleet::PeerTable& peer_table_;
  external::KeyValueStore& store_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  const core::SteadyTime began_;
  std::map<core::ServiceId, StoredVersions> stored_;
  /** A write that is to come. */
  struct DueWrite {
    /** Since when the versions differ from the stored ones. */
    core::SteadyTime since;
    /** Not set before the first try. */
    std::optional<core::SteadyTime> retry_at;
    std::chrono::milliseconds retry_pause{0};
  };
  std::map<core::ServiceId, DueWrite> due_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_VERSION_STORE_BASE_H_
