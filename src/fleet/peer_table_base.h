/** @file peer_table_base.h Tracks the other entries and their reported
 * use of the engines. */
#ifndef SAPPHIRE_FLEET_PEER_TABLE_BASE_H_
#define SAPPHIRE_FLEET_PEER_TABLE_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "fleet/engine_loads_base.h"
#include "fleet/instance_type.h"
#include "fleet/model_usage_base.h"
#include "gen/link_types.h"

namespace sapphire::fleet {

/** Interval at which an entry sends its record to the next of its peers. */
inline constexpr std::chrono::milliseconds kRecordInterval{50};

/** A load in progress, as reported by the entry that requested it. */
struct ComingLoad {
  InstanceId instance;
  core::ModelId model;
  core::SteadyTime ready;
  bool from_weight_store = false;
};

/** Another entry that is believed to be running. */
struct Peer {
  /** Key of its presence in the store. */
  std::string entry;
  std::string vm;
  /** "ip:port" at which it receives datagrams. */
  std::string address;
  core::SteadyTime known_since;
  /** When a datagram was last received from it. */
  std::optional<core::SteadyTime> last_received;
};

/**
 * The other entries, from their presences in the store, and the sum of their
 * last reported use of each engine. This entry's own current use is added. Not
 * thread-safe.
 */
class PeerTable {
 public:
  /**
   * @param self Key of this entry's own presence.
   * @pre All references outlive the peer table.
   */
  PeerTable(std::string self, const EngineLoads& loads,
            const core::Clock& clock, const core::Logger& log);

  /** Replaces all entries by those listed in the store, by the keys of their
   * presences. */
  void SetEntries(const std::map<std::string, gen::EntryPresence>& entries);
  void PutEntry(const std::string& entry, const gen::EntryPresence& presence);
  /** Records that a datagram was received from the entry. */
  void RecordDatagram(const std::string& entry);
  /** Removes an entry, its requests in progress and its loads. */
  void RemoveEntry(const std::string& entry);

  /** Applies a record from a known entry; ignores a record that is older than
   * the last one, or whose sender is unknown. */
  void ApplyRecord(const gen::EntryRecord& record);

  /** Replaces the loads that this entry has requested and still waits for. */
  void SetOwnLoads(std::vector<ComingLoad> loads);

  /** Removes the requests in progress and loads of entries that have been
   * silent for long, and unused engines that are not in `alive`. */
  void Forget(const std::set<InstanceId>& alive);

  /** @return Number of entries, including this one and recently removed ones,
   * among which the retry budget is divided, and by which this entry's demand
   * is extrapolated to the fleet. */
  [[nodiscard]] int entries() const;

  /** @return Greatest expected age of another entry's record, which is the
   * interval at which each of them sends one here. */
  [[nodiscard]] std::chrono::milliseconds Age() const {
    return static_cast<int>(entries_.size()) * kRecordInterval;
  }

  /**
   * @return The other entries, one per VM, sorted by key. An entry whose
   * presence has expired is included while it sends datagrams, as leases expire
   * in a store outage.
   */
  [[nodiscard]] std::vector<Peer> Peers() const;

  /** @return Counter of added and removed entries. */
  [[nodiscard]] std::int64_t generation() const { return generation_; }

  /** @return Number of VMs, including this one, with an entry that is running
   * or was recently removed. */
  [[nodiscard]] int RecentVmCount() const;

  /** @return When a datagram was last received from the entry; nothing if
   * never. */
  [[nodiscard]] std::optional<core::SteadyTime> LastReceivedFrom(
      const std::string& entry) const;

  /** @return When a datagram was last received from any entry; nothing if
   * never. */
  [[nodiscard]] std::optional<core::SteadyTime> last_received() const {
    return last_received_;
  }

  /** @return Datagram addresses of the other entries, in a fixed order. */
  [[nodiscard]] std::vector<std::string> Addresses() const;

  /** @return Number of requests in progress at the engine, of all entries. */
  [[nodiscard]] int Running(const InstanceId& instance) const;

  [[nodiscard]] Usage UsageOf(const InstanceId& instance,
                              const ModelOrAdapter& part) const;

  /** @return Expected time until the loads in progress at the engine end, so
   * that it accepts the next order. */
  [[nodiscard]] std::chrono::milliseconds RemainingLoadTime(
      const InstanceId& instance) const;

  /** @return Loads in progress at this engine, of all entries. */
  [[nodiscard]] std::vector<ComingLoad> LoadsAt(
      const InstanceId& instance) const;

  /** @return Loads in progress of the model at all engines, of all entries. */
  [[nodiscard]] std::vector<ComingLoad> LoadsOf(
      const core::ModelId& model) const;

  /** @return Counter of changes of this entry's own loads. */
  [[nodiscard]] std::int64_t loads_generation() const {
    return loads_generation_;
  }

  /** @return Longest time that the other entries' latest loads from the weight
   * store took; 0 if none ended recently. Concurrent loads take longer. */
  [[nodiscard]] std::chrono::milliseconds StoreLoadTime() const;

 private:
  using EnginePart = std::pair<InstanceId, ModelOrAdapter>;
  /** Contribution of one entry to the use of a model or adapter. */
  struct Contribution {
    int running = 0;
    double demand = 0;
    core::SteadyTime at;
  };
  struct EntryState {
    gen::EntryPresence presence;
    std::int64_t number = 0;
    std::map<EnginePart, Contribution> contributions;
    std::chrono::milliseconds store_load{0};
    core::SteadyTime known_since;
    /** When a datagram was last received from it. */
    std::optional<core::SteadyTime> last_received;
  };
  /** An entry whose presence was removed. */
  struct GoneEntry {
    core::SteadyTime at;
    Peer peer;
  };

  void ApplyUses(const gen::EntryRecord& record, EntryState& state);
  void ApplyLoads(const gen::EntryRecord& record);
  void SetContribution(EntryState& state, const EnginePart& part,
                       const Usage& usage);
  void ClearRunning(EntryState& state);
  void EraseLoads(const std::string& entry);
  [[nodiscard]] bool IsStillActive(const GoneEntry& gone) const;
  static Peer PeerOf(const std::string& entry, const EntryState& state);
  ModelUsage& UsageAt(const InstanceId& instance);

  const std::string self_;
  const EngineLoads& loads_;
  const core::Clock& clock_;
  const core::Logger& log_;
  const core::SteadyTime began_;
  std::map<std::string, EntryState> entries_;
  std::map<std::string, GoneEntry> gone_;
  std::optional<core::SteadyTime> last_received_;
  /** When datagrams were last received from senders that are not known from the
   * store yet. */
  std::map<std::string, core::SteadyTime> unknown_senders_;
  std::int64_t generation_ = 0;
  /** Use by other entries. */
  std::map<InstanceId, ModelUsage> engines_;
  /** Loads in progress by engine and requesting entry. */
  std::map<InstanceId, std::map<std::string, std::vector<ComingLoad>>>
      loads_at_;
  std::int64_t loads_generation_ = 0;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_PEER_TABLE_BASE_H_
