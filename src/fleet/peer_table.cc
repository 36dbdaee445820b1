/** @file peer_table.cc Tracks the other entries and their reported use of
 * the engines. */
#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_map>
#include <utility>

#include "fleet/entry_message_func.h"
#include "fleet/peer_table_base.h"

namespace sapphire::fleet {

using core::LogCategory;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

/** Number of entries that are assumed to share a limit until all are known:
 * more than a small site has, so that the limit holds meanwhile. */
constexpr int kMinAssumedEntries = 8;
/** Time after the start until all entries are expected to be known. */
constexpr std::chrono::seconds kDiscoveryTime{5};
/** An entry whose presence was removed is still counted among those that share
 * a limit for this time: leases expire in a store outage, but entries keep
 * running. */
constexpr std::chrono::seconds kGoneEntryRetention{15};
/** The requests in progress of an entry are dropped if it has been silent for
 * this time: streams last seconds, and in the largest fleets an entry's records
 * arrive every few seconds. */
constexpr std::chrono::seconds kSilenceTimeout{15};
/** A load is ignored if it is overdue by this time. */
constexpr milliseconds kMaxLoadOverdue{1000};
/** Time for which a peer's last load time from the weight store is used as an
 * estimate. */
constexpr std::chrono::seconds kStoreLoadTimeLifetime{15};
/** Demand in requests per second below which it counts as 0. */
constexpr double kNegligibleDemand = 0.001;
/** An entry without a presence remains a peer for this time, plus the interval
 * between its datagrams, after its last datagram. */
constexpr std::chrono::seconds kUnlistedPeerTimeout{3};
/** Bound on the number of unknown senders that are remembered. */
constexpr std::size_t kMaxUnknownSenders = 4096;

/** Collects peers, only the most recent one per VM, as an older one has been
 * replaced. */
class PeerList {
 public:
  void Add(Peer peer) {
    const auto [it, is_new] = by_vm_.try_emplace(peer.vm, peers_.size());
    if (is_new || peer.vm.empty()) {
      peers_.push_back(std::move(peer));
    } else if (RecencyOf(peers_[it->second]) < RecencyOf(peer)) {
      peers_[it->second] = std::move(peer);
    }
  }
  [[nodiscard]] bool HasVm(const std::string& vm) const {
    return !vm.empty() && by_vm_.contains(vm);
  }
  std::vector<Peer> TakeSorted() {
    std::ranges::sort(peers_, {}, &Peer::entry);
    return std::move(peers_);
  }

 private:
  static std::pair<core::SteadyTime, core::SteadyTime> RecencyOf(
      const Peer& peer) {
    return {peer.last_received.value_or(core::SteadyTime()), peer.known_since};
  }

  std::vector<Peer> peers_;
  std::unordered_map<std::string, std::size_t> by_vm_;
};

}  // namespace

PeerTable::PeerTable(std::string self, const EngineLoads& loads,
                     const core::Clock& clock, const core::Logger& log)
    : self_(std::move(self)),
      loads_(loads),
      clock_(clock),
      log_(log),
      began_(clock.Now()) {}

void PeerTable::SetEntries(
    const std::map<std::string, gen::EntryPresence>& entries) {
  std::vector<std::string> missing;
  for (const auto& [entry, state] : entries_) {
    if (!entries.contains(entry)) missing.push_back(entry);
  }
  for (const std::string& it : missing) RemoveEntry(it);
  for (const auto& [entry, presence] : entries) PutEntry(entry, presence);
}

void PeerTable::PutEntry(const std::string& entry,
                         const gen::EntryPresence& presence) {
  if (entry == self_) return;
  const auto [it, is_new] = entries_.try_emplace(entry);
  it->second.presence = presence;
  if (!is_new) return;
  it->second.known_since = clock_.Now();
  const auto unknown_sender = unknown_senders_.extract(entry);
  if (!unknown_sender.empty()) {
    it->second.last_received = unknown_sender.mapped();
  }
  ++generation_;
  gone_.erase(entry);
  log_.Event(LogLevel::kInfo, LogCategory::kLink, "entry_known",
             {{"entry", entry},
              {"address", presence.address},
              {"entries", entries()}});
}

void PeerTable::RemoveEntry(const std::string& entry) {
  const auto it = entries_.find(entry);
  if (it == entries_.end()) return;
  ClearRunning(it->second);
  EraseLoads(entry);
  ++generation_;
  gone_[entry] = {clock_.Now(), PeerOf(entry, it->second)};
  entries_.erase(it);
  log_.Event(LogLevel::kInfo, LogCategory::kLink, "entry_gone",
             {{"entry", entry}, {"entries", entries()}});
}

