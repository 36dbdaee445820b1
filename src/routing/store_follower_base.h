/** @file store_follower_base.h Follows keys of the store by one watch. */
#ifndef SAPPHIRE_ROUTING_STORE_FOLLOWER_BASE_H_
#define SAPPHIRE_ROUTING_STORE_FOLLOWER_BASE_H_

#include <chrono>
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
  /** Of all keys that are followed; empty: the whole store. */
  std::string prefix;
  /** How long one watch waits. Long: each call to the store is paid for. */
  std::chrono::milliseconds watch_wait{20'000};
  /** Pause after a batch of changes, so that changes that come together cost
   * one call. */
  std::chrono::milliseconds gather{100};
  /** Pause before a failed call is tried again. Half a second from each VM is
   * far below what the store takes and found again well within two seconds. */
  std::chrono::milliseconds retry_pause{400};
  /** Told of each answer: how old the view had become until it came. */
  std::function<void(std::chrono::milliseconds age)> renewed =
      [](std::chrono::milliseconds) {};
  /** A view that gets older than this while calls are answered is logged. */
  std::chrono::milliseconds late_after{30'000};
  /** A store that failed for longer than this was away: entries may have
   * lapsed meanwhile. */
  std::chrono::milliseconds outage_after{1000};
  /**
   * After an outage, entries that lapsed with the store are waited for until
   * this long after the last call that failed began: the store was away at that
   * time, so it has returned since. Counted from the first answer, which comes
   * up to a failed call and a pause after the return, the wait outlasted what
   * operators allow.
   */
  std::chrono::milliseconds lapse_wait{2000};
};

/** Until then entries that lapsed while the store was away may come back by
 * themselves; nothing: it was not away, and what is missing is gone. */
using LapseEnd = std::optional<core::SteadyTime>;

/** What is done with what is seen of the keys under one prefix. */
struct FollowHooks {
  std::string prefix;
  /** A whole listing of them. */
  std::function<void(std::vector<external::KvEntry>, LapseEnd)> listed;
  /** One change. */
  std::function<void(external::KvEvent, LapseEnd)> changed;
};

/**
 * Lists, then watches, for as long as the process runs. Every call has a
 * time-out, and after any failure or gap everything is listed anew: a watch
 * that was cut, or whose history is gone, may have missed changes. One watch
 * serves all that a process follows: a watch a subject cost hundreds of VMs as
 * many calls again for each of them.
 */
class StoreFollower {
 public:
  /** @pre The store, `clock` and `log` outlive the follower. */
  StoreFollower(FollowOptions options, std::vector<FollowHooks> hooks,
                external::KeyValueStore& store, const core::Clock& clock,
                const core::Logger& log);

  /** Never returns. */
  core::Task<> Run();

  /** @return When the store last answered, if it ever did. */
  [[nodiscard]] std::optional<core::SteadyTime> last_answer() const {
    return last_answer_;
  }

  /**
   * @return All changes up to this time are known, if the store ever answered:
   *   when the call began whose answer came last, or when its wait ended
   *   without a change.
   */
  [[nodiscard]] std::optional<core::SteadyTime> current_as_of() const {
    return current_as_of_;
  }

  /** @return True if the view is older than it may be though no call has
   * failed: this process itself is too busy to follow. */
  [[nodiscard]] bool IsLate() const;

  /** @return True from a failed call until the next answer. */
  [[nodiscard]] bool failing() const { return failing_since_.has_value(); }

 private:
  core::Task<> ListAll();
  core::Task<> WatchOnce();
  void TakeChange(external::KvEvent event);
  void NoteFailure(const std::string& what);
  /** @param as_of The answer tells of all changes up to this time. */
  void NoteAnswer(core::SteadyTime as_of);
  void NoteRenewal(core::SteadyTime as_of);
  [[nodiscard]] LapseEnd CurrentLapseEnd() const;

  const FollowOptions options_;
  const std::vector<FollowHooks> hooks_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** Changes after this revision are still to come; nothing: list first. */
  std::optional<std::int64_t> revision_;
  std::optional<core::SteadyTime> last_answer_;
  std::optional<core::SteadyTime> current_as_of_;
  std::optional<core::SteadyTime> failing_since_;
  /** When the newest call began, and the newest one that failed. */
  core::SteadyTime call_began_;
  core::SteadyTime failed_call_began_;
  LapseEnd lapse_end_;
};

}  // namespace sapphire::routing

#endif  // SAPPHIRE_ROUTING_STORE_FOLLOWER_BASE_H_
