/** @file kv_store.cc Data of the key-value service's stand-in. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "standin/kv_store_base.h"

namespace sapphire::standin {

using external::CasResult;
using external::KvEntry;
using external::KvEvent;
using external::KvLease;
using external::WatchBatch;

KvStore::KvStore(std::size_t history_limit, const core::Clock& clock)
    : history_limit_(history_limit), clock_(clock) {}

std::optional<KvEntry> KvStore::Get(const std::string& key) {
  ExpireLeases();
  const auto it = items_.find(key);
  if (it == items_.end()) return std::nullopt;
  return it->second.entry;
}

std::vector<KvEntry> KvStore::List(const std::string& prefix) {
  ExpireLeases();
  std::vector<KvEntry> entries;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    entries.push_back(it->second.entry);
  }
  return entries;
}

std::optional<KvEntry> KvStore::Previous(const std::string& key) {
  const auto it = previous_.find(key);
  if (it == previous_.end()) return std::nullopt;
  return it->second;
}

CasResult KvStore::CompareAndSwap(const std::string& key, std::int64_t expected,
                                  const std::string& value,
                                  const std::string& lease_id) {
  ExpireLeases();
  if (!lease_id.empty() && !leases_.contains(lease_id)) {
    throw core::Error(core::ErrorCode::kMalformedRequest,
                      "lease: doesn't live");
  }
  CasResult result;
  result.current = Get(key);
  const std::int64_t found = result.current ? result.current->revision : 0;
  if (found != expected) return result;
  Put(key, value, lease_id);
  result.swapped = true;
  result.revision = revision_;
  result.current.reset();
  return result;
}

bool KvStore::DeleteIf(const std::string& key, std::int64_t expected) {
  ExpireLeases();
  const auto it = items_.find(key);
  if (it == items_.end() || it->second.entry.revision != expected) return false;
  Delete(key);
  return true;
}

KvLease KvStore::GrantLease(std::chrono::milliseconds time_to_live) {
  const std::string id = core::RandomHexId();
  leases_[id] = {time_to_live, clock_.Now() + time_to_live};
  return {id, time_to_live};
}

bool KvStore::KeepAlive(const std::string& lease_id) {
  ExpireLeases();
  const auto it = leases_.find(lease_id);
  if (it == leases_.end()) return false;
  it->second.expires_at = clock_.Now() + it->second.time_to_live;
  return true;
}

void KvStore::EndAllLeases() {
  while (!leases_.empty()) EndLease(std::string(leases_.begin()->first));
}

std::optional<core::SteadyTime> KvStore::NextExpiry() const {
  std::optional<core::SteadyTime> next;
  for (const auto& [id, lease] : leases_) {
    if (!next || lease.expires_at < *next) next = lease.expires_at;
  }
  return next;
}

WatchBatch KvStore::ChangesAfter(std::string_view prefix, std::int64_t after) {
  ExpireLeases();
  WatchBatch batch;
  batch.revision = revision_;
  // A revision above the current one comes from before this store's restart;
  // its changes are lost, as those dropped from the history are.
  batch.gap = after < last_dropped_revision_ || after > revision_;
  if (batch.gap) return batch;
  for (const KvEvent& event : history_) {
    if (event.revision > after && event.key.starts_with(prefix)) {
      batch.events.push_back(event);
    }
  }
  return batch;
}

void KvStore::ExpireLeases() {
  const core::SteadyTime now = clock_.Now();
  std::vector<std::string> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) ended.push_back(id);
  }
  for (const std::string& id : ended) EndLease(id);
}

void KvStore::EndLease(const std::string& lease_id) {
  leases_.erase(lease_id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease_id == lease_id) keys.push_back(key);
  }
  for (const std::string& key : keys) Delete(key);
}

void KvStore::Put(const std::string& key, const std::string& value,
                  const std::string& lease_id) {
  Item& item = items_[key];
  if (item.entry.revision != 0) previous_[key] = item.entry;
  item.entry = {key, value, ++revision_};
  item.lease_id = lease_id;
  AppendHistory({key, value, revision_});
}

void KvStore::Delete(const std::string& key) {
  const auto it = items_.find(key);
  previous_[key] = it->second.entry;
  items_.erase(it);
  AppendHistory({key, std::nullopt, ++revision_});
}

void KvStore::AppendHistory(KvEvent event) {
  history_.push_back(std::move(event));
  if (history_.size() <= history_limit_) return;
  last_dropped_revision_ = history_.front().revision;
  history_.pop_front();
}

}  // namespace sapphire::standin
