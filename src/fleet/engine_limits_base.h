/** @file engine_limits_base.h Keeps the rate limits that engines report. */
#ifndef SAPPHIRE_FLEET_ENGINE_LIMITS_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_LIMITS_BASE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "core/clock_base.h"
#include "fleet/instance_type.h"

namespace sapphire::fleet {

/** The rate limit that an engine's answer reports. */
struct LimitNotice {
  /** Requests per second that the engine accepts from all entries together;
   * nothing if the answer has no limit. */
  std::optional<double> per_second;
  /** True if the answer has a limit that can't be parsed; the known limit then
   * remains valid. */
  bool unreadable = false;
};

/** Effect of a notice on the known limit. */
enum class LimitChange { kNone, kReported, kEnded };

/** Rate limits that engines have reported to this entry or to its peers, and
 * engines that are throttled as their limit is used up. Not thread-safe. */
class EngineLimits {
 public:
  /** @pre `clock` outlives this object. */
  explicit EngineLimits(const core::Clock& clock) : clock_(clock) {}

  /**
   * Applies the limit, or its absence, in an engine's answer.
   * @param sent When the request was sent. Answers may arrive out of order: one
   *   without a limit ends the limit only if its request was sent after the
   *   limit was last reported.
   */
  LimitChange Apply(const InstanceId& instance, const LimitNotice& notice,
                    core::SteadyTime sent);

  /** Applies a limit that a peer has recently received from the engine. */
  void ApplyPeerLimit(const InstanceId& instance, double per_second);

  /** @return Requests per second of all entries together; nothing if the engine
   * has no limit. */
  [[nodiscard]] std::optional<double> RateOf(const InstanceId& instance) const;

  /** Marks the engine as not to be sent requests for this time. */
  void Throttle(const InstanceId& instance, std::chrono::milliseconds time);
  /** @return Remaining time for which the engine is throttled, or 0. */
  [[nodiscard]] std::chrono::milliseconds ThrottledFor(
      const InstanceId& instance) const;

  /** @return Limits that engines have recently reported to this entry, to be
   * sent to its peers. */
  [[nodiscard]] std::map<InstanceId, double> RecentlyReported() const;

  /** @return Number of engines that have a limit. */
  [[nodiscard]] int limited() const;

  /** Removes engines that are not in `alive`. */
  void Forget(const std::set<InstanceId>& alive);

 private:
  struct Limit {
    /** Rate reported to this entry. */
    std::optional<double> reported_rate;
    core::SteadyTime reported_at;
    /** When an answer without a limit ended the limit. */
    std::optional<core::SteadyTime> ended_at;
    /** Rate received from a peer. */
    std::optional<double> peer_rate;
    core::SteadyTime peer_reported_at;
    core::SteadyTime throttled_until;
  };

  [[nodiscard]] std::optional<double> RateOf(const Limit& limit) const;

  const core::Clock& clock_;
  std::map<InstanceId, Limit> limits_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_LIMITS_BASE_H_
