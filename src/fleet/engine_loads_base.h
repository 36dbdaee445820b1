/** @file engine_loads_base.h What this entry has sent to each engine, and how
 * it went. */
#ifndef SAPPHIRE_FLEET_ENGINE_LOADS_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_LOADS_BASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock_base.h"
#include "fleet/engine_limits_base.h"
#include "fleet/engine_type.h"
#include "fleet/model_usage_base.h"
#include "fleet/usage_type.h"

namespace sapphire::fleet {

/** How an engine dealt with a request. */
enum class SendResult {
  kServed,     ///< A whole answer, or one that goes on well.
  kRefused,    ///< It said that it did not run it.
  kFailed,     ///< No answer, a broken one, or a failure of the engine.
  kAbandoned,  ///< Ended from our side: the caller left or time ran out.
};

/** One request at an engine. */
struct SendTicket {
  InstanceId instance;
  std::int64_t number = 0;
};

/** One thread. */
class EngineLoads {
 public:
  /** @pre `clock` outlives it. */
  explicit EngineLoads(const core::Clock& clock);

  /** @return How many requests engines take. */
  [[nodiscard]] EngineLimits& limits() { return limits_; }
  [[nodiscard]] const EngineLimits& limits() const { return limits_; }

  SendTicket Begin(const InstanceId& instance, const UsedPart& part);
  /** The first byte of the answer has come. */
  void NoteAnswer(const SendTicket& ticket);
  /** A part of the answer has come. */
  void NoteHeard(const SendTicket& ticket);
  void End(const SendTicket& ticket, SendResult result);

  /** @return Requests in progress there, from here. */
  [[nodiscard]] int Running(const InstanceId& instance) const;

  /** @return Share of the latest requests that failed, 0 to 1. */
  [[nodiscard]] double FailureRate(const InstanceId& instance) const;

  /**
   * @return How long the oldest request without a first byte waits, or how long
   *   no stream there has given a part, whichever is longer.
   *
   * Tells of a frozen engine before new requests there have timed out.
   */
  [[nodiscard]] std::chrono::milliseconds OldestSilence(
      const InstanceId& instance) const;

  /** No connection could be made. */
  void NoteUnreachable(const InstanceId& instance);

  /** @return True if it was so a moment ago: no sense in trying at once. */
  [[nodiscard]] bool Unreachable(const InstanceId& instance) const;

  /** @return What this entry itself uses there. */
  [[nodiscard]] Usage UseOf(const InstanceId& instance,
                            const UsedPart& part) const;

  /** The engine said that it does not hold this. */
  void NoteLacking(const InstanceId& instance, const UsedPart& part);

  /** The engine has loaded it. */
  void NoteLoaded(const InstanceId& instance, const UsedPart& part);

  /** @return True if it was so a moment ago: its entry is behind it. */
  [[nodiscard]] bool HasLoaded(const InstanceId& instance,
                               const UsedPart& part) const;

  /** @return True if it was so a moment ago: its entry is behind it. */
  [[nodiscard]] bool Lacks(const InstanceId& instance,
                           const UsedPart& part) const;

  /** Notes the prompt parts that an engine has read, newest last. */
  void NotePrefix(const InstanceId& instance, const core::ModelId& model,
                  const std::vector<std::uint64_t>& part_hashes);

  /** @return How many leading parts the engine has read lately. */
  [[nodiscard]] std::size_t KnownParts(
      const InstanceId& instance, const core::ModelId& model,
      const std::vector<std::uint64_t>& part_hashes) const;

  /** @return What is in progress from here, or began within `time`. */
  [[nodiscard]] std::map<InstanceId, UsageTable> RecentUse(
      std::chrono::milliseconds time) const;

  /** Forgets engines that are not in `alive` and have nothing in progress. */
  void Forget(const std::set<InstanceId>& alive);

 private:
  struct Sent {
    UsedPart part;
    core::SteadyTime at;
    bool answered = false;
    /** When the last part came; its begin before that. */
    core::SteadyTime heard;
  };
  struct Load {
    explicit Load(const core::Clock& clock) : usage(clock) {}

    std::map<std::int64_t, Sent> sent;
    ModelUsage usage;
    std::optional<core::SteadyTime> unreachable;
    std::map<UsedPart, core::SteadyTime> lacking;
    std::map<UsedPart, core::SteadyTime> loaded;
    double failure_rate = 0;
    core::SteadyTime last_result;
    /** Hashes of model and prompt parts read there, and when. */
    std::map<std::uint64_t, core::SteadyTime> prefixes;
    std::deque<std::uint64_t> prefix_order;
  };

  Load& At(const InstanceId& instance);

  const core::Clock& clock_;
  EngineLimits limits_;
  std::map<InstanceId, Load> loads_;
  std::int64_t next_number_ = 1;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_LOADS_BASE_H_
