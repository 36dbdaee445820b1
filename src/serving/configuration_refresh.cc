/** @file configuration_refresh.cc Reads the newest configuration on demand. */
#include <utility>

#include "core/error_type.h"
#include "serving/configuration_refresh_base.h"

namespace sapphire::serving {

ConfigurationRefresh::ConfigurationRefresh(RefreshOptions options,
                                           external::KeyValueStore& store,
                                           Adopt adopt,
                                           const core::Clock& clock,
                                           const core::Logger& log)
    : options_(std::move(options)),
      store_(store),
      adopt_(std::move(adopt)),
      clock_(clock),
      log_(log) {}

core::Task<RefreshResult> ConfigurationRefresh::Read() {
  if (reading_) {
    const std::uint64_t seen = ended_.epoch();
    co_await ended_.Wait(seen, options_.limit);
    co_return reading_ || failed_ ? RefreshResult::kFailed
                                  : RefreshResult::kRead;
  }
  if (began_ && clock_.Now() - *began_ < options_.pause) {
    co_return failed_ ? RefreshResult::kFailed : RefreshResult::kRecent;
  }
  reading_ = true;
  began_ = clock_.Now();
  co_await ReadNow();
  reading_ = false;
  ended_.Notify();
  co_return failed_ ? RefreshResult::kFailed : RefreshResult::kRead;
}

core::Task<> ConfigurationRefresh::ReadNow() {
  std::string failure;
  try {
    const auto entry = co_await store_.Get(options_.key);
    if (entry) adopt_(*entry);
  } catch (const core::Error& e) {
    failure = e.what();
  }
  failed_ = !failure.empty();
  log_.Event(failed_ ? core::LogLevel::kWarning : core::LogLevel::kInfo,
             core::LogCategory::kConfig, "config_reread",
             {{"key", options_.key}, {"error", failure}});
}

}  // namespace sapphire::serving
