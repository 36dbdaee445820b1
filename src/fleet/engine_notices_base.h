/** @file engine_notices_base.h Keeps what engines say of themselves in answers.
 */
#ifndef SAPPHIRE_FLEET_ENGINE_NOTICES_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_NOTICES_BASE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "core/clock_base.h"
#include "fleet/engine_notice_type.h"
#include "fleet/instance_type.h"

namespace sapphire::fleet {

/**
 * Engines that have said that they leave, or that asked this VM for rest. Kept
 * apart from their registrations in the store, which may be older than an
 * answer. After a rest, requests return one at a time until the engine has
 * answered one or had the time to turn it away. Not thread-safe.
 */
class EngineNotices {
 public:
  /** @pre `clock` outlives this object. */
  explicit EngineNotices(const core::Clock& clock) : clock_(clock) {}

  /**
   * Applies the notice of an answer that was received now.
   * @param spread Added to the rest, so that entries do not return together.
   */
  NoticeChange Apply(const InstanceId& instance, const EngineNotice& notice,
                     std::chrono::milliseconds spread);

  /** Records that a request is sent to the engine. */
  void RecordSend(const InstanceId& instance);

  /** @return True once the engine has said that it leaves; an instance that
   * leaves never returns. */
  [[nodiscard]] bool IsLeaving(const InstanceId& instance) const {
    return leaving_.contains(instance);
  }

  /** @return Time until the engine may get its next request, or 0. */
  [[nodiscard]] std::chrono::milliseconds RestLeft(
      const InstanceId& instance) const;

  [[nodiscard]] int leaving() const {
    return static_cast<int>(leaving_.size());
  }
  [[nodiscard]] int resting() const { return static_cast<int>(rests_.size()); }

  /** Removes engines that have not been in `alive` for a while. */
  void Forget(const std::set<InstanceId>& alive);

 private:
  struct Rest {
    core::SteadyTime until;
    /** When the first request after the rest was sent. */
    std::optional<core::SteadyTime> trial;
  };

  bool ApplyRest(const InstanceId& instance, std::chrono::milliseconds rest,
                 std::chrono::milliseconds spread);

  const core::Clock& clock_;
  /** When each leaving engine was last known to be alive. */
  std::map<InstanceId, core::SteadyTime> leaving_;
  std::map<InstanceId, Rest> rests_;
  std::set<InstanceId> unreadable_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_NOTICES_BASE_H_
