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

namespace {

/** Wait of a watch that only asks what has changed so far. */
constexpr milliseconds kShortWait{1};
/** Prefix of all keys. */
constexpr const char* kAllKeys = "";

}  // namespace

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
       {"after", record_.after},
       {"until", record_.until},
       {"changes", record_.changes},
       {"took_ms", std::chrono::duration_cast<milliseconds>(now - began)},
       {"error", failure}});
}

/** Asks only for changes where that is possible: a document may have a
 * megabyte, which a slow link takes half a second to carry. */
core::Task<> ConfigurationRefresh::AdoptNewest() {
  const auto followed = followed_.revision();
  if (followed &&
      co_await AdoptChanges(std::max(*followed, document_revision_))) {
    co_return;
  }
  record_ = {"document"};
  const auto document = co_await store_.Get(options_.key);
  if (!document) {
    throw core::Error(core::ErrorCode::kNotConfigured,
                      "the store has no configuration");
  }
  record_.until = document->revision;
  AdoptDocument(*document);
}

/**
 * Watches all keys, as only then an answer without a change of the document can
 * be told from one that lacks it.
 * @return False if the answer does not tell of all changes since, or the
 *   document is gone.
 */
core::Task<bool> ConfigurationRefresh::AdoptChanges(std::int64_t revision) {
  record_ = {"changes", revision};
  external::WatchBatch batch =
      co_await store_.Watch(kAllKeys, revision, kShortWait);
  record_.until = batch.revision;
  record_.changes = batch.events.size();
  if (batch.gap || external::LacksChanges(batch, revision)) co_return false;
  external::KvEvent* newest = nullptr;
  for (external::KvEvent& it : batch.events) {
    if (it.key == options_.key) newest = &it;
  }
  if (newest == nullptr) co_return true;
  if (!newest->value) co_return false;
  AdoptDocument({newest->key, *std::move(newest->value), newest->revision});
  co_return true;
}

/** @throws core::Error for a document that can't be used. */
void ConfigurationRefresh::AdoptDocument(const external::KvEntry& document) {
  if (!adopt_(document)) {
    throw core::Error(core::ErrorCode::kConfigurationStale,
                      "the newest configuration can't be used");
  }
  document_revision_ = std::max(document_revision_, document.revision);
}

}  // namespace sapphire::serving
