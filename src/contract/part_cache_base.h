/** @file part_cache_base.h The parts of the configuration in force. */
#ifndef SAPPHIRE_CONTRACT_PART_CACHE_BASE_H_
#define SAPPHIRE_CONTRACT_PART_CACHE_BASE_H_

#include <memory>
#include <mutex>

#include "contract/config_base.h"
#include "contract/config_func.h"

namespace sapphire::contract {

/**
 * Keeps the parts of the newest configuration as they came, so that the next
 * one needs only those that changed. Safe to use from any thread.
 */
class PartCache {
 public:
  /** @pre `holder` outlives the cache. */
  explicit PartCache(ConfigHolder& holder) : holder_(holder) {}

  /**
   * Verifies, decodes and adopts a configuration, and keeps its parts.
   * @return True if it came into force; false if one as new already is.
   * @throws core::Error kBadIntent if a part does not match its hash.
   */
  bool Adopt(EncodedConfig config);

  /** @return The configuration in force, encoded; null before the first. */
  std::shared_ptr<const EncodedConfig> Current();

 private:
  /** Remembers `config` unless a newer one is remembered already. */
  void Keep(std::shared_ptr<const EncodedConfig> config);

  ConfigHolder& holder_;
  std::mutex mutex_;
  std::shared_ptr<const EncodedConfig> kept_;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_PART_CACHE_BASE_H_
