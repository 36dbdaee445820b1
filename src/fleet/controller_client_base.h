/** @file controller_client_base.h Requests model loads from the processes that
 * control the engines. */
#ifndef SAPPHIRE_FLEET_CONTROLLER_CLIENT_BASE_H_
#define SAPPHIRE_FLEET_CONTROLLER_CLIENT_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_holders_base.h"
#include "fleet/engine_registry_base.h"
#include "link/link_base.h"

namespace sapphire::fleet {

struct ControllerClientOptions {
  /** "ip:port" at which this process accepts links. */
  std::string self;
  /** Port on which endpoint processes listen for links, on the engine's VM. */
  std::uint16_t endpoint_port = 0;
  /** Initial and longest time for which an unreachable process is not contacted
   * again; doubled after each further failure. */
  std::chrono::milliseconds initial_backoff{1000};
  std::chrono::milliseconds max_backoff{8000};
};

/** Requests model loads, and backs off from processes that can't be reached. A
 * link is open only during a request. Not thread-safe. */
class ControllerClient {
 public:
  /** Loads a model at an engine that this process controls itself. */
  using EnsureLocal = std::function<core::Task<>(gen::EnsureModel)>;

  /** @pre All references outlive this object. */
  ControllerClient(ControllerClientOptions options, EnsureLocal ensure_local,
                   link::LinkNode& links, const EngineRegistry& registry,
                   const EngineHolders& holders, const core::Clock& clock,
                   const core::Logger& log);

  /**
   * Requests that a model be loaded; returns once the engine has loaded it.
   * @throws core::Error if the request fails.
   */
  core::Task<> RequestLoad(InstanceId instance, gen::EnsureModel load_request,
                           std::chrono::milliseconds timeout);

  /** @return Remaining time for which the process that controls the engine is
   * not contacted, as it was unreachable; 0 if it may be contacted now. */
  [[nodiscard]] std::chrono::milliseconds UnreachableFor(
      const InstanceId& instance) const;

  /** Removes the backoffs for engines that are gone. */
  void Forget();

 private:
  /** Backoff after failures to reach the process that controls an engine. */
  struct Backoff {
    /** Revision of the holder's lease; 0 if no holder was known. */
    std::int64_t fence = 0;
    std::chrono::milliseconds duration{0};
    core::SteadyTime until;
  };
  /** The process that controls an engine. */
  struct Target {
    std::string engine;
    std::string address;
    std::int64_t fence = 0;
  };

  [[nodiscard]] Target TargetOf(const InstanceId& instance) const;
  core::Task<> SendRequest(Target target, gen::EnsureModel load_request,
                           std::chrono::milliseconds timeout);
  void RecordUnreachable(const Target& target, const std::string& error);

  const ControllerClientOptions options_;
  const EnsureLocal ensure_local_;
  link::LinkNode& links_;
  const EngineRegistry& registry_;
  const EngineHolders& holders_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** By the engine's address. */
  std::map<std::string, Backoff> backoffs_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_CONTROLLER_CLIENT_BASE_H_
