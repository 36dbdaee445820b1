/** @file config_pull_base.h Distributes configurations over links. */
#ifndef SAPPHIRE_CONTRACT_CONFIG_PULL_BASE_H_
#define SAPPHIRE_CONTRACT_CONFIG_PULL_BASE_H_

#include <memory>

#include "contract/config_base.h"
#include "contract/part_cache_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "gen/link_types.h"
#include "link/link_base.h"

namespace sapphire::contract {

/**
 * Pulls newer configurations from any peer that has one, and serves the local
 * one to peers that are behind. Does not use the key-value service, so
 * configurations spread even while that is down. Used by entries and endpoints.
 *
 * To announce a new version at once, the program connects
 * `ConfigHolder::OnChange` with `LinkNode::AnnounceVersion`.
 */
class ConfigPuller {
 public:
  /** @pre All references outlive the puller and its links. */
  ConfigPuller(const core::Executor& executor, ConfigHolder& holder,
               PartCache& parts, const core::Logger& log);
  ~ConfigPuller();

  ConfigPuller(const ConfigPuller&) = delete;
  ConfigPuller& operator=(const ConfigPuller&) = delete;

  /** @return The hooks to give to the LinkNode. */
  [[nodiscard]] link::VersionHooks Hooks();

  /** Answers a ConfigPull call.
   * @throws core::Error kNotConfigured if no configuration is in force. */
  core::Task<> Serve(std::shared_ptr<link::Call> call, gen::ConfigPull request);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_CONFIG_PULL_BASE_H_
