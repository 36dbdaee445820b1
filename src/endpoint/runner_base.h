/** @file runner_base.h Runs callers' requests at the engine. */
#ifndef SAPPHIRE_ENDPOINT_RUNNER_BASE_H_
#define SAPPHIRE_ENDPOINT_RUNNER_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "endpoint/admission_base.h"
#include "endpoint/attempt_table_base.h"
#include "endpoint/engine_status_poller_base.h"
#include "endpoint/metrics_base.h"
#include "external/engine_base.h"
#include "gen/link_types.h"
#include "link/link_base.h"

namespace sapphire::endpoint {

/** Admits each request, sends it to the engine once and streams the answer
 * back. */
class Runner {
 public:
  /** @param status_poller Null for a plain service.
   * @pre All references outlive the runner. */
  Runner(external::Engine& engine, EngineStatusPoller* status_poller,
         Admission& admission, AttemptTable& attempts, const core::Clock& clock,
         const core::Logger& log, Metrics& metrics);

  /**
   * Answers a Run call.
   * @throws core::Error if the request is refused or the answer is incomplete.
   */
  core::Task<> Serve(std::shared_ptr<link::Call> call, gen::Run run);

 private:
  /** State of one request. */
  struct RunState {
    std::shared_ptr<link::Call> call;
    gen::Run run;
    core::SteadyTime deadline;
    /** Incarnation of the engine when the request was sent. */
    std::int64_t engine_incarnation = 0;
    /** True if the request may have reached the engine. */
    bool started = false;
    bool head_sent = false;
    std::int64_t chunks = 0;
    std::int64_t bytes = 0;
    std::optional<core::Error> error;
  };
  using RunStatePtr = std::shared_ptr<RunState>;

  core::Task<> ForwardAndStoreError(RunStatePtr state);
  core::Task<> Forward(RunStatePtr state);
  core::Task<std::unique_ptr<http::ResponseStream>> OpenAtEngine(
      RunStatePtr state);
  core::Task<> Stream(RunStatePtr state, http::ResponseStream& answer);
  core::Task<> WatchCaller(RunStatePtr state);
  core::Task<core::ErrorCode> DiagnoseFailure(RunStatePtr state,
                                              bool timed_out);
  void LogOutcome(const RunState& state) const;
  [[nodiscard]] std::chrono::milliseconds RemainingTime(
      const RunState& state) const;

  external::Engine& engine_;
  EngineStatusPoller* const status_poller_;
  Admission& admission_;
  AttemptTable& attempts_;
  const core::Clock& clock_;
  const core::Logger& log_;
  Metrics& metrics_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_RUNNER_BASE_H_