void PeerTable::ApplyRecord(const gen::EntryRecord& record) {
  RecordDatagram(record.entry);
  const auto it = entries_.find(record.entry);
  if (it == entries_.end() || record.number <= it->second.number) return;
  EntryState& state = it->second;
  state.number = record.number;
  state.store_load = milliseconds(record.store_load_ms);
  ApplyUses(record, state);
  ApplyLoads(record);
}

void PeerTable::RecordDatagram(const std::string& entry) {
  const core::SteadyTime now = clock_.Now();
  last_received_ = now;
  const auto it = entries_.find(entry);
  if (it != entries_.end()) it->second.last_received = now;
  const auto gone = gone_.find(entry);
  if (gone != gone_.end()) gone->second.peer.last_received = now;
  const bool is_unknown = it == entries_.end() && gone == gone_.end();
  if (is_unknown && unknown_senders_.size() < kMaxUnknownSenders) {
    unknown_senders_[entry] = now;
  }
}

std::vector<Peer> PeerTable::Peers() const {
  PeerList peers;
  for (const auto& [entry, state] : entries_) {
    peers.Add(PeerOf(entry, state));
  }
  for (const auto& [entry, gone] : gone_) {
    if (peers.HasVm(gone.peer.vm) || !IsStillActive(gone)) continue;
    peers.Add(gone.peer);
  }
  return peers.TakeSorted();
}

int PeerTable::RecentVmCount() const {
  std::set<std::string> vms;
  const auto add = [&vms](const std::string& entry, const std::string& vm) {
    vms.insert(vm.empty() ? entry : vm);
  };
  for (const auto& [entry, state] : entries_) add(entry, state.presence.vm);
  const core::SteadyTime now = clock_.Now();
  for (const auto& [entry, gone] : gone_) {
    if (now - gone.at < kGoneEntryRetention) add(entry, gone.peer.vm);
  }
  return 1 + static_cast<int>(vms.size());
}

std::optional<core::SteadyTime> PeerTable::LastReceivedFrom(
    const std::string& entry) const {
  const auto it = entries_.find(entry);
  if (it != entries_.end()) return it->second.last_received;
  const auto gone = gone_.find(entry);
  return gone == gone_.end() ? std::nullopt : gone->second.peer.last_received;
}

bool PeerTable::IsStillActive(const GoneEntry& gone) const {
  const core::SteadyTime last = gone.peer.last_received.value_or(gone.at);
  return clock_.Now() - last < kUnlistedPeerTimeout + Age();
}

Peer PeerTable::PeerOf(const std::string& entry, const EntryState& state) {
  return {entry, state.presence.vm, state.presence.address, state.known_since,
          state.last_received};
}

/** Applies the use in a record. Whatever the record doesn't name is no longer
 * in progress, and its demand decays. */
void PeerTable::ApplyUses(const gen::EntryRecord& record, EntryState& state) {
  ClearRunning(state);
  const core::SteadyTime now = clock_.Now();
  for (const gen::EngineUse& use : record.uses) {
    for (const gen::ResidentUse& it : use.parts) {
      SetContribution(state, {InstanceId(use.engine_instance), PartOf(it)},
                      ParseResidentUse(it, now));
    }
  }
  std::erase_if(state.contributions, [now](const auto& it) {
    const Contribution& contribution = it.second;
    return contribution.running == 0 &&
           DecayedDemand(contribution.demand, now - contribution.at) <
               kNegligibleDemand;
  });
}

void PeerTable::SetContribution(EntryState& state, const EnginePart& part,
                                const Usage& usage) {
  const core::SteadyTime now = clock_.Now();
  Contribution& contribution = state.contributions[part];
  ModelUsage& sum = UsageAt(part.first);
  sum.AddRunning(part.second, usage.running - contribution.running);
  sum.AddDemand(
      part.second,
      usage.demand - DecayedDemand(contribution.demand, now - contribution.at));
  if (usage.last_begun) sum.UpdateLastBegun(part.second, *usage.last_begun);
  contribution = Contribution{usage.running, usage.demand, now};
}

void PeerTable::ClearRunning(EntryState& state) {
  for (auto& [part, contribution] : state.contributions) {
    if (contribution.running == 0) continue;
    UsageAt(part.first).AddRunning(part.second, -contribution.running);
    contribution.running = 0;
  }
}

void PeerTable::ApplyLoads(const gen::EntryRecord& record) {
  EraseLoads(record.entry);
  const core::SteadyTime now = clock_.Now();
  for (const gen::ComingLoad& it : record.loads) {
    const InstanceId instance(it.engine_instance);
    loads_at_[instance][record.entry].push_back(
        {instance, core::ModelId(it.model), now + milliseconds(it.ready_in_ms),
         it.from_weight_store});
  }
}

