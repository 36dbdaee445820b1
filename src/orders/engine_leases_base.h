/** @file engine_leases_base.h Leases that let only one process at a time give
 * orders to an engine. */
#ifndef SAPPHIRE_ORDERS_ENGINE_LEASES_BASE_H_
#define SAPPHIRE_ORDERS_ENGINE_LEASES_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "external/key_value_base.h"
#include "gen/link_types.h"

namespace sapphire::orders {

struct LeaseOptions {
  /** How this process identifies itself to others. */
  gen::EngineHolder self;
  /**
   * Longer than outages of the store usually last: without its lease the
   * process gives no orders.
   */
  std::chrono::milliseconds time_to_live{15'000};
  std::chrono::milliseconds renew_pause{3000};
  std::chrono::milliseconds retry_pause{1000};
  /**
   * No order is sent this long before the lease ends, as an order may take as
   * long to arrive.
   */
  std::chrono::milliseconds margin{1500};
  /** Minimum time between orders of two VMs to one engine. */
  std::chrono::milliseconds handover_gap{3000};
};

/**
 * The leases of the engines that this process controls: one key per engine, all
 * under one lease of the store. Another process may claim an engine once its
 * key no longer exists. This process counts the lease time from before each
 * renewal was sent, so it stops giving orders before the key is deleted. The
 * revision at which a key is claimed is the fencing token of all orders under
 * that claim.
 *
 * Whoever creates a key waits for the handover gap before its first order, and
 * then writes to the key that the handover is complete. Only by this does
 * another process of the same VM know that it need not wait: the process that
 * wrote the key may have ended before its own wait was over.
 *
 * Used on one thread.
 */
class EngineLeases {
 public:
  /**
   * Asks the holder on another VM to release the engine; completes when the
   * engine is released or the holder cannot be reached.
   */
  using RequestRelease = std::function<core::Task<>(
      const gen::EngineHolder& holder, const std::string& engine)>;

  /** @pre All references outlive the leases. */
  EngineLeases(LeaseOptions options, RequestRelease request_release,
               external::KeyValueStore& store, const core::Clock& clock,
               const core::Logger& log);

  /** Claims and renews the requested leases for as long as the process runs. */
  core::Task<> Run();

  /**
   * Runs one round of Run.
   * @return True if all requested leases are held and no released key is left.
   */
  core::Task<bool> RenewOnce();

  /** Stops all renewals, so that the held leases expire. */
  void StopRenewing() { renewing_ = false; }

  /** Requests the engine's lease, which Run then claims and renews. */
  void RequestLease(const std::string& engine);

  /**
   * Gives the lease back, or a key that an earlier process of this VM has left.
   * If the store doesn't answer, Run goes on deleting the key.
   * @pre No order under the lease is open.
   */
  core::Task<> Release(std::string engine);

  /** Stops requesting a lease that another process holds. */
  void CancelRequest(const std::string& engine);

  /** @return The engines whose leases are requested. */
  [[nodiscard]] std::vector<std::string> RequestedEngines() const;

  /** @return True if the lease is held now, even if HandoverDelay is not yet 0.
   */
  [[nodiscard]] bool Holds(const std::string& engine) const;

  /** @return When the lease that is held was claimed; the end of time if it is
   * not held. */
  [[nodiscard]] core::SteadyTime HeldSince(const std::string& engine) const;

  /**
   * @param no_foreign_orders The engine is known to have accepted no order of
   * another process, so no time between orders has to be kept.
   * @return How long to wait before an order may be sent; 0: it may be sent
   *   now.
   * @throws core::Error kNotHolder if the lease is not held.
   */
  [[nodiscard]] std::chrono::milliseconds HandoverDelay(
      const std::string& engine, bool no_foreign_orders) const;

  /**
   * @return The fencing token of an order that is sent now.
   * @throws core::Error kNotHolder if no order may be sent now.
   */
  [[nodiscard]] std::int64_t FencingToken(const std::string& engine,
                                          bool no_foreign_orders) const;

 private:
  struct LeaseState {
    /** Revision of the engine's key; 0: not held. */
    std::int64_t revision = 0;
    /**
     * Fencing token of all orders: the revision at which the key was claimed.
     * It stays while the key is rewritten, as orders with it are under way.
     */
    std::int64_t fence = 0;
    /** Lease of the store under which the key was written. */
    std::string lease;
    /** When the store lease ends, if it can no longer be renewed. */
    core::SteadyTime ended_lease_until;
    /** When this process claimed the key, without a break since. */
    core::SteadyTime held_since;
    core::SteadyTime orders_allowed_from;
    /** The key says that the handover is complete. */
    bool handover_recorded = false;
    /** Another VM has been seen to hold the lease. */
    bool was_held_elsewhere = false;
  };
  /** The key that a claim replaced. */
  struct PreviousKey {
    gen::EngineHolder holder;
    std::int64_t revision = 0;
  };

  core::Task<> RenewStoreLease();
  core::Task<bool> TryClaim(std::string engine);
  core::Task<bool> Claim(std::string engine);
  core::Task<bool> CompleteClaim(std::string engine, std::int64_t revision,
                                 std::optional<PreviousKey> replaced);
  core::Task<bool> DeleteReleasedKeys();
  core::Task<bool> TryDeleteKey(std::string engine);
  core::Task<bool> DeleteKey(std::string engine);
  core::Task<external::CasResult> WriteKey(std::string engine,
                                           std::int64_t expected,
                                           bool handover_complete);
  core::Task<> RecordHandovers();
  [[nodiscard]] bool MustRecordHandover(const std::string& engine) const;
  core::Task<> RecordHandover(std::string engine);
  void RecordHeld(const std::string& engine, std::int64_t revision,
                  const std::optional<PreviousKey>& replaced);
  void RecordLeaseEnd();
  void LogFailureChange(const std::string& failure);
  [[nodiscard]] core::SteadyTime ValidUntil(const LeaseState& held) const;
  [[nodiscard]] const LeaseState& RequireHeld(const std::string& engine) const;

  const LeaseOptions options_;
  const RequestRelease request_release_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<std::string, LeaseState> engines_;
  /** Engines whose lease was given back and whose key may still exist. */
  std::set<std::string> released_;
  /** Lease of the store; empty: none. */
  std::string lease_;
  /** Duration of the store lease after each renewal. */
  std::chrono::milliseconds granted_duration_{0};
  core::SteadyTime valid_until_;
  core::Signal requests_changed_;
  bool failing_ = false;
  bool renewing_ = true;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENGINE_LEASES_BASE_H_
