/** @file part_cache_base.h Caches the parts of the configuration in force. */
#ifndef SAPPHIRE_CONTRACT_PART_CACHE_BASE_H_
#define SAPPHIRE_CONTRACT_PART_CACHE_BASE_H_

#include <memory>
#include <mutex>

#include "contract/config_base.h"
#include "contract/config_func.h"

namespace sapphire::contract {

/**
 * Keeps the parts of the newest configuration as received, so that only the
 * changed parts of the next one have to be fetched. Thread-safe.
 */
class PartCache {
 public:
  /** @pre `holder` outlives the cache. */
  explicit PartCache(ConfigHolder& holder) : holder_(holder) {}

  /**
   * Verifies, decodes and adopts a configuration, and keeps its parts.
   * @return True if it came into force; false if it is not newer than the
   *   current one.
   * @throws core::Error kBadIntent if a part does not match its hash.
   */
  bool Adopt(EncodedConfig config);

  /** @return The configuration in force, encoded; null before the first. */
  std::shared_ptr<const EncodedConfig> Current();

 private:
  /** Keeps `config` if it is newer than the kept one. */
  void Store(std::shared_ptr<const EncodedConfig> config);

  ConfigHolder& holder_;
  std::mutex mutex_;
  std::shared_ptr<const EncodedConfig> cached_;
};

}  // namespace sapphire::contract

#endif  // SAPPHIRE_CONTRACT_PART_CACHE_BASE_H_
