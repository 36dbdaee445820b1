/** @file config_watch_base.h Watches the configuration head. */
#ifndef SAPPHIRE_ENTRY_CONFIG_WATCH_BASE_H_
#define SAPPHIRE_ENTRY_CONFIG_WATCH_BASE_H_

#include <chrono>
#include <memory>

#include "contract/part_cache_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::entry {

struct ConfigWatchOptions {
  /** How long one call waits for a change. */
  std::chrono::milliseconds wait{20'000};
  /** Interval at which the head is read even if no change was reported. */
  std::chrono::milliseconds refresh_interval{60'000};
  /** Pause after a failure; doubles up to `max_pause`. */
  std::chrono::milliseconds first_pause{100};
  std::chrono::milliseconds max_pause{5'000};
};

/** Event counts of a watch. */
struct ConfigWatchCounters {
  std::int64_t adopted = 0;
  /** Heads received that were older than the configuration in force. */
  std::int64_t older_heads = 0;
  std::int64_t gaps = 0;
  std::int64_t failures = 0;
};

/**
 * Watches `config/head` and puts each newer configuration in force. While the
 * service is down the last one stays in force, and newer ones may still arrive
 * over links (contract::ConfigPuller).
 *
 * To announce a new version immediately, the program connects
 * `ConfigHolder::OnChange` with `LinkNode::AnnounceVersion`.
 */
class ConfigWatch {
 public:
  /** @pre All references outlive the watch's last coroutine. */
  ConfigWatch(const core::Executor& executor, ConfigWatchOptions options,
              external::KeyValueStore& store, contract::PartCache& parts,
              const core::Clock& clock, const core::Logger& log);
  ~ConfigWatch();

  ConfigWatch(const ConfigWatch&) = delete;
  ConfigWatch& operator=(const ConfigWatch&) = delete;

  /** Starts watching. */
  void Start();

  /** Stops watching after the call in progress. */
  void Stop();

  [[nodiscard]] ConfigWatchCounters counters() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CONFIG_WATCH_BASE_H_
