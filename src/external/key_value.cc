/** @file key_value.cc Default implementations of KeyValueStore. */
#include <algorithm>
#include <set>
#include <utility>

#include "external/key_value_base.h"

namespace sapphire::external {

core::Task<RevisionCheck> KeyValueStore::CheckRevision(std::string key,
                                                       std::int64_t revision) {
  RevisionCheck check;
  check.current = co_await Get(std::move(key));
  check.unchanged = check.current && check.current->revision == revision;
  co_return check;
}

core::Task<KvSnapshot> KeyValueStore::Snapshot(std::string prefix) {
  KvSnapshot snapshot;
  snapshot.entries = co_await List(std::move(prefix));
  for (const KvEntry& entry : snapshot.entries) {
    snapshot.revision = std::max(snapshot.revision, entry.revision);
  }
  co_return snapshot;
}

std::int64_t CountMissingChanges(const WatchBatch& batch, std::int64_t after) {
  // A transaction may change several keys at one revision.
  std::set<std::int64_t> told;
  for (const KvEvent& it : batch.events) {
    if (it.revision > after && it.revision <= batch.revision) {
      told.insert(it.revision);
    }
  }
  return std::max(batch.revision - after, std::int64_t{0}) -
         static_cast<std::int64_t>(told.size());
}

}  // namespace sapphire::external
