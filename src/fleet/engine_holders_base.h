/** @file engine_holders_base.h Which process may give each engine orders, by
 * the leases in the store. */
#ifndef SAPPHIRE_FLEET_ENGINE_HOLDERS_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_HOLDERS_BASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"

namespace sapphire::fleet {

/** A process that holds an engine's lease. */
struct EngineHolder {
  std::string vm;
  /** "ip:port" of its links. */
  std::string address;
  /** Of the lease's key in the store. */
  std::int64_t revision = 0;
};

/** Engines are named by their address, "ip:port". One thread. */
class EngineHolders {
 public:
  /** @pre `clock` and `log` outlive it. */
  EngineHolders(const core::Clock& clock, const core::Logger& log);

  /** These are all leases there are. */
  void ReplaceAll(std::map<std::string, EngineHolder> holders);
  void Put(const std::string& engine, EngineHolder holder);
  void Remove(const std::string& engine);

  /** @return The holder; nothing if none is known. */
  [[nodiscard]] const EngineHolder* Find(const std::string& engine) const;

  /** @return True if the engine's last known holder was on another VM than the
   * engine. */
  [[nodiscard]] bool WasOrderedByEntry(const std::string& engine) const;

  /** @return Since when the engine is known to have no holder; nothing if it
   * has one, or before the store was read. */
  [[nodiscard]] std::optional<core::SteadyTime> VacantSince(
      const std::string& engine) const;

 private:
  /** A lease that has ended. */
  struct Ended {
    core::SteadyTime at;
    bool was_beside = true;
  };

  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<std::string, EngineHolder> holders_;
  std::map<std::string, Ended> ended_;
  /** When the store was first read. */
  std::optional<core::SteadyTime> first_listing_;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_HOLDERS_BASE_H_
