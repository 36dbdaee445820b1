/** @file order_calls_base.h Asks the processes that order engines for loads. */
#ifndef SAPPHIRE_FLEET_ORDER_CALLS_BASE_H_
#define SAPPHIRE_FLEET_ORDER_CALLS_BASE_H_

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

struct OrderCallOptions {
  /** "ip:port" of this process's own links. */
  std::string self;
  /** Port on which endpoint processes listen for links, on the engine's VM. */
  std::uint16_t endpoint_port = 0;
  /** A process that can't be reached is left alone for the first time, and
   * twice as long after each further failure, up to the last. */
  std::chrono::milliseconds first_pause{1000};
  std::chrono::milliseconds last_pause{8000};
};

/** One thread. A link is up only while something is asked on it. */
class OrderCalls {
 public:
  /** Has a model loaded at an engine that this process orders itself. */
  using EnsureHere = std::function<core::Task<>(gen::EnsureModel)>;

  /** @pre All references outlive it. */
  OrderCalls(OrderCallOptions options, EnsureHere ensure_here,
             link::LinkNode& links, const EngineRegistry& registry,
             const EngineHolders& holders, const core::Clock& clock,
             const core::Logger& log);

  /**
   * Has a model loaded; returns once the engine holds it.
   * @throws core::Error
   */
  core::Task<> Ensure(InstanceId instance, gen::EnsureModel load_request,
                      std::chrono::milliseconds timeout);

  /** @return Until whoever orders the engine is worth asking: it could not be
   * reached a moment ago; 0: now. */
  [[nodiscard]] std::chrono::milliseconds UnreachableFor(
      const InstanceId& instance) const;

  /** Drops what is known of engines that are gone. */
  void Forget();

 private:
  /** Failures to reach who orders an engine. */
  struct Failures {
    /** Of the holder's lease; 0: none was known. */
    std::int64_t fence = 0;
    std::chrono::milliseconds pause{0};
    core::SteadyTime until;
  };
  /** Who orders an engine. */
  struct Target {
    std::string engine;
    std::string address;
    std::int64_t fence = 0;
  };

  [[nodiscard]] Target TargetOf(const InstanceId& instance) const;
  core::Task<> Ask(Target target, gen::EnsureModel load_request,
                   std::chrono::milliseconds timeout);
  void NoteUnreachable(const Target& target, const std::string& error);

  const OrderCallOptions options_;
  const EnsureHere ensure_here_;
  link::LinkNode& links_;
  const EngineRegistry& registry_;
  const EngineHolders& holders_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** By engine. */
  std::map<std::string, Failures> failures_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ORDER_CALLS_BASE_H_
