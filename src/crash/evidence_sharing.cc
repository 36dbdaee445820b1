/** @file evidence_sharing.cc Shares with the other entries what is known of
 * engine crashes. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "crash/evidence_codec_func.h"
#include "crash/evidence_sharing_base.h"

namespace sapphire::crash {

using core::LogCategory;
using core::LogLevel;

namespace {

/** The requests of a crashed engine end at intervals of a few milliseconds;
 * their traits are sent together. */
constexpr milliseconds kGatherTime{10};
/** The same for the store, where each write has its price. */
constexpr milliseconds kWriteGatherTime{50};
constexpr milliseconds kRetryPause{1000};
/** How long an idle coroutine waits for a signal. */
constexpr milliseconds kIdleWait{60'000};
/** Entries announce a survival in turn, so that mostly the first one does. */
constexpr milliseconds kAnnounceStep{10};
constexpr int kMaxAnnounceSteps = 30;
/** Traits in one report: 500 take 7 kB of a datagram of at most 60 kB. Prompt
 * parts come first. */
constexpr std::size_t kMaxTraits = 500;

constexpr std::string_view kCrashedPrefix = "crash-evidence/crashed/";
constexpr std::string_view kSurvivedPrefix = "crash-evidence/survived/";

}  // namespace

EvidenceSharing::EvidenceSharing(std::string entry, SharingDependencies parts)
    : entry_(std::move(entry)),
      writer_(core::RandomHexId()),
      deps_(std::move(parts)) {}

void EvidenceSharing::Start() {
  core::Spawn(deps_.executor, deps_.log, "send_crashes",
              [this] { return BroadcastCrashes(); });
  core::Spawn(deps_.executor, deps_.log, "write_crash_evidence",
              [this] { return WriteChanges(); });
}

void EvidenceSharing::ReportCrash(const CrashReport& report) {
  CrashReport& own =
      own_crashes_.try_emplace(report.instance, report).first->second;
  own.traits.insert(report.traits.begin(), report.traits.end());
  while (own.traits.size() > kMaxTraits) own.traits.erase(--own.traits.end());
  if (!AddCrash(evidence_, own)) return;
  DropOld();
  unsent_.insert(report.instance);
  unsent_changed_.Notify();
  unwritten_.insert(KeyOf(report.instance));
  unwritten_changed_.Notify();
  changed_.Notify();
}

void EvidenceSharing::DropOld() {
  Expire(evidence_, deps_.clock.Now());
  std::erase_if(own_crashes_, [this](const auto& it) {
    return !evidence_.crashes.contains(it.first);
  });
  std::erase_if(announced_, [this](const auto& it) {
    return !evidence_.crashes_of.contains(it.first);
  });
  std::erase_if(unsent_,
                [this](const auto& it) { return !own_crashes_.contains(it); });
}

bool EvidenceSharing::ReportSurvival(const Survival& survival) {
  const bool was_suspect = !SuspectsAmong(evidence_, {survival.trait}).empty();
  AddSurvival(evidence_, survival);
  if (!evidence_.crashes_of.contains(survival.trait)) return false;
  if (MustAnnounce(survival.trait)) Announce(survival.trait);
  if (was_suspect) changed_.Notify();
  return was_suspect;
}

/** @return True if others may suspect a trait of which this entry knows that it
 * has survived. */
bool EvidenceSharing::MustAnnounce(const Trait& trait) const {
  const auto survived = LastSurvival(evidence_, trait);
  if (!survived) return false;
  const auto known = announced_.find(trait);
  if (known == announced_.end()) return true;
  if (known->second >= *survived) return false;
  const auto instances = evidence_.crashes_of.find(trait);
  if (instances == evidence_.crashes_of.end()) return false;
  return std::ranges::any_of(instances->second, [&](const auto& it) {
    return evidence_.crashes.at(it).at > known->second;
  });
}

