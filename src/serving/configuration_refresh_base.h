/** @file configuration_refresh_base.h Reads the newest configuration on demand.
 */
#ifndef SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_
#define SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::serving {

struct RefreshOptions {
  /** Store key of the newest configuration. */
  std::string key;
  /** Minimum time between two reads: callers with unknown keys must not cause
   * calls. */
  std::chrono::milliseconds pause{5000};
  /** How long a request waits for a read that another one started. */
  std::chrono::milliseconds limit{1000};
};

enum class RefreshResult {
  kRead,    ///< The current configuration was the newest during the call.
  kRecent,  ///< The last read was less than a pause ago.
  kFailed,  ///< The store did not answer; a newer one may exist.
};

/** Runs one read at a time, shared by all requests that wait for it. Not
 * thread-safe. */
class ConfigurationRefresh {
 public:
  using Adopt = std::function<void(const external::KvEntry& entry)>;

  /** @pre All references outlive it. */
  ConfigurationRefresh(RefreshOptions options, external::KeyValueStore& store,
                       Adopt adopt, const core::Clock& clock,
                       const core::Logger& log);

  core::Task<RefreshResult> Read();

 private:
  core::Task<> ReadNow();

  const RefreshOptions options_;
  external::KeyValueStore& store_;
  const Adopt adopt_;
  const core::Clock& clock_;
  const core::Logger& log_;
  bool reading_ = false;
  bool failed_ = false;
  std::optional<core::SteadyTime> began_;
  core::Signal ended_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_
