/** @file config_watch.cc Watches the configuration head. */
#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <string>
#include <utility>

#include "core/task_func.h"
#include "entry/config_fetch_func.h"
#include "entry/config_watch_base.h"

namespace sapphire::entry {

using core::LogCategory;
using core::LogLevel;

struct ConfigWatch::State : std::enable_shared_from_this<State> {
  State(const core::Executor& own_executor, ConfigWatchOptions own_options,
        external::KeyValueStore& own_store, contract::PartCache& own_parts,
        const core::Clock& own_clock, const core::Logger& own_log)
      : executor(own_executor),
        options(own_options),
        store(own_store),
        parts(own_parts),
        clock(own_clock),
        log(own_log),
        pause(own_options.first_pause) {}

  void Count(std::int64_t ConfigWatchCounters::*counter) {
    const std::lock_guard lock(mutex);
    ++(counters.*counter);
  }

  /** Puts a head in force; counts and ignores an older one. */
  static core::Task<> ApplyHead(std::shared_ptr<State> self,
                                contract::ConfigHead head) {
    const auto have = self->parts.Current();
    if (have && have->version > head.version) {
      self->Count(&ConfigWatchCounters::older_heads);
      self->log.Event(LogLevel::kWarning, LogCategory::kConfig,
                      "config_older_shown",
                      {{"in_force", have->version}, {"shown", head.version}});
    }
    const std::int64_t version = head.version;
    if (!co_await AdoptHead(self->store, self->parts, std::move(head))) {
      co_return;
    }
    self->Count(&ConfigWatchCounters::adopted);
    self->log.Event(LogLevel::kInfo, LogCategory::kConfig, "config_adopted",
                    {{"version", version}, {"source", "watch"}});
  }

  /** Reads the current head. @return Its revision. */
  static core::Task<std::int64_t> Refresh(std::shared_ptr<State> self) {
    const core::SteadyTime asked = self->clock.Now();
    StoredHead stored = co_await ReadHead(self->store);
    const std::int64_t revision = stored.revision;
    if (revision != 0) {
      co_await ApplyHead(self, std::move(stored.head));
    }
    self->refreshed = asked;
    co_return revision;
  }

  static core::Task<> ApplyEvents(std::shared_ptr<State> self,
                                  std::vector<external::KvEvent> events) {
    for (const external::KvEvent& event : events) {
      if (event.key != kHeadKey || !event.value) continue;
      co_await ApplyHead(self, contract::HeadFromJson(*event.value));
    }
  }

  /**
   * Watches until a failure. A gap, as after the service has lost its history,
   * is not a failure: changes may have been missed, so the head is read again
   * and the watch continues from the revision that the service returned.
   */
  static core::Task<> Follow(std::shared_ptr<State> self) {
    std::int64_t revision = co_await Refresh(self);
    while (!self->stopped) {
      external::WatchBatch batch = co_await self->store.Watch(
          std::string(kHeadKey), revision, self->options.wait);
      revision = batch.revision;
      self->pause = self->options.first_pause;
      if (batch.gap) {
        self->Count(&ConfigWatchCounters::gaps);
        co_await Refresh(self);
        co_await core::SleepFor(self->options.first_pause);
        continue;
      }
      co_await ApplyEvents(self, std::move(batch.events));
      if (self->clock.Now() - self->refreshed >=
          self->options.refresh_interval) {
        co_await Refresh(self);
      }
    }
  }

  static core::Task<> Run(std::shared_ptr<State> self) {
    while (!self->stopped) {
      std::string failure;
      try {
        co_await Follow(self);
      } catch (const std::exception& e) {
        failure = e.what();
      }
      if (failure.empty()) continue;
      self->Count(&ConfigWatchCounters::failures);
      self->log.Event(LogLevel::kWarning, LogCategory::kConfig,
                      "config_watch_failed", {{"error", failure}});
      co_await core::SleepFor(self->pause);
      self->pause = std::min(self->pause * 2, self->options.max_pause);
    }
  }

  core::Executor executor;
  const ConfigWatchOptions options;
  external::KeyValueStore& store;
  contract::PartCache& parts;
  const core::Clock& clock;
  const core::Logger& log;
  std::atomic<bool> stopped = false;
  /** `pause` and `refreshed` are used only by the coroutine of Run. */
  std::chrono::milliseconds pause;
  core::SteadyTime refreshed;
  std::mutex mutex;
  ConfigWatchCounters counters;
};

ConfigWatch::ConfigWatch(const core::Executor& executor,
                         ConfigWatchOptions options,
                         external::KeyValueStore& store,
                         contract::PartCache& parts, const core::Clock& clock,
                         const core::Logger& log)
    : state_(std::make_shared<State>(executor, options, store, parts, clock,
                                     log)) {}

ConfigWatch::~ConfigWatch() { Stop(); }

void ConfigWatch::Start() {
  core::Spawn(state_->executor, state_->log, "config_watch",
              [state = state_] { return State::Run(state); });
}

void ConfigWatch::Stop() { state_->stopped = true; }

ConfigWatchCounters ConfigWatch::counters() const {
  const std::lock_guard lock(state_->mutex);
  return state_->counters;
}

}  // namespace sapphire::entry
