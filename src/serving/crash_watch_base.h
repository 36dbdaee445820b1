/** @file crash_watch_base.h Refuses requests that crash engines. */
#ifndef SAPPHIRE_SERVING_CRASH_WATCH_BASE_H_
#define SAPPHIRE_SERVING_CRASH_WATCH_BASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "crash/quarantine_base.h"
#include "crash/quarantine_store_base.h"
#include "external/key_value_base.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_type.h"
#include "routing/store_follower_base.h"
#include "serving/caller_type.h"
#include "serving/exchange_base.h"

namespace sapphire::serving {

/** @return A hash of method, target and body, which a repeat of the request by
 * its caller has too. */
std::int64_t FingerprintOf(const CallerRequest& request);

/** @return The hashes of all parts of the prompt but the last, which belongs to
 * the request alone. */
std::vector<std::uint64_t> SharedPartsOf(const CallerRequest& request);

/** One send that is watched for a crash of its engine. */
struct WatchedSend {
  std::int64_t fingerprint = 0;
  std::int64_t number = 0;
  core::RequestId request;
  core::ModelId model;
  /** Parts of the prompt that other requests may share: all but the last. */
  std::vector<std::uint64_t> shared_parts;
  fleet::InstanceId instance;
  /** "ip:port" of the engine. */
  std::string address;
  /** When the engine began to answer this send, if it did. */
  std::optional<core::SteadyTime> first_byte;
};

/**
 * Refuses requests that have crashed two engines, whichever entries sent them.
 *
 * A send whose connection ends without an answer makes its request a suspect;
 * it counts as a crash if the engine then refuses connections. Counts are
 * shared through the store. A request that completes is cleared, so that
 * requests that only ran at the same time as the cause are not blamed. Not
 * thread-safe.
 */
class CrashWatch {
 public:
  /** @pre All references outlive the watch and its tasks. */
  CrashWatch(external::KeyValueStore& store, fleet::EngineLoads& loads,
             const core::Executor& executor, const core::Clock& clock,
             const core::Logger& log);

  /** Starts writing crashes to the store for other entries. */
  void Start();

  /** @return Hooks for the store follower, which apply crashes that other
   * entries have written. @pre This object outlives them. */
  [[nodiscard]] routing::FollowHooks Hooks();

  /** @throws core::Error kQuarantined if the request crashes engines. */
  void Check(std::int64_t fingerprint) const;

  /** Registers a send and assigns its number. */
  void Begin(WatchedSend& send);

  /** Registers the end of a send. */
  void End(const WatchedSend& send, const ExchangeResult& result);

 private:
  [[nodiscard]] bool IsSuspicious(const WatchedSend& send,
                                  const ExchangeResult& result) const;
  core::Task<> ProbeEngine(WatchedSend send);
  void RecordSendEnd(const WatchedSend& send, bool completed);
  void RecordSendCrash(const WatchedSend& send);

  fleet::EngineLoads& loads_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  const std::shared_ptr<crash::Quarantine> quarantine_;
  const std::shared_ptr<crash::QuarantineStore> quarantine_store_;
  std::int64_t next_number_ = 1;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CRASH_WATCH_BASE_H_
