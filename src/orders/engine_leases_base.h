/** @file engine_leases_base.h Keeps this process the only one that orders an
 * engine. */
#ifndef SAPPHIRE_ORDERS_ENGINE_LEASES_BASE_H_
#define SAPPHIRE_ORDERS_ENGINE_LEASES_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
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
  /** This process, as others are told. */
  gen::EngineHolder self;
  /** Longer than outages of the store usually last: without its lease the
   * process gives no orders. */
  std::chrono::milliseconds time_to_live{15'000};
  std::chrono::milliseconds renew_pause{3000};
  std::chrono::milliseconds retry_pause{1000};
  /** No order is sent this long before the lease ends: it may be on its way for
   * as long. */
  std::chrono::milliseconds margin{1500};
  /** Orders of two VMs to one engine have to be this far apart. */
  std::chrono::milliseconds turn_gap{3000};
};

/**
 * The leases of the engines that this process orders: one key an engine, all
 * under one lease of the store. Others may take an engine once its key is gone;
 * this process counts its time from before each renewal was sent, so it stops
 * first. A key's revision is the fencing token of all orders under it.
 *
 * One thread.
 */
class EngineLeases {
 public:
  /** Asks the holder on another VM to give the engine up; returns when it has,
   * or can't be asked. */
  using AskRelease = std::function<core::Task<>(const gen::EngineHolder& holder,
                                                const std::string& engine)>;

  /** @pre All references outlive the leases. */
  EngineLeases(LeaseOptions options, AskRelease ask_release,
               external::KeyValueStore& store, const core::Clock& clock,
               const core::Logger& log);

  /** Takes and renews the leases that are wanted, for as long as the process
   * runs. */
  core::Task<> Run();

  /** One round of Run. @return True if all that is wanted is held. */
  core::Task<bool> KeepOnce();

  /** Lets what is held run out. */
  void StopRenewing() { renewing_ = false; }

  /** Has the engine's lease taken and kept. */
  void Want(const std::string& engine);

  /** Gives the lease back. @pre No order under it is open. */
  core::Task<> Release(std::string engine);

  /** Stops asking for a lease that another process has. */
  void Forget(const std::string& engine);

  /** @return The engines whose leases are wanted here. */
  [[nodiscard]] std::vector<std::string> Wanted() const;

  /** @return True if the lease is held now, whatever its turn. */
  [[nodiscard]] bool Holds(const std::string& engine) const;

  /**
   * @param untouched The engine is known to have accepted no order of another
   *   process, so there is none to keep apart from.
   * @return How long to wait before an order may be sent; 0: now.
   * @throws core::Error kNotHolder if the lease is not held.
   */
  [[nodiscard]] std::chrono::milliseconds TurnLeft(const std::string& engine,
                                                   bool untouched) const;

  /**
   * @return The fencing token of an order that is sent now.
   * @throws core::Error kNotHolder if no order may be sent now.
   */
  [[nodiscard]] std::int64_t Fence(const std::string& engine,
                                   bool untouched) const;

 private:
  struct Held {
    /** Of the lease's key; 0: not held. */
    std::int64_t revision = 0;
    /** Lease of the store that the key was written under. */
    std::string lease;
    /** End of a lease of the store that can't be renewed any more. */
    core::SteadyTime ended_lease_until;
    core::SteadyTime turn;
    /** Another VM was seen to hold it. */
    bool was_others = false;
  };

  core::Task<> KeepStoreLease();
  core::Task<bool> TryClaim(std::string engine);
  core::Task<bool> Claim(std::string engine);
  core::Task<bool> Keep(std::string engine, std::int64_t revision,
                        bool same_vm);
  core::Task<external::CasResult> WriteKey(std::string engine,
                                           std::int64_t expected);
  void NoteHeld(const std::string& engine, std::int64_t revision, bool same_vm);
  void NoteLeaseEnded();
  void NoteFailure(const std::string& failure);
  [[nodiscard]] core::SteadyTime ValidUntil(const Held& held) const;
  [[nodiscard]] const Held& Require(const std::string& engine) const;

  const LeaseOptions options_;
  const AskRelease ask_release_;
  external::KeyValueStore& store_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<std::string, Held> engines_;
  /** Lease of the store; empty: none. */
  std::string lease_;
  /** How long it lasts after each renewal. */
  std::chrono::milliseconds granted_{0};
  core::SteadyTime valid_until_;
  core::Signal wanted_changed_;
  bool failing_ = false;
  bool renewing_ = true;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_ENGINE_LEASES_BASE_H_
