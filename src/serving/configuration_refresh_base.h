/** @file configuration_refresh_base.h Confirms that the configuration in force
 * is the newest one. */
#ifndef SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_
#define SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"
#include "routing/routing_table_base.h"
#include "routing/store_follower_base.h"

namespace sapphire::serving {

struct RefreshOptions {
  /** Store key of the newest configuration. */
  std::string key;
  /** How long before a request the configuration may have been the newest.
   * Callers with unknown keys and paths cause one read in this time at most. */
  std::chrono::milliseconds max_age{1000};
  /** How long a request waits for a read. */
  std::chrono::milliseconds limit{500};
};

/**
 * What this entry knows of the store without asking it. A watch is no evidence
 * that a configuration is the newest one: nothing in its answer tells that a
 * change was left out.
 */
struct FollowedState {
  /** Returns the start of the latest listing, which told of the newest
   * configuration; no value before the first one, or while the newest
   * configuration can't be used. */
  std::function<std::optional<core::SteadyTime>()> as_of;
  /** Returns the store's revision of the configuration in force; no value
   * before the first one, or while the newest one can't be used. */
  std::function<std::optional<std::int64_t>()> revision;
  /** Returns true while an answer of the store is overdue or coming in: a
   * further call would only delay it. */
  std::function<bool()> awaits_answer;
};

/** @pre Both references outlive the result. */
FollowedState MakeFollowedState(const routing::ConfigurationHolder& holder,
                                const routing::StoreFollower& follower);

/** Runs one read at a time, shared by all requests that wait for it. Not
 * thread-safe. */
class ConfigurationRefresh {
 public:
  /** Puts the document into force if it is newer. @return False if it can't be
   * used. */
  using Adopt = std::function<bool(const external::KvEntry& document)>;

  /** @pre All references outlive it. */
  ConfigurationRefresh(RefreshOptions options, FollowedState followed,
                       external::KeyValueStore& store, Adopt adopt,
                       const core::Executor& executor, const core::Clock& clock,
                       const core::Logger& log);

  /**
   * Makes sure that the configuration in force was the newest one at a time
   * shortly before `asked`, or later; reads the store if that is not known.
   * @return False if the store does not tell: a newer one may be in force.
   */
  core::Task<bool> Confirm(core::SteadyTime asked);

  /** @return True if Confirm would need no read. */
  [[nodiscard]] bool IsConfirmed(core::SteadyTime asked) const {
    return IsNewestSince(asked - options_.max_age);
  }

  /** @return The latest time of which it is known that the configuration in
   * force was the newest one, if any. */
  [[nodiscard]] std::optional<core::SteadyTime> newest_as_of() const;

 private:
  /** What a read asked the store and was answered, for the log. */
  struct ReadRecord {
    /** Whether the "revision" in force is the newest, or the "document". */
    std::string_view asked;
    std::int64_t in_force = 0;
    /** Revision of the newest document; 0 if the store did not tell. */
    std::int64_t newest = 0;
  };

  [[nodiscard]] bool IsNewestSince(core::SteadyTime time) const;
  [[nodiscard]] bool MayRead() const;
  void StartRead();
  core::Task<> Read();
  core::Task<> AdoptNewest();
  core::Task<std::optional<external::KvEntry>> FindNewer();

  const RefreshOptions options_;
  const FollowedState followed_;
  external::KeyValueStore& store_;
  const Adopt adopt_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  bool reading_ = false;
  /** Start of the latest read that told of the newest configuration, and end of
   * the latest one that did not. */
  std::optional<core::SteadyTime> read_as_of_;
  std::optional<core::SteadyTime> failed_;
  ReadRecord record_;
  core::Signal ended_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_
