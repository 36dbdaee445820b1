/** @file replicas_base.h The replicas of a model engine, as others ask for
 * them. */
#ifndef SAPPHIRE_ENDPOINT_REPLICAS_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICAS_BASE_H_

#include <chrono>

#include "endpoint/admission_base.h"
#include "endpoint/replica_worker_base.h"
#include "gen/link_types.h"

namespace sapphire::endpoint {

/** Answers EnsureModel, admits runs and describes what is loaded. */
class Replicas final : public Admission {
 public:
  /** @param keep_alive Of replicas whose caller named none.
   * @pre `worker` outlives this. */
  Replicas(EndpointParts parts, ReplicaWorker& worker,
           std::chrono::milliseconds keep_alive)
      : parts_(parts), worker_(worker), keep_alive_(keep_alive) {}

  /**
   * Has a model, and an adapter if one is named, loaded.
   * @throws core::Error why not; nothing was run.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<> Ensure(gen::EnsureModel wish);

  core::Task<RunSlot> Admit(const gen::Run& run,
                            core::SteadyTime deadline) override;
  void Leave() override;
  void Describe(gen::EndpointReport& report) const override;

 private:
  void CheckOpen() const;
  bool StartOrCheck(const ReplicaPtr& replica, const LoadWish& wish,
                    int failures_before);
  RunSlot TakeSlot(const ReplicaPtr& replica, const gen::Run& run);
  RunSlot TakeAdapterSlot(const ReplicaPtr& replica, RunSlot slot,
                          const core::AdapterId& adapter) const;
  void KeepFor(const ReplicaPtr& replica, std::int64_t keep_alive_ms) const;

  EndpointParts parts_;
  ReplicaWorker& worker_;
  const std::chrono::milliseconds keep_alive_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICAS_BASE_H_
