/** @file crash_watch_base.h Refuses requests that crash engines. */
#ifndef SAPPHIRE_SERVING_CRASH_WATCH_BASE_H_
#define SAPPHIRE_SERVING_CRASH_WATCH_BASE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "crash/evidence_sharing_base.h"
#include "crash/evidence_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_type.h"
#include "routing/store_follower_base.h"
#include "serving/caller_type.h"
#include "serving/exchange_base.h"

namespace sapphire::serving {

/** @return What the request may have in common with others that crash engines:
 * itself, which its caller may repeat, and the parts of its prompt but the
 * last, which belongs to the request alone. */
std::vector<crash::Trait> TraitsOf(const CallerRequest& request);

/** One send that is watched for a crash of its engine. */
struct WatchedSend {
  std::vector<crash::Trait> traits;
  core::RequestId request;
  core::ModelId model;
  fleet::InstanceId instance;
  /** "ip:port" of the engine. */
  std::string address;
  /** When the engine began to answer this send, if it did. */
  std::optional<core::SteadyTime> first_byte;
  /** Suspected traits, which no other send of this entry has meanwhile. */
  std::vector<crash::Trait> held;
};

/** A request whose send is considered. */
struct CandidateSend {
  core::RequestId request;
  std::vector<crash::Trait> traits;
  /** True if an engine may already have run it. */
  bool may_have_run = false;
};

/**
 * Refuses requests that crash engines, whichever entries sent them.
 *
 * A send whose connection ends before its answer has arrived for a while makes
 * the engine suspect of a crash; the crash is confirmed if the engine then
 * refuses connections. crash::Assess decides which requests may be the cause.
 * Not thread-safe.
 */
class CrashWatch {
 public:
  /**
   * @param entry Key of this entry's own presence.
   * @pre All references outlive the watch and its tasks.
   */
  CrashWatch(const std::string& entry, const crash::SharingDependencies& parts,
             fleet::EngineLoads& loads);

  /** Starts sharing crashes with other entries. */
  void Start();

  /** @return Hooks for the store follower, which apply what other entries have
   * written. @pre This object outlives them. */
  [[nodiscard]] routing::FollowHooks Hooks();

  void OnDatagram(const gen::CrashEvidence& message) {
    sharing_.OnDatagram(message);
  }

  /** Refuses a request that can't be sent for longer than requests are made to
   * wait. @throws core::Error kQuarantined, or kOutcomeUnknown if it may have
   * run */
  void Check(const CandidateSend& candidate) const;

  /** Waits until the request may be sent: until its engine's crash is confirmed
   * or not, and until a trial of a suspected trait has ended.
   * @throws core::Error as Check. */
  core::Task<> AwaitTurn(CandidateSend candidate, milliseconds max_wait);

  /** @return True if the request may be sent now. */
  [[nodiscard]] bool MaySend(const CandidateSend& candidate) const;

  /** @return True if a trait of the request is suspected. */
  [[nodiscard]] bool IsSuspect(const CandidateSend& candidate) const;

  /** Registers a send. */
  void Begin(WatchedSend& send);

  /** Registers a part of the engine's answer. */
  void RecordAnswerPart(WatchedSend& send);

  /** Registers the end of a send. */
  void End(WatchedSend& send, const ExchangeResult& result);

  /** @return The suspected traits, one per line, for operators. */
  [[nodiscard]] std::string Describe() const;

  /** @return Number of crashes that are kept as evidence. */
  [[nodiscard]] std::size_t crashes() const {
    return sharing_.evidence().crashes.size();
  }

 private:
  /** Why a request may not be sent now. */
  struct Obstacle {
    /** Another request with one of the traits is in trial, or the engine of
     * this one is being probed. */
    bool is_in_trial = false;
    crash::Assessment assessment;
  };

  [[nodiscard]] std::optional<Obstacle> FindObstacle(
      const CandidateSend& candidate) const;
  [[nodiscard]] bool IsHeld(const crash::Trait& trait) const;
  [[noreturn]] void Refuse(const CandidateSend& candidate,
                           const Obstacle& obstacle) const;
  [[nodiscard]] bool IsSuspicious(const WatchedSend& send,
                                  const ExchangeResult& result) const;
  [[nodiscard]] bool HasOutlivedCrash(const WatchedSend& send) const;
  core::Task<> ProbeEngine(WatchedSend send);
  void RecordCrash(const WatchedSend& send);
  void RecordSurvival(const WatchedSend& send);
  void Hold(std::vector<crash::Trait> traits, WatchedSend& send);
  void Release(WatchedSend& send);

  crash::EvidenceSharing sharing_;
  fleet::EngineLoads& loads_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** Traits of the sends in trial and of engines that are being probed. */
  std::map<crash::Trait, int> held_;
  /** Requests whose engines are being probed. */
  std::map<core::RequestId, int> probed_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_CRASH_WATCH_BASE_H_
