/** @file attempt_func.h One dispatch of a request over a link. */
#ifndef SAPPHIRE_ENTRY_ATTEMPT_FUNC_H_
#define SAPPHIRE_ENTRY_ATTEMPT_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/task_type.h"
#include "entry/answer_sink_base.h"
#include "gen/link_types.h"
#include "link/link_base.h"

namespace sapphire::entry {

/** Outcome of a dispatch. */
enum class AttemptEnd {
  kCompleted,
  kNotStarted,  ///< The peer certainly never started it.
  kCrashed,     ///< The engine crashed while it ran.
  kUnknown,     ///< It may have run or may still be running.
  kSinkClosed,  ///< The receiver of the answer has disconnected.
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kUnknown;
  /** Why it did not complete. */
  std::optional<core::Error> error;
  /** Incarnation of the process it was sent to; 0 if it was not sent. */
  std::int64_t incarnation = 0;
};

/**
 * Sends `run` to the process at `address` and forwards its answer to `sink`.
 * Verifies by sequence numbers and totals that the answer is complete.
 * @pre The coroutine runs on a strand.
 */
core::Task<AttemptResult> RunAttempt(link::LinkNode& links, std::string address,
                                     gen::Run run, core::SteadyTime deadline,
                                     AnswerSink& sink,
                                     const core::Clock& clock);

/**
 * Asks the process that an attempt was sent to whether it started it, and makes
 * it refuse a late copy. Retries until `deadline`.
 * @param incarnation The process it was sent to: a successor at the same
 * address does not know what its predecessor started.
 * @return True only if the attempt certainly never ran and never will.
 */
core::Task<bool> VoidAttempt(link::LinkNode& links, std::string address,
                             std::string attempt_id, std::int64_t incarnation,
                             core::SteadyTime deadline,
                             const core::Clock& clock);

/** @return The time left until `deadline`, never below zero. */
std::chrono::milliseconds Remaining(const core::Clock& clock,
                                    core::SteadyTime deadline);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ATTEMPT_FUNC_H_
