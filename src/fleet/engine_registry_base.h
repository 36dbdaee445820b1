/** @file engine_registry_base.h Keeps the list of engines from their entries in
 * the store. */
#ifndef SAPPHIRE_FLEET_ENGINE_REGISTRY_BASE_H_
#define SAPPHIRE_FLEET_ENGINE_REGISTRY_BASE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "fleet/engine_type.h"

namespace sapphire::fleet {

struct RegistryOptions {
  /** An instance with an earlier start time than the known one is accepted
   * after this time without a registration of the known one: engines write
   * their registrations to the store about every second, and rewrite one that
   * was overwritten. */
  std::chrono::milliseconds defer_for{2500};
  /** An instance at whose address another one has answered is ignored for this
   * time: the registration of a stopped engine remains for three
   * heartbeats. */
  std::chrono::milliseconds replaced_for{5000};
};

/** Engines that have registered and are not known to be gone. Not thread-safe.
 */
class EngineRegistry {
 public:
  /** @pre `clock` and `log` outlive the registry. */
  EngineRegistry(RegistryOptions options, const core::Clock& clock,
                 const core::Logger& log);

  /**
   * Adds or updates an engine from its registration. An instance with a later
   * start time replaces the known instance of the same engine.
   *
   * A registration with an earlier start time is deferred until the known
   * instance has been silent for `RegistryOptions::defer_for`, as it may have
   * arrived late. Dropping it would lock out an engine whose clock was set
   * back.
   */
  void Put(EngineEntry entry);
  /**
   * Removes an engine from use whose registration can't be parsed or was
   * written by something else, until a valid one replaces it.
   */
  void MarkUnreadable(const EngineId& engine);

  /**
   * Removes an engine whose registration was removed from the store.
   * @param lapse_end Set if the store has just been unavailable, so that the
   *   registration may have expired in the outage. Until then the engine
   *   remains in use, as it may register again.
   */
  void Remove(const EngineId& engine,
              std::optional<core::SteadyTime> lapse_end);

  /** Removes an instance from use after another one has answered at its
   * address. Late registrations of the removed instance are ignored. */
  void MarkReplaced(const InstanceId& instance);

  /** Sets the models that the engine itself reports, for use while its
   * registration can't be read. */
  void UpdateModels(const InstanceId& instance, std::vector<LoadedModel> models,
                    CachedCheckpoints copies);

  /**
   * Applies a listing of all registrations.
   * @param lapse_end As for Remove, for engines that are not in the listing.
   */
  void ReplaceAll(std::vector<EngineEntry> entries,
                  std::optional<core::SteadyTime> lapse_end);

  /** Removes engines that have not registered again in time and accepts
   * deferred registrations that are due. Must be called regularly. */
  void Expire();

  /** @return All engines, including draining ones, by instance. */
  [[nodiscard]] const std::map<InstanceId, EngineEntry>& engines() const {
    return engines_;
  }

  /** @return Number of engines that are kept in use although their
   * registrations are missing from the store. */
  [[nodiscard]] int held() const { return static_cast<int>(missing_.size()); }

  [[nodiscard]] const EngineEntry* Find(const InstanceId& instance) const;

  /** @return The known instance of the engine; empty if there is none. */
  [[nodiscard]] InstanceId KnownInstance(const EngineId& engine) const;

  /** @return Counter of all changes, for readers to detect them. */
  [[nodiscard]] std::int64_t generation() const { return generation_; }

 private:
  /** A deferred registration, with an earlier start time than the known
   * instance. */
  struct DeferredEntry {
    EngineEntry entry;
    core::SteadyTime since;
  };

  void Accept(EngineEntry entry);
  /** Defers a registration with an earlier start time than the `known`
   * instance. */
  void Defer(EngineEntry entry, const InstanceId& known);
  /** Keeps an engine that is missing from the store in use until `gone_at`. */
  void KeepUntil(const InstanceId& instance, core::SteadyTime gone_at);
  void Drop(const InstanceId& instance, std::string_view reason);
  [[nodiscard]] bool IsReplaced(const InstanceId& instance) const;

  const RegistryOptions options_;
  const core::Clock& clock_;
  const core::Logger& log_;
  std::map<InstanceId, EngineEntry> engines_;
  /** When each engine that is missing from the store is to be removed. */
  std::map<InstanceId, core::SteadyTime> missing_;
  std::map<EngineId, InstanceId> known_instances_;
  std::map<EngineId, DeferredEntry> deferred_;
  /** When another instance answered at the address of each of these. */
  std::map<InstanceId, core::SteadyTime> replaced_;
  std::int64_t generation_ = 0;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_REGISTRY_BASE_H_