void EvidenceSharing::Announce(const Trait& trait) {
  const Survival survival{trait, *LastSurvival(evidence_, trait)};
  announced_[trait] = survival.at;
  gen::CrashEvidence message;
  message.survivals.push_back(ToMessage(survival, deps_.clock.Now()));
  Broadcast(std::move(message));
  unwritten_.insert(std::string(kSurvivedPrefix) + NameOf(trait) + "/" +
                    writer_);
  unwritten_changed_.Notify();
}

core::Task<> EvidenceSharing::AnnounceInTurn(Trait trait) {
  co_await core::SleepFor(std::min(RankOf(trait), kMaxAnnounceSteps) *
                          kAnnounceStep);
  if (MustAnnounce(trait)) Announce(trait);
}

void EvidenceSharing::AddForeignCrash(const CrashReport& report) {
  if (!AddCrash(evidence_, report)) return;
  DropOld();
  deps_.log.Event(LogLevel::kInfo, LogCategory::kRequest, "crash_learned",
                  {{"instance", report.instance},
                   {"traits", report.traits.size()},
                   {"age_ms", std::chrono::duration_cast<milliseconds>(
                                  deps_.clock.Now() - report.at)}});
  for (const Trait& it : report.traits) {
    if (!MustAnnounce(it)) continue;
    core::Spawn(deps_.executor, deps_.log, "announce_survival",
                [this, it] { return AnnounceInTurn(it); });
  }
  changed_.Notify();
}

void EvidenceSharing::AddForeignSurvival(const Survival& survival) {
  core::SteadyTime& known =
      announced_.try_emplace(survival.trait, survival.at).first->second;
  known = std::max(known, survival.at);
  if (AddSurvival(evidence_, survival)) changed_.Notify();
}

void EvidenceSharing::OnDatagram(const gen::CrashEvidence& message) {
  const core::SteadyTime now = deps_.clock.Now();
  for (const gen::TraitSurvived& it : message.survivals) {
    AddForeignSurvival(FromMessage(it, now));
  }
  for (const gen::CrashSeen& it : message.crashes) {
    AddForeignCrash(FromMessage(it, now));
  }
}

int EvidenceSharing::RankOf(const Trait& trait) const {
  const std::string name = NameOf(trait);
  const auto weight = [&name](const std::string& entry) {
    return core::HashOf(name, core::HashOf(entry));
  };
  const std::uint64_t own = weight(entry_);
  const std::vector<fleet::Peer> peers = deps_.peer_table.Peers();
  return static_cast<int>(std::ranges::count_if(
      peers, [&](const fleet::Peer& it) { return weight(it.entry) > own; }));
}

void EvidenceSharing::Broadcast(gen::CrashEvidence message) const {
  message.entry = entry_;
  gen::EntryDatagram datagram;
  datagram.__set_crash_evidence(message);
  for (const std::string& it : deps_.peer_table.Addresses()) {
    deps_.send(it, datagram);
  }
}

core::Task<> EvidenceSharing::BroadcastCrashes() {
  while (true) {
    const std::uint64_t seen = unsent_changed_.epoch();
    if (unsent_.empty()) {
      co_await unsent_changed_.Wait(seen, kIdleWait);
      continue;
    }
    co_await core::SleepFor(kGatherTime);
    for (const fleet::InstanceId& it : std::exchange(unsent_, {})) {
      gen::CrashEvidence message;
      message.crashes.push_back(
          ToMessage(own_crashes_.at(it), deps_.clock.Now()));
      Broadcast(std::move(message));
    }
  }
}

std::string EvidenceSharing::KeyOf(const fleet::InstanceId& instance) const {
  return std::string(kCrashedPrefix) + instance.value() + "/" + writer_;
}

