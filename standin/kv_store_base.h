/** @file kv_store_base.h Data of the key-value service's stand-in. */
#ifndef SAPPHIRE_STANDIN_KV_STORE_BASE_H_
#define SAPPHIRE_STANDIN_KV_STORE_BASE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock_base.h"
#include "external/key_value_base.h"

namespace sapphire::standin {

/**
 * Keys with store-wide revisions, compare-and-swap, leases and a limited
 * history of changes. Expired leases are ended at the next call. Not
 * thread-safe.
 */
class KvStore {
 public:
  /** @param history_limit How many past changes are kept for watches.
   * @pre `clock` outlives the store. */
  KvStore(std::size_t history_limit, const core::Clock& clock);

  [[nodiscard]] std::int64_t revision() const { return revision_; }

  std::optional<external::KvEntry> Get(const std::string& key);
  std::vector<external::KvEntry> List(const std::string& prefix);

  /** @return The key's value before the newest one. */
  std::optional<external::KvEntry> Previous(const std::string& key);

  /** @throws core::Error kMalformedRequest if the lease doesn't exist. */
  external::CasResult CompareAndSwap(const std::string& key,
                                     std::int64_t expected,
                                     const std::string& value,
                                     const std::string& lease_id);
  bool DeleteIf(const std::string& key, std::int64_t expected);

  external::KvLease GrantLease(std::chrono::milliseconds time_to_live);
  bool KeepAlive(const std::string& lease_id);

  /** Ends all leases. */
  void EndAllLeases();

  /** @return The earliest end of a lease; nothing if there is no lease. */
  [[nodiscard]] std::optional<core::SteadyTime> NextExpiry() const;

  /** @return The changes after revision `after`; with `gap` set if the history
   * no longer has all of them. */
  external::WatchBatch ChangesAfter(std::string_view prefix,
                                    std::int64_t after);

 private:
  struct Item {
    external::KvEntry entry;
    std::string lease_id;
  };
  struct Lease {
    std::chrono::milliseconds time_to_live{};
    core::SteadyTime expires_at;
  };

  void ExpireLeases();
  void EndLease(const std::string& lease_id);
  void Put(const std::string& key, const std::string& value,
           const std::string& lease_id);
  void Delete(const std::string& key);
  void AppendHistory(external::KvEvent event);

  const std::size_t history_limit_;
  const core::Clock& clock_;
  std::int64_t revision_ = 0;
  /** Revision of the newest change that was dropped from the history. */
  std::int64_t last_dropped_revision_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::string, external::KvEntry> previous_;
  std::map<std::string, Lease> leases_;
  std::deque<external::KvEvent> history_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_KV_STORE_BASE_H_
