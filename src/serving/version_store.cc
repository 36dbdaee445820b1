/** @file version_store.cc Shares the software versions of services through the
 * store. */
#include <algorithm>
#include <set>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "serving/version_store_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

/** Entries take turns at this interval, so that mostly one of them writes: the
 * others learn of the write meanwhile. */
constexpr milliseconds kTurnInterval{300};
/** An entry that has just started writes no first key of a service for this
 * time: those that start together know each other by then. */
constexpr milliseconds kSettleTime{300};
/** Pause before a write is tried again; each further pause is twice as long, so
 * that a store that refuses writes is not called by all entries for ever. */
constexpr milliseconds kRetryPause{2000};
constexpr milliseconds kMaxRetryPause{30'000};

core::ServiceId ServiceOfKey(const std::string& key) {
  return core::ServiceId(key.substr(fleet::kServiceVersionsPrefix.size()));
}

std::string KeyOf(const core::ServiceId& service) {
  return std::string(fleet::kServiceVersionsPrefix) + service.value();
}

}  // namespace

VersionStore::VersionStore(std::string self, streams::VersionHistory& history,
                           const fleet::PeerTable& peer_table,
                           external::KeyValueStore& store,
                           const core::Executor& executor,
                           const core::Clock& clock, const core::Logger& log)
    : self_(std::move(self)),
      history_(history),
      peer_table_(peer_table),
      store_(store),
      executor_(executor),
      clock_(clock),
      log_(log),
      began_(clock.Now()) {}

routing::FollowHooks VersionStore::Hooks() {
  routing::FollowHooks hooks;
  hooks.prefix = fleet::kServiceVersionsPrefix;
  hooks.listed = [this](std::vector<external::KvEntry> entries,
                        routing::LapseGraceEnd) { ApplyListing(entries); };
  hooks.changed = [this](external::KvEvent event, routing::LapseGraceEnd) {
    ApplyChange(event);
  };
  return hooks;
}

void VersionStore::ApplyListing(const std::vector<external::KvEntry>& entries) {
  history_.BeginFollowing();
  const std::map<core::ServiceId, StoredVersions> before =
      std::exchange(stored_, {});
  for (const external::KvEntry& it : entries) {
    const core::ServiceId service = ServiceOfKey(it.key);
    const auto known = before.find(service);
    const bool is_new =
        known == before.end() || known->second.revision != it.revision;
    Apply(service, it);
    if (is_new) LogKnown(service, it.revision);
  }
  for (const auto& [service, stored] : before) {
    if (!stored_.contains(service)) LogKnown(service, 0);
  }
}

void VersionStore::ApplyChange(const external::KvEvent& event) {
  const core::ServiceId service = ServiceOfKey(event.key);
  if (event.value) {
    Apply(service, {event.key, *event.value, event.revision});
  } else {
    stored_.erase(service);
    history_.RemoveStored(service);
  }
  LogKnown(service, event.revision);
}

void VersionStore::Apply(const core::ServiceId& service,
                         const external::KvEntry& entry) {
  StoredVersions read;
  read.revision = entry.revision;
  try {
    const gen::ServiceVersions message =
        fleet::DecodeServiceVersions(entry.value);
    for (const std::string& it : message.versions) read.versions.emplace(it);
    if (message.__isset.only_version) {
      read.versions.emplace(message.only_version);
    }
  } catch (const core::Error& e) {
    log_.Event(LogLevel::kWarning, LogCategory::kPlatform,
               "service_versions_unreadable",
               {{"key", entry.key}, {"error", e.what()}});
  }
  if (read.versions.empty()) {
    history_.RemoveStored(service);
  } else {
    history_.SetStored(service, read.versions);
  }
  stored_[service] = std::move(read);
}

/** @param revision 0 if the key was found to be absent. */
void VersionStore::LogKnown(const core::ServiceId& service,
                            std::int64_t revision) const {
  const auto it = stored_.find(service);
  const std::size_t versions =
      it == stored_.end() ? 0 : it->second.versions.size();
  log_.Event(
      LogLevel::kInfo, LogCategory::kPlatform, "service_versions_known",
      {{"service", service}, {"versions", versions}, {"revision", revision}});
}

void VersionStore::Maintain() {
  std::set<core::ServiceId> services = history_.Services();
  for (const auto& [service, stored] : stored_) services.insert(service);
  for (const core::ServiceId& it : services) MaintainService(it);
}

void VersionStore::MaintainService(const core::ServiceId& service) {
  const auto it = stored_.find(service);
  const StoredVersions stored =
      it == stored_.end() ? StoredVersions() : it->second;
  const streams::VersionSet versions = history_.VersionsToStore(service);
  const bool unreadable = stored.revision != 0 && stored.versions.empty();
  if (versions == stored.versions ||
      (unreadable && !history_.HasFollowedLong())) {
    due_.erase(service);
    return;
  }
  const core::SteadyTime now = clock_.Now();
  DueWrite& due =
      due_.try_emplace(service, DueWrite{now, {}, kRetryPause}).first->second;
  const bool is_first = stored.revision == 0 && versions.size() == 1;
  const core::SteadyTime since =
      is_first ? std::max(due.since, began_ + kSettleTime) : due.since;
  if (now < since + Turn(service)) return;
  if (due.retry_at && now < *due.retry_at) return;
  due.retry_at = now + due.retry_pause;
  due.retry_pause = std::min(2 * due.retry_pause, kMaxRetryPause);
  core::Spawn(executor_, log_, "write_service_versions",
              [this, service, versions, revision = stored.revision] {
                return Write(service, versions, revision);
              });
}

/** @return The time after which this entry writes if no other one has. */
milliseconds VersionStore::Turn(const core::ServiceId& service) const {
  const auto rank_of = [&service](const std::string& entry) {
    return core::HashOf(service.value(), core::HashOf(entry));
  };
  const std::uint64_t own = rank_of(self_);
  const std::vector<fleet::Peer> peers = peer_table_.Peers();
  const auto before = std::ranges::count_if(
      peers, [&](const fleet::Peer& it) { return rank_of(it.entry) > own; });
  return before * kTurnInterval;
}

/** @param versions Empty to delete the key. */
core::Task<> VersionStore::Write(core::ServiceId service,
                                 streams::VersionSet versions,
                                 std::int64_t revision) {
  gen::ServiceVersions message;
  if (versions.size() == 1) {
    message.__set_only_version(versions.begin()->value());
  } else {
    for (const auto& it : versions) message.versions.push_back(it.value());
  }
  std::string failure;
  bool is_written = false;
  try {
    if (versions.empty()) {
      is_written = co_await store_.DeleteIf(KeyOf(service), revision);
    } else {
      const external::CasResult result = co_await store_.CompareAndSwap(
          KeyOf(service), revision, fleet::Encode(message), "");
      is_written = result.swapped;
    }
  } catch (const core::Error& e) {
    failure = e.what();
  }
  log_.Event(failure.empty() ? LogLevel::kInfo : LogLevel::kWarning,
             LogCategory::kPlatform, "service_versions_written",
             {{"service", service},
              {"versions", versions.size()},
              {"after_revision", revision},
              {"written", is_written},
              {"error", failure}});
}

}  // namespace sapphire::serving
