/** @file configuration_refresh.cc Confirms that the configuration in force is
 * the newest one. */
#include <algorithm>
#include <exception>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "serving/configuration_refresh_base.h"

namespace sapphire::serving {

using std::chrono::milliseconds;

FollowedState MakeFollowedState(const routing::ConfigurationHolder& holder,
                                const routing::StoreFollower& follower) {
  FollowedState state;
  state.as_of = [&holder, &follower] {
    return holder.LacksNewest() ? std::nullopt : follower.listed_as_of();
  };
  state.revision = [&holder] { return holder.revision_in_force(); };
  state.awaits_answer = [&follower] { return follower.IsAwaitingAnswer(); };
  return state;
}

ConfigurationRefresh::ConfigurationRefresh(
    RefreshOptions options, FollowedState followed,
    external::KeyValueStore& store, Adopt adopt, const core::Executor& executor,
    const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      followed_(std::move(followed)),
      store_(store),
      adopt_(std::move(adopt)),
      executor_(executor),
      clock_(clock),
      log_(log) {}

core::Task<bool> ConfigurationRefresh::Confirm(core::SteadyTime asked) {
  const core::SteadyTime since = asked - options_.max_age;
  const core::SteadyTime end = clock_.Now() + options_.limit;
  while (!IsNewestSince(since)) {
    const std::uint64_t seen = ended_.epoch();
    if (!reading_) {
      if (!MayRead()) co_return false;
      StartRead();
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - clock_.Now());
    if (left <= milliseconds(0)) co_return false;
    co_await ended_.Wait(seen, left);
  }
  co_return true;
}

std::optional<core::SteadyTime> ConfigurationRefresh::newest_as_of() const {
  // An empty optional compares as less than any time.
  return std::max(followed_.as_of(), read_as_of_);
}

bool ConfigurationRefresh::IsNewestSince(core::SteadyTime time) const {
  const auto as_of = newest_as_of();
  return as_of && *as_of >= time;
}

/** @return False shortly after a read that failed: the next one likely fails
 * too. */
bool ConfigurationRefresh::MayRead() const {
  if (followed_.awaits_answer()) return false;
  return !failed_ || clock_.Now() - *failed_ >= options_.max_age;
}

/** Starts a read that goes on if the requests that wait for it give up. */
void ConfigurationRefresh::StartRead() {
  reading_ = true;
  core::Spawn(executor_, log_, "read_configuration", [this] { return Read(); });
}

core::Task<> ConfigurationRefresh::Read() {
  const core::SteadyTime began = clock_.Now();
  record_ = ReadRecord();
  std::string failure;
  try {
    co_await AdoptNewest();
  } catch (const std::exception& e) {
    failure = e.what();
  }
  const core::SteadyTime now = clock_.Now();
  if (failure.empty()) {
    read_as_of_ = began;
  } else {
    failed_ = now;
  }
  reading_ = false;
  ended_.Notify();
  log_.Event(
      failure.empty() ? core::LogLevel::kInfo : core::LogLevel::kWarning,
      core::LogCategory::kConfig, "config_reread",
      {{"key", options_.key},
       {"asked", record_.asked},
       {"in_force", record_.in_force},
       {"newest", record_.newest},
       {"took_ms", std::chrono::duration_cast<milliseconds>(now - began)},
       {"error", failure}});
}

/** @throws core::Error if the newest document is missing or can't be used. */
core::Task<> ConfigurationRefresh::AdoptNewest() {
  const auto newer = co_await FindNewer();
  if (!newer) co_return;
  record_.newest = newer->revision;
  if (!adopt_(*newer)) {
    throw core::Error(core::ErrorCode::kConfigurationStale,
                      "the newest configuration can't be used");
  }
}

/** Asks for the document only where none is in force: it may have a megabyte,
 * which a slow link takes half a second to carry.
 * @return Nothing if the configuration in force is the newest one.
 * @throws core::Error if the store has none, or an older one: a replica that
 * lags tells nothing of the newest one. */
core::Task<std::optional<external::KvEntry>> ConfigurationRefresh::FindNewer() {
  const auto in_force = followed_.revision();
  external::RevisionCheck check;
  if (in_force) {
    record_ = {"revision", *in_force};
    check = co_await store_.CheckRevision(options_.key, *in_force);
    if (check.unchanged) record_.newest = *in_force;
  } else {
    record_ = {"document"};
    check.current = co_await store_.Get(options_.key);
  }
  if (!check.unchanged && !check.current) {
    throw core::Error(core::ErrorCode::kNotConfigured,
                      "the store has no configuration");
  }
  if (check.unchanged) co_return std::nullopt;
  if (in_force && check.current->revision < *in_force) {
    throw core::Error(core::ErrorCode::kPlatformUnavailable,
                      "the store shows an older configuration");
  }
  co_return std::move(check.current);
}

}  // namespace sapphire::serving
