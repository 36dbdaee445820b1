/** @file engine_follower_base.h Keeps the registry of engines up to date. */
#ifndef SAPPHIRE_SERVING_ENGINE_FOLLOWER_BASE_H_
#define SAPPHIRE_SERVING_ENGINE_FOLLOWER_BASE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "external/key_value_base.h"
#include "fleet/engine_registry_base.h"
#include "routing/store_follower_base.h"
#include "serving/store_layout_type.h"

namespace sapphire::serving {

/** Applies changes of engines' entries in the store to the registry. Not
 * thread-safe. */
class EngineFollower {
 public:
  /**
   * @param changed Called after each change of the registry.
   * @pre All references outlive the follower.
   */
  EngineFollower(const StoreLayout& layout, fleet::EngineRegistry& registry,
                 std::function<void()> changed, const core::Clock& clock,
                 const core::Logger& log);

  /** @return Hooks for the store follower. @pre This object outlives them. */
  [[nodiscard]] routing::FollowHooks Hooks();

 private:
  void ApplyListing(const std::vector<external::KvEntry>& entries,
                    routing::LapseGraceEnd lapse_end);
  void ApplyChange(const external::KvEvent& event,
                   routing::LapseGraceEnd lapse_end);
  void Put(const std::string& key, const std::string& value);
  void LogUnreadable(const std::string& key, const char* why);

  const StoreLayout& layout_;
  fleet::EngineRegistry& registry_;
  const std::function<void()> changed_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** Number of unreadable entries so far, and when one was last logged. */
  std::int64_t unreadable_ = 0;
  std::optional<core::SteadyTime> unreadable_logged_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_ENGINE_FOLLOWER_BASE_H_
