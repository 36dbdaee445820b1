/** @file once_runner_base.h Runs non-idempotent requests at most once. */
#ifndef SAPPHIRE_ENTRY_ONCE_RUNNER_BASE_H_
#define SAPPHIRE_ENTRY_ONCE_RUNNER_BASE_H_

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/answer_sink_base.h"
#include "entry/attempt_func.h"
#include "entry/claim_store_base.h"
#include "entry/placer_base.h"
#include "gen/link_types.h"
#include "link/link_base.h"

namespace sapphire::entry {

struct OnceRunnerOptions {
  core::VmId self;
  /** How long a finished run stays in memory for resends. */
  std::chrono::milliseconds finished_retention{60'000};
  /** How long a lost endpoint is queried whether the request started. */
  std::chrono::milliseconds void_timeout{2000};
};

/** The recorded answer of one run, which any number of callers can follow. */
class Recording;

/**
 * Runs non-idempotent requests as their primary entry. A request is claimed in
 * the key-value service before its dispatch, and is dispatched again only if
 * the endpoint confirms that it never started. The run continues if its caller
 * disconnects: a resend joins it or gets the stored answer.
 */
class OnceRunner {
 public:
  /** @pre All references outlive the runner and its runs. */
  OnceRunner(const core::Executor& executor, OnceRunnerOptions options,
             ClaimStore& claims, Placer& placer, link::LinkNode& links,
             const core::Clock& clock, const core::Logger& log);
  ~OnceRunner();

  OnceRunner(const OnceRunner&) = delete;
  OnceRunner& operator=(const OnceRunner&) = delete;

  /**
   * Runs the request, joins its run, or replays its answer.
   * @throws core::Error if there is no complete answer; with outcome kNotRun
   *   only if the request certainly did not run.
   * @pre The coroutine runs on a strand.
   */
  core::Task<> Run(gen::Run run, core::SteadyTime deadline, AnswerSink& sink);

  /** @return The number of runs in progress in this entry. */
  [[nodiscard]] int in_progress() const;

 private:
  static constexpr std::size_t kShards = 16;
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, std::shared_ptr<Recording>> runs;
  };

  Shard& ShardOf(const std::string& key);
  std::shared_ptr<Recording> JoinOrStart(const std::string& key,
                                         const gen::Run& run,
                                         core::SteadyTime deadline);
  core::Task<> Execute(std::string key, gen::Run run, core::SteadyTime deadline,
                       std::shared_ptr<Recording> recording);
  core::Task<> ClaimAndDispatch(std::string key, gen::Run run,
                                core::SteadyTime deadline,
                                std::shared_ptr<Recording> recording);
  core::Task<> FollowExisting(Claim existing, gen::Run run,
                              core::SteadyTime deadline,
                              std::shared_ptr<Recording> recording);
  core::Task<AttemptResult> DispatchOnce(gen::Run run,
                                         core::SteadyTime deadline,
                                         std::shared_ptr<Recording> recording);
  core::Task<AttemptResult> DispatchTo(std::unique_ptr<Placement> place,
                                       gen::Run run, core::SteadyTime deadline,
                                       std::shared_ptr<Recording> recording);
  core::Task<> ForgetLater(std::string key,
                           std::shared_ptr<Recording> recording);

  const core::Executor executor_;
  const OnceRunnerOptions options_;
  ClaimStore& claims_;
  Placer& placer_;
  link::LinkNode& links_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::array<Shard, kShards> shards_;
  std::atomic<int> in_progress_{0};
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ONCE_RUNNER_BASE_H_
