/** @file store_follower_base.h Follows keys of the store with a single
 * watch. */
#ifndef SAPPHIRE_ROUTING_STORE_FOLLOWER_BASE_H_
#define SAPPHIRE_ROUTING_STORE_FOLLOWER_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::routing {

struct FollowOptions {
  /** Common prefix of all keys that are followed; empty means the whole
   * store. */
  std::string prefix;
  /** Duration of one watch call. It is long because each call to the store
   * costs money. */
  std::chrono::milliseconds watch_wait{20'000};
  /** Pause after a batch of changes, so that changes at short intervals are
   * fetched with one call. */
  std::chrono::milliseconds batch_pause{100};
  /** Pause before a failed call is retried. One call every half second from
   * each VM is far below the capacity of the store, and a store that has
   * returned is detected well within two seconds. */
  std::chrono::milliseconds retry_pause{400};
  /** Called for each answer, with the age that the view had reached before
   * it. */
  std::function<void(std::chrono::milliseconds age)> on_answer =
      [](std::chrono::milliseconds) {};
  /** Maximum age of the view while calls are answered; an older view is
   * logged. */
  std::chrono::milliseconds late_after{30'000};
  /** If calls failed for longer than this, it counts as an outage: keys may
   * have expired meanwhile. */
  std::chrono::milliseconds outage_after{1000};
  /**
   * After an outage, keys that expired with the store may still be written
   * again until this long after the start of the last failed call: the store
   * was unavailable at that time, so it has returned since. Counted from the
   * first answer, which comes up to one failed call and one pause after the
   * store's return, the grace period exceeded the operators' limit.
   */
  std::chrono::milliseconds lapse_grace{2000};
};

/** End of the grace period after an outage: until then, keys that expired
 * during the outage may be written again by their owners. Not set if there was
 * no outage; a missing key then counts as deleted. */
using LapseGraceEnd = std::optional<core::SteadyTime>;

/** Callbacks for the keys under one prefix. */
struct FollowHooks {
  std::string prefix;
  /** Called with all keys after each listing. */
  std::function<void(std::vector<external::KvEntry>, LapseGraceEnd)> listed;
  /** Called for each change. */
  std::function<void(external::KvEvent, LapseGraceEnd)> changed;
};

/**
 * Lists the keys and then watches them for as long as the process runs. Every
 * call has a timeout. After a failure or a gap in the history, all keys are
 * listed again, because changes may have been missed. One watch covers all keys
 * that a process follows: with a watch per kind of key, hundreds of VMs would
 * each make that many more calls.
 */
class StoreFollower {
 public:
  /** @pre The store, `clock` and `log` outlive the follower. */
  StoreFollower(FollowOptions options, std::vector<FollowHooks> hooks,
                external::KeyValueStore& store, const core::Clock& clock,
                const core::Logger& log);

  /** Runs forever. */
  core::Task<> Run();

  /** @return Time of the store's last answer, if any. */
  [[nodiscard]] std::optional<core::SteadyTime> last_answer() const {
    return last_answer_;
  }

  /**
   * @return The time up to which all changes are known, if the store ever
   *   answered: the start of the latest call whose answer was applied.
   */
  [[nodiscard]] std::optional<core::SteadyTime> current_as_of() const {
    return current_as_of_;
  }

  /** @return The start of the latest complete listing, if any. */
  [[nodiscard]] std::optional<core::SteadyTime> listed_as_of() const {
    return listed_as_of_;
  }

  /** @return The revision up to which changes are known, unless the keys have
   * to be listed. */
  [[nodiscard]] std::optional<std::int64_t> revision() const {
    return revision_;
  }

  /** @return True if the view is older than `late_after` although no call has
   * failed: this process is too busy to follow the store. */
  [[nodiscard]] bool IsLate() const;

  /** @return True while a call takes longer than an idle store needs: its
   * answer is coming in, or does not come. */
  [[nodiscard]] bool IsAwaitingAnswer() const;

  /** @return True from a failed call until the next answer. */
  [[nodiscard]] bool failing() const { return failing_since_.has_value(); }

 private:
  core::Task<> ListAll();
  core::Task<> WatchOnce();
  void DispatchChange(external::KvEvent event);
  [[nodiscard]] std::int64_t CountMissing(
      const external::WatchBatch& batch) const;
  void LogEarlyAnswer(const external::WatchBatch& batch,
                      core::Millis wait) const;
  [[nodiscard]] core::Millis WatchWait() const;
  [[nodiscard]] core::Millis BatchPause() const;
  [[nodiscard]] core::Millis TimeToRenewal() const;
  void HandleFailure(const std::string& what);
  void HandleAnswer();
  void HandleApplied();
  /** @param as_of All changes up to this time have been applied. */
  void UpdateViewTime(core::SteadyTime as_of);
  [[nodiscard]] LapseGraceEnd CurrentLapseGraceEnd() const;

  const FollowOptions options_;
  const std::vector<FollowHooks> hooks_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** Revision up to which changes are known; if not set, the keys are listed
   * first. */
  std::optional<std::int64_t> revision_;
  std::optional<core::SteadyTime> last_answer_;
  std::optional<core::SteadyTime> current_as_of_;
  std::optional<core::SteadyTime> listed_as_of_;
  std::optional<core::SteadyTime> failing_since_;
  /** Start of the latest call, and of the latest call that failed. */
  core::SteadyTime call_began_;
  /** Time by which the call in progress is answered by an idle store. */
  std::optional<core::SteadyTime> answer_due_;
  core::SteadyTime failed_call_began_;
  LapseGraceEnd grace_end_;
};

}  // namespace sapphire::routing

#endif  // SAPPHIRE_ROUTING_STORE_FOLLOWER_BASE_H_
