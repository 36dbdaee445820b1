/** @file replica_life_base.h The life of one replica as a state machine. */
#ifndef SAPPHIRE_ENDPOINT_REPLICA_LIFE_BASE_H_
#define SAPPHIRE_ENDPOINT_REPLICA_LIFE_BASE_H_

#include <memory>
#include <string_view>

namespace sapphire::endpoint {

enum class ReplicaPhase {
  kAbsent,     ///< No grant, nothing loaded.
  kGranted,    ///< A grant is held or being taken; nothing is loaded.
  kLoading,    ///< A load order may be with the engine.
  kReady,      ///< Loaded; serves requests.
  kDraining,   ///< Loaded; finishes what runs, takes no new work.
  kUnloading,  ///< An unload order may be with the engine.
  kUnknown,    ///< An order's outcome is unknown: counts as loaded.
};

enum class ReplicaEvent {
  kWanted,           ///< A grant is being taken.
  kFoundLoaded,      ///< The engine shows the model, nobody here ordered it.
  kLoadOrdered,      ///< The load order is about to be sent.
  kShownLoaded,      ///< The engine confirmed, or shows, the model loaded.
  kShownAbsent,      ///< The engine confirmed, or shows, that it isn't held.
  kOutcomeLost,      ///< An order's answer didn't arrive.
  kDrainStarted,     ///< It has to go, or may go.
  kDrainCalledOff,   ///< It is wanted again before the unload was ordered.
  kUnloadOrdered,    ///< The unload order is about to be sent.
  kGrantHandedBack,  ///< The grant went back to the ledger.
};

std::string_view NameOf(ReplicaPhase phase);

/** The transitions that a replica may take. Not safe on several threads. */
class ReplicaLife {
 public:
  ReplicaLife();
  ~ReplicaLife();
  ReplicaLife(const ReplicaLife&) = delete;
  ReplicaLife& operator=(const ReplicaLife&) = delete;

  [[nodiscard]] ReplicaPhase phase() const;

  /** @return False, and nothing changes, if the event has no place in this
   * phase. */
  bool Apply(ReplicaEvent event);

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_LIFE_BASE_H_
