/** @file controller_pool_base.h Controls engines that have no endpoint process.
 */
#ifndef SAPPHIRE_ORDERS_CONTROLLER_POOL_BASE_H_
#define SAPPHIRE_ORDERS_CONTROLLER_POOL_BASE_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_holders_base.h"
#include "fleet/engine_registry_base.h"
#include "fleet/peer_table_base.h"
#include "orders/controller_metrics_base.h"
#include "orders/engine_controller_base.h"
#include "orders/engine_leases_base.h"
#include "routing/routing_table_base.h"

namespace sapphire::orders {

struct PoolOptions {
  /** Name of this VM. */
  std::string vm;
  /** "ip:port" of this process's links. */
  std::string address;
  /**
   * An engine is claimed when it has had no holder for this long: its endpoint
   * process takes precedence.
   */
  std::chrono::milliseconds claim_delay{4000};
  /** The same if an entry held it last, as it has no endpoint process then. */
  std::chrono::milliseconds claim_delay_after_entry{500};
  /**
   * The lease of an engine that has not been registered for this long is given
   * back; a crashed engine registers again sooner.
   */
  std::chrono::milliseconds unregistered_timeout{10'000};
  /**
   * Interval between two polls while an order is carried out. Reports from
   * another VM are some hundred milliseconds old, and each is a request to the
   * engine.
   */
  std::chrono::milliseconds busy_poll_interval{150};
  /**
   * How long a release waits for open orders: an order whose response was lost
   * may be carried out for almost as long.
   */
  std::chrono::milliseconds release_timeout{20'000};
};

/**
 * Holds a controller for each engine whose lease this entry holds. Of all
 * entries, only the first by rendezvous hashing claims the lease of an engine
 * without holder. It gives the lease back when the engine's endpoint process
 * asks for it.
 *
 * Used on one thread.
 */
class ControllerPool {
 public:
  /** @pre All references outlive the pool. */
  ControllerPool(PoolOptions options, MakeEnginePort make_port,
                 EngineLeases& leases, const fleet::EngineRegistry& registry,
                 const fleet::EngineHolders& holders,
                 const fleet::PeerTable& peer_table,
                 const routing::ConfigurationHolder& configuration,
                 ControllerMetrics& metrics, const core::Executor& executor,
                 const core::Clock& clock, const core::Logger& log);

  /** Claims and drops engines. Must be called periodically. */
  void Maintain();

  /**
   * @throws core::Error kNotHolder if this entry does not control the engine.
   */
  std::shared_ptr<EngineController> Find(const fleet::InstanceId& instance);

  /** Gives the engine's lease back once no order is open. */
  core::Task<> Release(std::string engine);

  /**
   * Claims no further engines and lets the leases expire. Orders continue until
   * the process ends; the next process on this VM takes the leases over at
   * once, another VM's entry once they have expired.
   */
  void Leave();

 private:
  /** An engine that this entry controls. */
  struct Member {
    Member(std::unique_ptr<EnginePort> engine_port, ControllerOptions options,
           const EngineLeases& leases,
           const routing::ConfigurationHolder& configuration,
           ControllerMetrics& metrics, const core::Clock& clock,
           const core::Logger& log)
        : port(std::move(engine_port)),
          controller(std::move(options), *port, leases, configuration, metrics,
                     clock, log) {}

    const std::unique_ptr<EnginePort> port;
    EngineController controller;
    bool releasing = false;
  };

  void UpdateSeen(const std::map<std::string, core::ServiceId>& engines);
  void DropLostEngines();
  void ClaimVacantEngines(
      const std::map<std::string, core::ServiceId>& engines);
  [[nodiscard]] std::map<std::string, core::ServiceId> OrderableEngines() const;
  [[nodiscard]] bool ShouldClaim(const std::string& engine) const;
  [[nodiscard]] bool IsThisVm(const fleet::EngineHolder& holder) const;
  [[nodiscard]] bool IsPreferredEntry(const std::string& engine) const;
  void StartRelease(const std::string& engine);
  [[nodiscard]] std::shared_ptr<Member> MakeMember(
      const std::string& engine, const core::ServiceId& service) const;

  const PoolOptions options_;
  const MakeEnginePort make_port_;
  EngineLeases& leases_;
  const fleet::EngineRegistry& registry_;
  const fleet::EngineHolders& holders_;
  const fleet::PeerTable& peer_table_;
  const routing::ConfigurationHolder& configuration_;
  ControllerMetrics& metrics_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<std::string, std::shared_ptr<Member>> members_;
  /** When an engine was first and last seen in the registry. */
  struct Seen {
    core::SteadyTime first;
    core::SteadyTime last;
  };
  std::map<std::string, Seen> seen_;
  /**
   * When leases were given back: the deletion of their keys is observed a
   * moment later.
   */
  std::map<std::string, core::SteadyTime> released_at_;
  bool leaving_ = false;
};

}  // namespace sapphire::orders

#endif  // SAPPHIRE_ORDERS_CONTROLLER_POOL_BASE_H_
