/** @file config.cc The configuration in force in this process. */
#include <utility>

#include "contract/config_base.h"

namespace sapphire::contract {

std::shared_ptr<const Config> ConfigHolder::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::int64_t ConfigHolder::version() const {
  const std::lock_guard lock(mutex_);
  return current_ ? current_->version : 0;
}

bool ConfigHolder::Adopt(Config config) {
  std::vector<std::function<void(const Config&)>> listeners;
  std::shared_ptr<const Config> adopted;
  {
    const std::lock_guard lock(mutex_);
    if (current_ && current_->version >= config.version) return false;
    adopted = std::make_shared<const Config>(std::move(config));
    current_ = adopted;
    listeners = listeners_;
  }
  for (const auto& listener : listeners) listener(*adopted);
  return true;
}

void ConfigHolder::OnChange(std::function<void(const Config&)> listener) {
  const std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(listener));
}

}  // namespace sapphire::contract
