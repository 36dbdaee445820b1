/** @file holder_follower_base.h Follows in the store which process holds each
 * engine's lease and so sends the engine its orders. */
#ifndef SAPPHIRE_SERVING_HOLDER_FOLLOWER_BASE_H_
#define SAPPHIRE_SERVING_HOLDER_FOLLOWER_BASE_H_

#include <optional>
#include <vector>

#include "core/log_base.h"
#include "external/key_value_base.h"
#include "fleet/engine_holders_base.h"
#include "routing/store_follower_base.h"

namespace sapphire::serving {

/** Applies changes of engines' leases in the store to the table of holders. Not
 * thread-safe. */
class HolderFollower {
 public:
  /** @pre All references outlive the follower. */
  HolderFollower(fleet::EngineHolders& holders, const core::Logger& log);

  /** @return Hooks for the store follower. @pre This object outlives them. */
  [[nodiscard]] routing::FollowHooks Hooks();

 private:
  void ApplyListing(const std::vector<external::KvEntry>& entries);
  void ApplyChange(const external::KvEvent& event);
  [[nodiscard]] std::optional<fleet::EngineHolder> Read(
      const external::KvEntry& entry) const;

  fleet::EngineHolders& holders_;
  const core::Logger& log_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_HOLDER_FOLLOWER_BASE_H_
