/** @file entry_follower_base.h Keeps the table of peers up to date. */
#ifndef SAPPHIRE_SERVING_ENTRY_FOLLOWER_BASE_H_
#define SAPPHIRE_SERVING_ENTRY_FOLLOWER_BASE_H_

#include <optional>
#include <string>
#include <vector>

#include "core/log_base.h"
#include "external/key_value_base.h"
#include "fleet/peer_table_base.h"
#include "gen/link_types.h"
#include "routing/store_follower_base.h"

namespace sapphire::serving {

/** Applies changes of the entries' presences in the store to the table of
 * peers. Not thread-safe. */
class EntryFollower {
 public:
  /** @pre All references outlive the follower. */
  EntryFollower(fleet::PeerTable& peer_table, const core::Logger& log);

  /** @return Hooks for the store follower. @pre This object outlives them. */
  [[nodiscard]] routing::FollowHooks Hooks();

 private:
  void ApplyListing(const std::vector<external::KvEntry>& entries);
  void ApplyChange(const external::KvEvent& event);
  [[nodiscard]] std::optional<gen::EntryPresence> Read(
      const std::string& key, const std::string& value) const;

  fleet::PeerTable& peer_table_;
  const core::Logger& log_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENTRY_FOLLOWER_BASE_H_
