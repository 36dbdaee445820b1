/** @file dispatcher_base.h Runs idempotent requests, with retries. */
#ifndef SAPPHIRE_ENTRY_DISPATCHER_BASE_H_
#define SAPPHIRE_ENTRY_DISPATCHER_BASE_H_

#include <mutex>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/answer_sink_base.h"
#include "entry/attempt_func.h"
#include "entry/placer_base.h"
#include "gen/link_types.h"
#include "link/link_base.h"
#include "policy/admission_func.h"

namespace sapphire::entry {

/** Places and dispatches a request, and retries at other endpoints within its
 * deadline and the retry budget. Unlike serving::Dispatcher, it leaves the
 * choice of the endpoint to the placer and reaches it over a link. */
class Dispatcher {
 public:
  /** @pre All references outlive the dispatcher. */
  Dispatcher(Placer& placer, link::LinkNode& links, const core::Clock& clock,
             const core::Logger& log);

  /**
   * Runs `run` and passes its answer to `sink`.
   * @throws core::Error if there is no complete answer; with outcome kNotRun
   *   only if nothing ran.
   * @pre The coroutine runs on a strand.
   */
  core::Task<> Run(gen::Run run, core::SteadyTime deadline, AnswerSink& sink);

 private:
  core::Task<AttemptResult> RunAtPlacement(Placement& place, gen::Run run,
                                           core::SteadyTime deadline,
                                           AnswerSink& sink);
  bool TakeRetryToken();

  Placer& placer_;
  link::LinkNode& links_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::mutex budget_mutex_;
  policy::RetryBudget retry_budget_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_DISPATCHER_BASE_H_
