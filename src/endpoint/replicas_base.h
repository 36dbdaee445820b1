/** @file replicas_base.h Load requests and request admission for the replicas
 * of a model engine. */
#ifndef SAPPHIRE_ENDPOINT_REPLICAS_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICAS_BASE_H_

#include <chrono>

#include "endpoint/admission_base.h"
#include "endpoint/replica_worker_base.h"
#include "gen/link_types.h"

namespace sapphire::endpoint {

/** Handles EnsureModel calls, admits runs and reports the loaded replicas. */
class Replicas final : public Admission {
 public:
  /** @param keep_alive Default for calls that set no keep-alive time.
   * @param min_keep_alive Lower bound of keep-alive times set by callers: the
   *   requests that a replica was loaded for are still on their way from the
   *   scheduler when the load ends.
   * @pre `worker` outlives this. */
  Replicas(EndpointParts parts, ReplicaWorker& worker,
           std::chrono::milliseconds keep_alive,
           std::chrono::milliseconds min_keep_alive)
      : parts_(parts),
        worker_(worker),
        keep_alive_(keep_alive),
        min_keep_alive_(min_keep_alive) {}

  /**
   * Returns once a model, and its adapter if one is given, is loaded.
   * @throws core::Error if the load failed; no request was run.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<> Ensure(gen::EnsureModel request);

  core::Task<RunSlot> Admit(const gen::Run& run,
                            core::SteadyTime deadline) override;
  void Leave() override;
  void Describe(gen::EndpointReport& report) const override;

 private:
  void CheckAcceptsWork() const;
  bool StartOrCheck(const ReplicaPtr& replica, const LoadRequest& request,
                    int failures_before);
  RunSlot TakeSlot(const ReplicaPtr& replica, const gen::Run& run);
  RunSlot TakeAdapterSlot(const ReplicaPtr& replica, RunSlot slot,
                          const core::AdapterId& adapter) const;
  void ApplyKeepAlive(const ReplicaPtr& replica, core::Millis wanted) const;
  /** @return How long an idle replica stays loaded.
   * @param wanted Negative for this endpoint's setting. */
  [[nodiscard]] core::Millis KeepAliveFor(core::Millis wanted) const;

  EndpointParts parts_;
  ReplicaWorker& worker_;
  const std::chrono::milliseconds keep_alive_;
  const std::chrono::milliseconds min_keep_alive_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICAS_BASE_H_
