/** @file counting_store_base.h A key-value client whose calls are counted. */
#ifndef SAPPHIRE_ENDPOINT_COUNTING_STORE_BASE_H_
#define SAPPHIRE_ENDPOINT_COUNTING_STORE_BASE_H_

#include <string>
#include <vector>

#include "endpoint/metrics_base.h"
#include "platform/key_value_base.h"

namespace sapphire::endpoint {

/** Passes every call on and counts it by kind and outcome. */
class CountingStore final : public platform::KeyValueStore {
 public:
  /** @pre Both outlive this. */
  CountingStore(platform::KeyValueStore& store, Metrics& metrics)
      : store_(store), metrics_(metrics) {}

  core::Task<std::optional<platform::KvEntry>> Get(std::string key) override;
  core::Task<std::vector<platform::KvEntry>> List(std::string prefix) override;
  core::Task<platform::CasResult> CompareAndSwap(std::string key,
                                                 std::int64_t expected,
                                                 std::string value,
                                                 std::string lease_id) override;
  core::Task<bool> DeleteIf(std::string key, std::int64_t expected) override;
  core::Task<platform::KvLease> GrantLease(
      std::chrono::milliseconds time_to_live) override;
  core::Task<bool> KeepAlive(std::string lease_id) override;
  core::Task<platform::WatchBatch> Watch(
      std::string prefix, std::int64_t revision,
      std::chrono::milliseconds wait) override;

 private:
  template <typename T>
  core::Task<T> Counted(std::string_view kind, core::Task<T> call);

  platform::KeyValueStore& store_;
  Metrics& metrics_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_COUNTING_STORE_BASE_H_