core::Task<> EvidenceSharing::WriteChanges() {
  while (true) {
    const std::uint64_t seen = unwritten_changed_.epoch();
    if (unwritten_.empty()) {
      co_await unwritten_changed_.Wait(seen, kIdleWait);
      continue;
    }
    co_await core::SleepFor(kWriteGatherTime);
    bool failed = false;
    for (const std::string& it : std::exchange(unwritten_, {})) {
      if (co_await Write(it)) continue;
      unwritten_.insert(it);
      failed = true;
    }
    if (failed) {
      co_await core::SleepFor(kRetryPause);
    }
  }
}

/** @return False if the write is to be tried again. */
core::Task<bool> EvidenceSharing::Write(std::string key) {
  const std::string value = ValueOf(key);
  if (value.empty()) co_return true;
  try {
    const external::CasResult swap =
        co_await deps_.store.CompareAndSwap(key, revisions_[key], value, "");
    if (!swap.swapped) {
      // An earlier write took effect although its answer was lost.
      revisions_[key] = swap.current ? swap.current->revision : 0;
      co_return false;
    }
    revisions_[key] = swap.revision;
    co_return true;
  } catch (const core::Error& e) {
    deps_.log.Event(LogLevel::kWarning, LogCategory::kPlatform,
                    "crash_evidence_unsaved",
                    {{"key", key}, {"error", e.what()}});
  }
  co_return false;
}

/** @return What to write under one of this entry's keys; empty if it is not
 * needed any more. */
std::string EvidenceSharing::ValueOf(const std::string& key) const {
  for (const auto& [instance, report] : own_crashes_) {
    if (KeyOf(instance) == key) return Encode(report, deps_.clock);
  }
  for (const auto& [trait, at] : announced_) {
    const std::string name = NameOf(trait);
    if (key == std::string(kSurvivedPrefix) + name + "/" + writer_) {
      return Encode(Survival{trait, at}, deps_.clock);
    }
  }
  return "";
}

void EvidenceSharing::ApplyValue(const std::string& key,
                                 const std::string& value) {
  if (key.ends_with("/" + writer_)) return;
  try {
    if (key.starts_with(kCrashedPrefix)) {
      AddForeignCrash(DecodeCrashReport(value, deps_.clock));
    } else if (key.starts_with(kSurvivedPrefix)) {
      AddForeignSurvival(DecodeSurvival(value, deps_.clock));
    }
  } catch (const core::Error& e) {
    deps_.log.Event(LogLevel::kWarning, LogCategory::kPlatform,
                    "crash_evidence_unreadable",
                    {{"key", key}, {"error", e.what()}});
  }
}

void EvidenceSharing::ApplyListing(
    const std::vector<external::KvEntry>& entries) {
  // Survivals first, so that what they clear is not announced again.
  for (const bool survivals : {true, false}) {
    for (const external::KvEntry& it : entries) {
      if (it.key.starts_with(kSurvivedPrefix) == survivals) {
        ApplyValue(it.key, it.value);
      }
    }
  }
  core::Spawn(deps_.executor, deps_.log, "expire_crash_evidence",
              [this, entries] { return DeleteExpired(entries); });
}

void EvidenceSharing::ApplyChange(const external::KvEvent& event) {
  if (event.value) ApplyValue(event.key, *event.value);
}

core::Task<> EvidenceSharing::DeleteExpired(
    std::vector<external::KvEntry> entries) {
  for (const external::KvEntry& it : entries) {
    try {
      const core::SteadyTime at =
          it.key.starts_with(kCrashedPrefix)
              ? DecodeCrashReport(it.value, deps_.clock).at
              : DecodeSurvival(it.value, deps_.clock).at;
      if (deps_.clock.Now() - at < kEvidenceLifetime) continue;
      co_await deps_.store.DeleteIf(it.key, it.revision);
    } catch (const core::Error& e) {
      deps_.log.Event(LogLevel::kWarning, LogCategory::kPlatform,
                      "crash_evidence_unsaved",
                      {{"key", it.key}, {"error", e.what()}});
    }
  }
}

}  // namespace sapphire::crash
