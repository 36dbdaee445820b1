/** @file head_check.cc Confirms that the configuration in force is the newest
 * one. */
#include <exception>
#include <string>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/config_fetch_func.h"
#include "entry/head_check_base.h"

namespace sapphire::entry {

using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

HeadCheck::HeadCheck(const core::Executor& executor, HeadCheckOptions options,
                     external::KeyValueStore& store,
                     contract::ConfigHolder& holder, contract::PartCache& parts,
                     const core::Clock& clock, const core::Logger& log)
    : executor_(executor),
      options_(options),
      store_(store),
      holder_(holder),
      parts_(parts),
      clock_(clock),
      log_(log) {}

core::Task<bool> HeadCheck::Confirm(core::SteadyTime asked) {
  const core::SteadyTime since = asked - options_.max_age;
  const core::SteadyTime end = clock_.Now() + options_.limit;
  while (true) {
    const std::uint64_t seen = ended_.epoch();
    const Step step = NextStep(since);
    if (step != Step::kWait) co_return step == Step::kConfirmed;
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - clock_.Now());
    if (left <= milliseconds(0)) co_return false;
    co_await ended_.Wait(seen, left);
  }
}

/** Starts a read if there is none and one may help. It goes on if the requests
 * that wait for it give up. */
HeadCheck::Step HeadCheck::NextStep(core::SteadyTime since) {
  const std::lock_guard lock(mutex_);
  if (read_as_of_ && *read_as_of_ >= since) return Step::kConfirmed;
  if (reading_) return Step::kWait;
  // Shortly after a read that failed, the next one likely fails too.
  if (failed_ && clock_.Now() - *failed_ < options_.max_age) {
    return Step::kGiveUp;
  }
  reading_ = true;
  core::Spawn(executor_, log_, "read_config_head", [this] { return Read(); });
  return Step::kWait;
}

core::Task<> HeadCheck::Read() {
  const core::SteadyTime began = clock_.Now();
  std::string failure;
  try {
    co_await AdoptNewest();
  } catch (const std::exception& e) {
    failure = e.what();
  }
  const core::SteadyTime now = clock_.Now();
  {
    const std::lock_guard lock(mutex_);
    if (failure.empty()) {
      read_as_of_ = began;
    } else {
      failed_ = now;
    }
    reading_ = false;
  }
  ended_.Notify();
  log_.Event(
      failure.empty() ? LogLevel::kInfo : LogLevel::kWarning,
      LogCategory::kConfig, "config_reread",
      {{"version", holder_.version()},
       {"took_ms", std::chrono::duration_cast<milliseconds>(now - began)},
       {"error", failure}});
}

/** @throws core::Error also for a head that is older than the configuration in
 * force: a replica that lags tells nothing of the newest one. */
core::Task<> HeadCheck::AdoptNewest() {
  const std::int64_t in_force = holder_.version();
  StoredHead stored = co_await ReadHead(store_);
  if (stored.head.version < in_force) {
    throw core::Error(core::ErrorCode::kPlatformUnavailable,
                      "the store shows an older configuration");
  }
  const std::int64_t version = stored.head.version;
  const bool adopted =
      co_await AdoptHead(store_, parts_, std::move(stored.head));
  if (!adopted) co_return;
  log_.Event(LogLevel::kInfo, LogCategory::kConfig, "config_adopted",
             {{"version", version}, {"source", "denial"}});
}

}  // namespace sapphire::entry
