/** @file config_pull_base.h Configuration spreads over links. */
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
 * Pulls a newer configuration from whichever peer shows one, and serves ours
 * to peers that are behind. Needs no key-value service, so configuration goes
 * on spreading while that is down. Entries and endpoints use it alike.
 *
 * To pass a new version on at once, the program connects
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
   * @throws core::Error kNotConfigured if nothing is in force here. */
  core::Task<> Serve(std::shared_ptr<link::Call> call, gen::ConfigPull request);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_CONFIG_PULL_BASE_H_
