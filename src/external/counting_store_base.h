/** @file counting_store_base.h Reports outcome and duration of key-value calls.
 */
#ifndef SAPPHIRE_EXTERNAL_COUNTING_STORE_BASE_H_
#define SAPPHIRE_EXTERNAL_COUNTING_STORE_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "external/key_value_base.h"

namespace sapphire::external {

/** One completed call to the store. */
struct StoreCall {
  std::string_view kind;
  /** "ok" or the name of the error. */
  std::string_view outcome;
  /** From the call to the parsed answer; includes the waiting time of a watch.
   */
  std::chrono::milliseconds took{0};
  /** Total size of the decoded values in the answer. */
  std::int64_t bytes = 0;
};

/** Forwards every call to a store and reports its end to an observer. */
class CountingStore final : public KeyValueStore {
 public:
  using Observer = std::function<void(const StoreCall& call)>;

  /** @pre `store` and `clock` outlive this. */
  CountingStore(KeyValueStore& store, Observer observer,
                const core::Clock& clock)
      : store_(store), observer_(std::move(observer)), clock_(clock) {}

  core::Task<std::optional<KvEntry>> Get(std::string key) override;
  core::Task<std::vector<KvEntry>> List(std::string prefix) override;
  core::Task<RevisionCheck> CheckRevision(std::string key,
                                          std::int64_t revision) override;
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
  core::Task<T> Observed(std::string_view kind, core::Task<T> call);

  KeyValueStore& store_;
  const Observer observer_;
  const core::Clock& clock_;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_COUNTING_STORE_BASE_H_