void PeerTable::SetOwnLoads(std::vector<ComingLoad> loads) {
  ++loads_generation_;
  EraseLoads(self_);
  for (ComingLoad& it : loads) {
    loads_at_[it.instance][self_].push_back(std::move(it));
  }
}

void PeerTable::EraseLoads(const std::string& entry) {
  for (auto& [instance, by_entry] : loads_at_) by_entry.erase(entry);
  std::erase_if(loads_at_, [](const auto& it) { return it.second.empty(); });
}

void PeerTable::Forget(const std::set<InstanceId>& alive) {
  const core::SteadyTime now = clock_.Now();
  for (auto& [entry, state] : entries_) {
    if (state.last_received && now - *state.last_received < kSilenceTimeout) {
      continue;
    }
    ClearRunning(state);
    EraseLoads(entry);
  }
  std::erase_if(engines_, [&alive](const auto& it) {
    return !alive.contains(it.first) && it.second.running() == 0;
  });
  std::erase_if(unknown_senders_, [now](const auto& it) {
    return now - it.second >= kGoneEntryRetention;
  });
  std::erase_if(gone_, [this, now](const auto& it) {
    return now - it.second.at >= kGoneEntryRetention &&
           !IsStillActive(it.second);
  });
}

int PeerTable::entries() const {
  const core::SteadyTime now = clock_.Now();
  const auto just_gone = std::ranges::count_if(gone_, [now](const auto& it) {
    return now - it.second.at < kGoneEntryRetention;
  });
  const int known =
      1 + static_cast<int>(entries_.size()) + static_cast<int>(just_gone);
  return now - began_ < kDiscoveryTime ? std::max(known, kMinAssumedEntries)
                                       : known;
}

std::vector<std::string> PeerTable::Addresses() const {
  std::vector<std::string> addresses;
  for (Peer& it : Peers()) addresses.push_back(std::move(it.address));
  return addresses;
}

int PeerTable::Running(const InstanceId& instance) const {
  const auto it = engines_.find(instance);
  const int others = it == engines_.end() ? 0 : it->second.running();
  return others + loads_.Running(instance);
}

Usage PeerTable::UsageOf(const InstanceId& instance,
                         const ModelOrAdapter& part) const {
  Usage usage = loads_.UsageOf(instance, part);
  const auto it = engines_.find(instance);
  if (it == engines_.end()) return usage;
  const Usage others = it->second.Of(part);
  usage.running += others.running;
  usage.demand += others.demand;
  usage.last_begun = std::max(usage.last_begun, others.last_begun);
  return usage;
}

std::vector<ComingLoad> PeerTable::LoadsAt(const InstanceId& instance) const {
  std::vector<ComingLoad> coming;
  const auto loads = loads_at_.find(instance);
  if (loads == loads_at_.end()) return coming;
  const core::SteadyTime now = clock_.Now();
  for (const auto& [entry, of_entry] : loads->second) {
    std::ranges::copy_if(of_entry, std::back_inserter(coming),
                         [now](const ComingLoad& it) {
                           return now < it.ready + kMaxLoadOverdue;
                         });
  }
  return coming;
}

std::vector<ComingLoad> PeerTable::LoadsOf(const core::ModelId& model) const {
  std::vector<ComingLoad> coming;
  for (const auto& [instance, loads] : loads_at_) {
    std::ranges::copy_if(
        LoadsAt(instance), std::back_inserter(coming),
        [&model](const ComingLoad& it) { return it.model == model; });
  }
  return coming;
}

milliseconds PeerTable::RemainingLoadTime(const InstanceId& instance) const {
  const core::SteadyTime now = clock_.Now();
  core::SteadyTime free = now;
  for (const ComingLoad& it : LoadsAt(instance)) {
    free = std::max(free, it.ready);
  }
  return std::chrono::duration_cast<milliseconds>(free - now);
}

milliseconds PeerTable::StoreLoadTime() const {
  milliseconds longest{0};
  const core::SteadyTime now = clock_.Now();
  for (const auto& [entry, state] : entries_) {
    if (!state.last_received ||
        now - *state.last_received > kStoreLoadTimeLifetime) {
      continue;
    }
    longest = std::max(longest, state.store_load);
  }
  return longest;
}

ModelUsage& PeerTable::UsageAt(const InstanceId& instance) {
  return engines_.try_emplace(instance, clock_).first->second;
}

}  // namespace sapphire::fleet
