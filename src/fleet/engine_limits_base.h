/** @file engine_limits_base.h How many requests a second engines take. */
#ifndef SAPPHIRE_FLEET_ENGINE_LIMITS_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_LIMITS_BASE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "core/clock_base.h"
#include "fleet/instance_type.h"

namespace sapphire::fleet {

/** What an answer of an engine says of its limit. */
struct LimitNotice {
  /** Requests a second that the engine takes from all entries together;
   * nothing: it names no limit. */
  std::optional<double> per_second;
  /** It names one that can't be read: what was known holds on. */
  bool unreadable = false;
};

/** What a notice has changed. */
enum class LimitChange { kNone, kNamed, kEnded };

/** Limits that engines have named, to this entry or to its peers, and engines
 * that are throttled for a moment as their limit is used up. One thread. */
class EngineLimits {
 public:
  /** @pre `clock` outlives it. */
  explicit EngineLimits(const core::Clock& clock) : clock_(clock) {}

  /**
   * Takes an answer's notice.
   * @param sent When the request was sent. Answers overtake each other: one
   *   without a limit ends the limit only if its request was sent after the
   *   limit was last named.
   */
  LimitChange Apply(const InstanceId& instance, const LimitNotice& notice,
                    core::SteadyTime sent);

  /** A peer was named this limit lately. */
  void ApplyTold(const InstanceId& instance, double per_second);

  /** @return Requests a second of all entries together; nothing: no limit. */
  [[nodiscard]] std::optional<double> RateOf(const InstanceId& instance) const;

  /** No request goes to the engine for this long. */
  void Throttle(const InstanceId& instance, std::chrono::milliseconds time);
  /** @return How long the engine is still throttled; 0: it is not. */
  [[nodiscard]] std::chrono::milliseconds ThrottledFor(
      const InstanceId& instance) const;

  /** @return What engines have named to this entry lately, for its peers. */
  [[nodiscard]] std::map<InstanceId, double> NamedLately() const;

  /** @return How many engines have a limit now. */
  [[nodiscard]] int limited() const;

  /** Forgets engines that are not in `alive`. */
  void Forget(const std::set<InstanceId>& alive);

 private:
  struct Limit {
    /** Named to this entry. */
    std::optional<double> named;
    core::SteadyTime named_at;
    /** An answer without a limit came. */
    std::optional<core::SteadyTime> ended_at;
    /** Told by a peer. */
    std::optional<double> told;
    core::SteadyTime told_at;
    core::SteadyTime throttled_until;
  };

  [[nodiscard]] std::optional<double> RateOf(const Limit& limit) const;

  const core::Clock& clock_;
  std::map<InstanceId, Limit> limits_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_LIMITS_BASE_H_
