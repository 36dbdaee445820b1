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

/** How a dispatch ended. */
enum class AttemptEnd {
  kCompleted,
  kNotStarted,  ///< Certain: the other side never started it.
  kCrashed,     ///< The engine died while it ran.
  kUnknown,     ///< It may have run, or may still run.
  kSinkGone,    ///< Whoever wanted the answer has left.
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kUnknown;
  /** Why it did not complete. */
  std::optional<core::Error> error;
  /** The process it was sent to, 0 if it was not sent. */
  std::int64_t incarnation = 0;
};

/**
 * Sends `run` to the process at `address` and passes its answer on. Proves by
 * sequence numbers and totals that the answer is whole.
 * @pre The coroutine runs on a strand.
 */
core::Task<AttemptResult> RunAttempt(link::LinkNode& links, std::string address,
                                     gen::Run run, core::SteadyTime deadline,
                                     AnswerSink& sink,
                                     const core::Clock& clock);

/**
 * Asks the process that an attempt was sent to whether it ever started, and
 * has it refuse a late copy. Tries until `deadline`.
 * @param incarnation The process it was sent to: another one at the same
 *   address knows nothing of what its predecessor started.
 * @return True only if it is certain that the attempt never ran and never will.
 */
core::Task<bool> VoidAttempt(link::LinkNode& links, std::string address,
                             std::string attempt_id, std::int64_t incarnation,
                             core::SteadyTime deadline,
                             const core::Clock& clock);

/** @return What is left until `deadline`, never below zero. */
std::chrono::milliseconds Remaining(const core::Clock& clock,
                                    core::SteadyTime deadline);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ATTEMPT_FUNC_H_
