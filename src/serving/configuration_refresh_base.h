/** @file configuration_refresh_base.h Confirms that the configuration in force
 * is the newest one. */
#ifndef SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_
#define SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_

#include <chrono>
#include <cstddef>
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

/** What this entry knows of the store without asking it. */
struct FollowedState {
  /** Returns the time up to which the configuration's changes are known; no
   * value before the first answer, or while the newest one can't be used. */
  std::function<std::optional<core::SteadyTime>()> as_of;
  /** Returns the revision up to which changes are known; no value while the
   * keys have to be listed. */
  std::function<std::optional<std::int64_t>()> revision;
  /** Returns true while an answer of the store is overdue or coming in: a
   * further call would only delay it. */
  std::function<bool()> awaits_answer;
};

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

  /** @return The latest time of which it is known that the configuration in
   * force was the newest one, if any. */
  [[nodiscard]] std::optional<core::SteadyTime> newest_as_of() const;

 private:
  /** What a read asked the store and was answered, for the log. */
  struct ReadRecord {
    /** "changes" since `after`, or the whole "document". */
    std::string_view asked;
    std::int64_t after = 0;
    /** Revision that the answer names, or that of the document. */
    std::int64_t until = 0;
    std::size_t changes = 0;
  };

  [[nodiscard]] bool IsNewestSince(core::SteadyTime time) const;
  [[nodiscard]] bool MayRead() const;
  void StartRead();
  core::Task<> Read();
  core::Task<> AdoptNewest();
  core::Task<bool> AdoptChanges(std::int64_t revision);
  void AdoptDocument(const external::KvEntry& document);

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
  /** Revision of the newest document that was put into force here, which may be
   * ahead of the follower's. */
  std::int64_t document_revision_ = 0;
  ReadRecord record_;
  core::Signal ended_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CONFIGURATION_REFRESH_BASE_H_
