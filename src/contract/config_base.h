/** @file config_base.h The configuration in force in this process. */
#ifndef SAPPHIRE_CONTRACT_CONFIG_BASE_H_
#define SAPPHIRE_CONTRACT_CONFIG_BASE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "contract/intent_type.h"

namespace sapphire::contract {

/** Holds the newest known configuration; its version never decreases. */
class ConfigHolder {
 public:
  /** @return The configuration in force; null before the first. */
  [[nodiscard]] std::shared_ptr<const Config> Current() const;

  /** @return The version in force, 0 before the first. */
  [[nodiscard]] std::int64_t version() const;

  /**
   * Replaces the configuration in force if `config` is newer. This is the only
   * way to change it, so an older version that a lagging or restarted source
   * sends can't come into force again.
   * @return True if `config` came into force.
   */
  bool Adopt(Config config);

  /** Calls `listener` after each Adopt that succeeds, on Adopt's thread. */
  void OnChange(std::function<void(const Config&)> listener);

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Config> current_;
  std::vector<std::function<void(const Config&)>> listeners_;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_CONFIG_BASE_H_
