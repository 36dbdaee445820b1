/** @file replica_life_base.h State machine of one replica's lifecycle. */
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
  kDraining,   ///< Loaded; finishes its runs, refuses new ones.
  kUnloading,  ///< An unload order may be with the engine.
  kUnknown,    ///< An order's outcome is unknown; counts as loaded.
};

enum class ReplicaEvent {
  kStarted,         ///< A load started; its grant is being taken.
  kFoundLoaded,     ///< The engine holds the model without an order from here.
  kLoadOrdered,     ///< The load order is about to be sent.
  kSeenLoaded,      ///< The engine confirmed, or shows, the model loaded.
  kSeenAbsent,      ///< The engine confirmed, or shows, the model absent.
  kOutcomeLost,     ///< An order's answer didn't arrive.
  kDrainStarted,    ///< The replica must or may be unloaded.
  kDrainCancelled,  ///< It is needed again before the unload was ordered.
  kUnloadOrdered,   ///< The unload order is about to be sent.
  kGrantReleased,   ///< The grant was released.
};

std::string_view NameOf(ReplicaPhase phase);

/** Allows only the valid transitions of a replica. Not thread-safe. */
class ReplicaLife {
 public:
  ReplicaLife();
  ~ReplicaLife();
  ReplicaLife(const ReplicaLife&) = delete;
  ReplicaLife& operator=(const ReplicaLife&) = delete;

  [[nodiscard]] ReplicaPhase phase() const;

  /** @return False, and changes nothing, if the event isn't valid in this
   * phase. */
  bool Apply(ReplicaEvent event);

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_REPLICA_LIFE_BASE_H_
