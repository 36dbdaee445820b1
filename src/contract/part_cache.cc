/** @file part_cache.cc Caches the parts of the configuration in force. */
#include <utility>

#include "contract/part_cache_base.h"

namespace sapphire::contract {

bool PartCache::Adopt(EncodedConfig config) {
  Config decoded = DecodeConfig(config.version, config.plan, config.parts);
  if (!holder_.Adopt(std::move(decoded))) return false;
  Store(std::make_shared<const EncodedConfig>(std::move(config)));
  return true;
}

std::shared_ptr<const EncodedConfig> PartCache::Current() {
  const std::shared_ptr<const Config> in_force = holder_.Current();
  if (!in_force) return nullptr;
  {
    const std::lock_guard lock(mutex_);
    if (cached_ && cached_->version >= in_force->version) return cached_;
  }
  auto encoded = std::make_shared<const EncodedConfig>(EncodeConfig(*in_force));
  Store(encoded);
  return encoded;
}

void PartCache::Store(std::shared_ptr<const EncodedConfig> config) {
  const std::lock_guard lock(mutex_);
  if (cached_ && cached_->version >= config->version) return;
  cached_ = std::move(config);
}

}  // namespace sapphire::contract
