/** @file engine_holders_base.h Tracks the holder of each engine: the process
 * that holds the engine's lease in the store and sends it orders. */
#ifndef SAPPHIRE_FLEET_ENGINE_HOLDERS_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_HOLDERS_BASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"

namespace sapphire::fleet {

/** A process that holds an engine's lease, and so may send it orders. */
struct EngineHolder {
  std::string vm;
  /** "ip:port" at which it accepts links. */
  std::string address;
  /** Revision of the lease's key in the store. */
  std::int64_t revision = 0;
};

/** The holders of all engines' leases, by the engine's address, "ip:port". Not
 * thread-safe. */
class EngineHolders {
 public:
  /** @pre `clock` and `log` outlive this object. */
  EngineHolders(const core::Clock& clock, const core::Logger& log);

  /** Replaces all holders by those in a full listing of the leases. */
  void ReplaceAll(std::map<std::string, EngineHolder> holders);
  void Put(const std::string& engine, EngineHolder holder);
  void Remove(const std::string& engine);

  /** @return The holder; null if none is known. */
  [[nodiscard]] const EngineHolder* Find(const std::string& engine) const;

  /** @return True if the engine's last known holder was on another VM than the
   * engine. */
  [[nodiscard]] bool WasHeldRemotely(const std::string& engine) const;

  /** @return When the engine was first known to have no holder; nothing if it
   * has one, or if the store has not been read yet. */
  [[nodiscard]] std::optional<core::SteadyTime> UnheldSince(
      const std::string& engine) const;

 private:
  /** A lease that has ended. */
  struct EndedLease {
    core::SteadyTime at;
    bool was_on_same_vm = true;
  };

  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<std::string, EngineHolder> holders_;
  std::map<std::string, EndedLease> ended_;
  /** When the first listing was received from the store. */
  std::optional<core::SteadyTime> first_listing_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_HOLDERS_BASE_H_
