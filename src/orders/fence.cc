/** @file fence.cc Fencing numbers for the orders of one process. */
#include <utility>

#include "core/error_type.h"
#include "orders/fence_func.h"

namespace sapphire::orders {

core::Task<std::int64_t> TakeFence(external::KeyValueStore& store,
                                   std::string engine_address,
                                   std::string holder) {
  const std::string key = "orders/" + engine_address;
  const std::optional<external::KvEntry> last = co_await store.Get(key);
  const std::int64_t expected = last ? last->revision : 0;
  const external::CasResult result =
      co_await store.CompareAndSwap(key, expected, std::move(holder), "");
  if (!result.swapped) {
    throw core::Error(core::ErrorCode::kPlatformUnavailable,
                      key + ": another process has just taken a fence");
  }
  co_return result.revision;
}

}  // namespace sapphire::orders
