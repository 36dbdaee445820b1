/** @file evidence_sharing_base.h Shares with the other entries what is known of
 * engine crashes. */
#ifndef SAPPHIRE_CRASH_EVIDENCE_SHARING_BASE_H_
#define SAPPHIRE_CRASH_EVIDENCE_SHARING_BASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/signal_base.h"
#include "core/task_type.h"
#include "crash/evidence_func.h"
#include "external/key_value_base.h"
#include "fleet/peer_table_base.h"
#include "gen/link_types.h"

namespace sapphire::crash {

/** Key prefix of all that is shared through the store. */
inline constexpr std::string_view kEvidencePrefix = "crash-evidence/";

/** Dependencies of the sharing; all outlive it and its coroutines. */
struct SharingDependencies {
  const fleet::PeerTable& peer_table;
  /** Sends a datagram to the entry at an address. */
  std::function<void(const std::string& address,
                     const gen::EntryDatagram& datagram)>
      send;
  external::KeyValueStore& store;
  core::Executor executor;
  const core::Clock& clock;
  const core::Logger& log;
};

/**
 * Keeps the evidence of this entry, and exchanges it with the others: crashes,
 * and the survivals that clear a trait which another entry suspects.
 *
 * Datagrams carry news within milliseconds, also while the store is down. The
 * store keeps it for entries that missed a datagram or start later. Each key
 * has one writer, so that entries which see the same crash at once do not
 * delay each other. A survival that concerns no crash is not shared. Not
 * thread-safe.
 */
class EvidenceSharing {
 public:
  /** @param entry Key of this entry's own presence. */
  EvidenceSharing(std::string entry, SharingDependencies parts);

  /** Starts sending and writing. */
  void Start();

  /** Adds a crash that this entry has seen. */
  void ReportCrash(const CrashReport& report);

  /** Adds an answer that this entry has seen.
   * @return True if it clears a suspected trait. */
  bool ReportSurvival(const Survival& survival);

  void OnDatagram(const gen::CrashEvidence& message);
  /** Applies all keys under kEvidencePrefix. */
  void ApplyListing(const std::vector<external::KvEntry>& entries);
  void ApplyChange(const external::KvEvent& event);

  [[nodiscard]] const CrashEvidence& evidence() const { return evidence_; }
  /** Notified when evidence is added. */
  [[nodiscard]] core::Signal& changed() { return changed_; }

  /** @return This entry's place by rendezvous hashing of the trait. */
  [[nodiscard]] int RankOf(const Trait& trait) const;

 private:
  void DropOld();
  void AddForeignCrash(const CrashReport& report);
  void AddForeignSurvival(const Survival& survival);
  void Announce(const Trait& trait);
  [[nodiscard]] bool MustAnnounce(const Trait& trait) const;
  core::Task<> AnnounceInTurn(Trait trait);
  void Broadcast(gen::CrashEvidence message) const;
  core::Task<> BroadcastCrashes();
  core::Task<> WriteChanges();
  core::Task<bool> Write(std::string key);
  [[nodiscard]] std::string ValueOf(const std::string& key) const;
  void ApplyValue(const std::string& key, const std::string& value);
  core::Task<> DeleteExpired(std::vector<external::KvEntry> entries);
  [[nodiscard]] std::string KeyOf(const fleet::InstanceId& instance) const;

  const std::string entry_;
  /** Distinguishes the keys of this process from those of earlier ones. */
  const std::string writer_;
  const SharingDependencies deps_;
  CrashEvidence evidence_;
  /** Crashes that this entry has seen itself. */
  std::map<fleet::InstanceId, CrashReport> own_crashes_;
  /** Crashes that are to be sent to the other entries. */
  std::set<fleet::InstanceId> unsent_;
  /** Survivals that any entry has announced, of traits with crashes. */
  std::map<Trait, core::SteadyTime> announced_;
  /** Keys to be written, and the revisions of those that this entry wrote. */
  std::set<std::string> unwritten_;
  std::map<std::string, std::int64_t> revisions_;
  core::Signal changed_;
  core::Signal unsent_changed_;
  core::Signal unwritten_changed_;
};

}  // namespace sapphire::crash

#endif  // SAPPHIRE_CRASH_EVIDENCE_SHARING_BASE_H_
