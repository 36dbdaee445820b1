/** @file counting_store.cc Reports outcome and duration of key-value calls. */
#include <utility>

#include "core/error_type.h"
#include "external/counting_store_base.h"

namespace sapphire::external {

using core::Task;

namespace {

template <typename T>
std::int64_t BytesOf(const T& /*answer*/) {
  return 0;
}

std::int64_t BytesOf(const KvSnapshot& snapshot) {
  std::int64_t bytes = 0;
  for (const KvEntry& it : snapshot.entries) {
    bytes += static_cast<std::int64_t>(it.value.size());
  }
  return bytes;
}

std::int64_t BytesOf(const RevisionCheck& check) {
  return check.current ? static_cast<std::int64_t>(check.current->value.size())
                       : 0;
}

std::int64_t BytesOf(const WatchBatch& batch) {
  std::int64_t bytes = 0;
  for (const KvEvent& it : batch.events) {
    if (it.value) bytes += static_cast<std::int64_t>(it.value->size());
  }
  return bytes;
}

}  // namespace

template <typename T>
Task<T> CountingStore::Observed(std::string_view kind, Task<T> call) {
  const core::SteadyTime began = clock_.Now();
  const auto took = [this, began] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() -
                                                                 began);
  };
  try {
    T result = co_await std::move(call);
    observer_({kind, "ok", took(), BytesOf(result)});
    co_return result;
  } catch (const core::Error& e) {
    observer_({kind, core::InfoOf(e.code()).name, took(), 0});
    throw;
  }
}

Task<std::optional<KvEntry>> CountingStore::Get(std::string key) {
  return Observed("get", store_.Get(std::move(key)));
}

Task<std::vector<KvEntry>> CountingStore::List(std::string prefix) {
  return Observed("list", store_.List(std::move(prefix)));
}

Task<RevisionCheck> CountingStore::CheckRevision(std::string key,
                                                 std::int64_t revision) {
  return Observed("check", store_.CheckRevision(std::move(key), revision));
}

Task<KvSnapshot> CountingStore::Snapshot(std::string prefix) {
  return Observed("list", store_.Snapshot(std::move(prefix)));
}

Task<CasResult> CountingStore::CompareAndSwap(std::string key,
                                              std::int64_t expected,
                                              std::string value,
                                              std::string lease_id) {
  return Observed(
      "cas", store_.CompareAndSwap(std::move(key), expected, std::move(value),
                                   std::move(lease_id)));
}

Task<bool> CountingStore::DeleteIf(std::string key, std::int64_t expected) {
  return Observed("delete", store_.DeleteIf(std::move(key), expected));
}

Task<KvLease> CountingStore::GrantLease(
    std::chrono::milliseconds time_to_live) {
  return Observed("lease", store_.GrantLease(time_to_live));
}

Task<bool> CountingStore::KeepAlive(std::string lease_id) {
  return Observed("keepalive", store_.KeepAlive(std::move(lease_id)));
}

Task<WatchBatch> CountingStore::Watch(std::string prefix, std::int64_t revision,
                                      std::chrono::milliseconds wait) {
  return Observed("watch", store_.Watch(std::move(prefix), revision, wait));
}

}  // namespace sapphire::external
