/** @file engine_loads_base.h Tracks the requests that this entry has sent to
 * each engine, and their results. */
#ifndef SAPPHIRE_FLEET_ENGINE_LOADS_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_LOADS_BASE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock_base.h"
#include "fleet/engine_limits_base.h"
#include "fleet/engine_notices_base.h"
#include "fleet/engine_type.h"
#include "fleet/model_usage_base.h"
#include "fleet/usage_type.h"

namespace sapphire::fleet {

/** Result of a request that was sent to an engine. */
enum class SendResult {
  kServed,     ///< A complete answer, or one that is still being sent.
  kRefused,    ///< The engine answered that it did not run the request.
  kFailed,     ///< No answer, an incomplete one, or an engine error.
  kAbandoned,  ///< Ended by this entry: the caller left or it timed out.
};

/** Identifies one request at an engine. */
struct SendTicket {
  InstanceId instance;
  std::int64_t number = 0;
};

/** Requests in progress, failures and loaded models of each engine, as observed
 * by this entry. Not thread-safe. */
class EngineLoads {
 public:
  /** @pre `clock` outlives this object. */
  explicit EngineLoads(const core::Clock& clock);

  /** @return Rate limits that the engines have reported. */
  [[nodiscard]] EngineLimits& limits() { return limits_; }
  [[nodiscard]] const EngineLimits& limits() const { return limits_; }

  /** @return What the engines have said of themselves. */
  [[nodiscard]] EngineNotices& notices() { return notices_; }
  [[nodiscard]] const EngineNotices& notices() const { return notices_; }

  /** @return True if the engine leaves, by its registration or by its own
   * answers. Either may be known first. */
  [[nodiscard]] bool IsLeaving(const EngineEntry& engine) const {
    return engine.draining || notices_.IsLeaving(engine.instance);
  }

  /** @return Time until the engine may get its next request, by its rate limit
   * and by the rest that it has asked for, or 0. */
  [[nodiscard]] std::chrono::milliseconds BlockedFor(
      const InstanceId& instance) const {
    return std::max(limits_.ThrottledFor(instance),
                    notices_.RestLeft(instance));
  }

  /** Records that a request is sent. */
  SendTicket Begin(const InstanceId& instance, const ModelOrAdapter& part);
  /** Records that the first byte of the answer was received. */
  void RecordFirstByte(const SendTicket& ticket);
  /** Records that a part of the answer was received. */
  void RecordAnswerPart(const SendTicket& ticket);
  void End(const SendTicket& ticket, SendResult result);

  /** @return Number of this entry's requests in progress at the engine. */
  [[nodiscard]] int Running(const InstanceId& instance) const;

  /** @return Moving average of failed requests, 0 to 1. */
  [[nodiscard]] double FailureRate(const InstanceId& instance) const;

  /**
   * @return The waiting time of the oldest request without a first byte, or the
   *   time since the last part of any stream, whichever is longer.
   *
   * Detects a frozen engine before new requests to it have timed out.
   */
  [[nodiscard]] std::chrono::milliseconds LongestSilence(
      const InstanceId& instance) const;

  /** Records that no connection to the engine could be made. */
  void MarkUnreachable(const InstanceId& instance);

  /** @return True if a connection has just failed, so that it is too early to
   * retry. */
  [[nodiscard]] bool IsUnreachable(const InstanceId& instance) const;

  /** @return This entry's own use of the model or adapter at the engine. */
  [[nodiscard]] Usage UsageOf(const InstanceId& instance,
                              const ModelOrAdapter& part) const;

  /** Records that the engine has not loaded this. */
  void MarkLacking(const InstanceId& instance, const ModelOrAdapter& part);

  /** Records that the engine has loaded this. */
  void NoteLoaded(const InstanceId& instance, const ModelOrAdapter& part);

  /** @return True if the engine loaded this so recently that its entry in the
   * store may not show it yet. */
  [[nodiscard]] bool HasLoaded(const InstanceId& instance,
                               const ModelOrAdapter& part) const;

  /** @return True if the engine was found not to have loaded this so recently
   * that its entry in the store may still name it. */
  [[nodiscard]] bool Lacks(const InstanceId& instance,
                           const ModelOrAdapter& part) const;

  /** Records the prompt parts that an engine has processed. */
  void NotePrefix(const InstanceId& instance, const core::ModelId& model,
                  const std::vector<std::uint64_t>& part_hashes);

  /** @return Number of leading prompt parts that the engine has recently
   * processed. */
  [[nodiscard]] std::size_t KnownPrefixParts(
      const InstanceId& instance, const core::ModelId& model,
      const std::vector<std::uint64_t>& part_hashes) const;

  /** @return Use by this entry that is in progress or began within `time`. */
  [[nodiscard]] std::map<InstanceId, UsageByPart> RecentUsage(
      std::chrono::milliseconds time) const;

  /** Removes engines that are not in `alive` and have no requests in progress.
   */
  void Forget(const std::set<InstanceId>& alive);

 private:
  struct SentRequest {
    ModelOrAdapter part;
    core::SteadyTime at;
    bool answered = false;
    /** When the last part of the answer was received; until then, when the
     * request was sent. */
    core::SteadyTime last_received;
  };
  struct EngineLoad {
    explicit EngineLoad(const core::Clock& clock) : usage(clock) {}

    std::map<std::int64_t, SentRequest> sent;
    ModelUsage usage;
    std::optional<core::SteadyTime> unreachable_at;
    std::map<ModelOrAdapter, core::SteadyTime> lacking;
    std::map<ModelOrAdapter, core::SteadyTime> loaded;
    double failure_rate = 0;
    core::SteadyTime last_result;
    /** When each prompt part was last processed, by hash of model and part. */
    std::map<std::uint64_t, core::SteadyTime> prefixes;
    std::deque<std::uint64_t> prefix_order;
  };

  EngineLoad& LoadOf(const InstanceId& instance);

  const core::Clock& clock_;
  EngineLimits limits_;
  EngineNotices notices_;
  std::map<InstanceId, EngineLoad> loads_;
  std::int64_t next_number_ = 1;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_LOADS_BASE_H_
