/** @file head_check_base.h Confirms that the configuration in force is the
 * newest one. */
#ifndef SAPPHIRE_ENTRY_HEAD_CHECK_BASE_H_
#define SAPPHIRE_ENTRY_HEAD_CHECK_BASE_H_

#include <chrono>
#include <mutex>
#include <optional>

#include "contract/part_cache_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"

namespace sapphire::entry {

struct HeadCheckOptions {
  /** How long before a request the configuration may have been the newest.
   * Callers that ask for unknown names cause one read in this time at most. */
  std::chrono::milliseconds max_age{1000};
  /** How long a request waits for a read. */
  std::chrono::milliseconds limit{500};
};

/** Runs one read of `config/head` at a time, shared by all requests that wait
 * for it. Thread-safe. */
class HeadCheck {
 public:
  /** @pre All references outlive the check's last coroutine. */
  HeadCheck(const core::Executor& executor, HeadCheckOptions options,
            external::KeyValueStore& store, contract::ConfigHolder& holder,
            contract::PartCache& parts, const core::Clock& clock,
            const core::Logger& log);

  /**
   * Makes sure that the configuration in force was the newest one at a time
   * shortly before `asked`, or later; reads the store if that is not known.
   * @return False if the store does not tell: a newer one may be in force.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<bool> Confirm(core::SteadyTime asked);

 private:
  /** What a request that needs evidence does next. */
  enum class Step { kConfirmed, kWait, kGiveUp };

  Step NextStep(core::SteadyTime since);
  core::Task<> Read();
  core::Task<> AdoptNewest();

  const core::Executor executor_;
  const HeadCheckOptions options_;
  external::KeyValueStore& store_;
  contract::ConfigHolder& holder_;
  contract::PartCache& parts_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::mutex mutex_;
  bool reading_ = false;
  /** Start of the latest read that told of the newest configuration, and end of
   * the latest one that did not. */
  std::optional<core::SteadyTime> read_as_of_;
  std::optional<core::SteadyTime> failed_;
  core::Signal ended_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_HEAD_CHECK_BASE_H_
