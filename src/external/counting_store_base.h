/** @file counting_store_base.h A key-value client whose calls are counted. */
#ifndef SAPPHIRE_EXTERNAL_COUNTING_STORE_BASE_H_
#define SAPPHIRE_EXTERNAL_COUNTING_STORE_BASE_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "external/key_value_base.h"

namespace sapphire::external {

/** Passes every call on and counts it by kind and outcome. */
class CountingStore final : public KeyValueStore {
 public:
  /** Told of each call: its kind, and "ok" or the error's name. */
  using Observer =
      std::function<void(std::string_view kind, std::string_view outcome)>;

  /** @pre `store` outlives this. */
  CountingStore(KeyValueStore& store, Observer observer)
      : store_(store), observer_(std::move(observer)) {}

  core::Task<std::optional<KvEntry>> Get(std::string key) override;
  core::Task<std::vector<KvEntry>> List(std::string prefix) override;
  core::Task<KvSnapshot> Snapshot(std::string prefix) override;
  core::Task<CasResult> CompareAndSwap(std::string key, std::int64_t expected,
                                       std::string value,
                                       std::string lease_id) override;
  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override;
  core::Task<KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) override;
  core::Task<bool> KeepAlive(std::string lease_id) override;
  core::Task<WatchBatch> Watch(std::string prefix, std::int64_t revision,
                               std::chrono::milliseconds wait) override;

 private:
  template <typename T>
  core::Task<T> Counted(std::string_view kind, core::Task<T> call);

  KeyValueStore& store_;
  const Observer observer_;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_COUNTING_STORE_BASE_H_
