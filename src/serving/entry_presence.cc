/** @file entry_presence.cc Announces this entry to the others. */
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "serving/entry_presence_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

EntryPresence::EntryPresence(PresenceOptions options,
                             external::KeyValueStore& store,
                             const core::Logger& log)
    : options_(std::move(options)), store_(store), log_(log) {}

core::Task<> EntryPresence::Run() {
  while (!withdrawn_) {
    std::string failure;
    try {
      co_await Renew();
    } catch (const core::Error& e) {
      failure = e.what();
    }
    const bool failed = !failure.empty();
    if (failed != failing_) {
      failing_ = failed;
      log_.Event(failed ? LogLevel::kWarning : LogLevel::kInfo,
                 LogCategory::kPlatform,
                 failed ? "presence_lost" : "presence_regained",
                 {{"key", options_.key}, {"error", failure}});
    }
    co_await core::SleepFor(failed ? options_.retry_pause
                                   : options_.renew_pause);
  }
}

/**
 * Renews the lease. If it has ended, as after an outage of the store, the lease
 * and the key are created again.
 */
core::Task<> EntryPresence::Renew() {
  if (!lease_.empty() && co_await store_.KeepAlive(lease_)) co_return;
  lease_.clear();
  revision_ = 0;
  const external::KvLease lease =
      co_await store_.GrantLease(options_.time_to_live);
  const external::CasResult result = co_await store_.CompareAndSwap(
      options_.key, revision_, options_.value, lease.id);
  // The key still exists, under an earlier lease that will end.
  if (!result.swapped) co_return;
  lease_ = lease.id;
  revision_ = result.revision;
}

core::Task<> EntryPresence::Withdraw() {
  withdrawn_ = true;
  if (revision_ == 0) co_return;
  std::string failure;
  try {
    co_await store_.DeleteIf(options_.key, revision_);
  } catch (const core::Error& e) {
    failure = e.what();
  }
  log_.Event(LogLevel::kInfo, LogCategory::kPlatform, "presence_withdrawn",
             {{"key", options_.key}, {"error", failure}});
}

}  // namespace sapphire::serving
