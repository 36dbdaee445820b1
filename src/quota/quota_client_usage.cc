/** @file quota_client_usage.cc How entries exchange the use that they have
 * granted of quotas. */
#include <algorithm>
#include <utility>

#include "quota/quota_client_base.h"

namespace sapphire::quota {

using core::LogCategory;
using core::LogLevel;

namespace {

/** A process without a call for this time is taken to have been frozen. */
constexpr milliseconds kFrozenAfter{1000};
/** Number of peers that an entry queries before it coordinates a quota, and how
 * long it waits for their answers. */
constexpr std::size_t kAsked = 3;
constexpr milliseconds kExchangeLimit{50};
/** Number of candidates to which a coordinator sends a quota's use, the
 * interval, and the fraction of the limit below which it sends none: a
 * successor may grant that much a second time. */
constexpr std::size_t kTold = 2;
constexpr milliseconds kTellPause{100};
constexpr double kToldFrom = 0.25;

}  // namespace

/** Detects that the process was frozen. What it knew may be outdated then, so
 * it queries its peers again before it grants. */
void QuotaClient::NoteAlive() {
  const core::SteadyTime now = clock_.Now();
  const core::SteadyTime before = std::exchange(last_alive_, now);
  if (now - before < kFrozenAfter) return;
  log_.Event(
      LogLevel::kWarning, LogCategory::kLink, "quota_woken",
      {{"after_ms", std::chrono::duration_cast<milliseconds>(now - before)}});
  began_ = now;
  roles_.clear();
}

/**
 * Prevents successive coordinators from each granting the full limit: a new
 * coordinator first queries the next candidates, as one of them coordinated
 * before, or received the use from the entry that did.
 * @return False while their answers are awaited.
 */
bool QuotaClient::MayGrant(const QuotaId& id) {
  const core::SteadyTime now = clock_.Now();
  const auto [it, begins] = roles_.try_emplace(id);
  Role& role = it->second;
  const std::int64_t generation = CurrentView().generation;
  if (begins) role.began = now;
  if (begins || role.generation != generation) {
    role.generation = generation;
    AskCandidates(id, begins);
  }
  if (now - role.began >= kExchangeLimit) role.awaited.clear();
  return role.awaited.empty();
}

void QuotaClient::AskCandidates(const QuotaId& id, bool await) {
  std::vector<const fleet::Peer*> peers = Ranked(id, true);
  if (peers.size() > kAsked) peers.resize(kAsked);
  for (const fleet::Peer* peer : peers) {
    if (await) roles_[id].awaited.insert(peer->entry);
    Probe(id, peer->entry, peer->address);
  }
}

/** Sends the quota's use to the entries that would coordinate after this one,
 * as they must know what was granted. */
void QuotaClient::TellCandidates(const QuotaId& id) {
  const auto role = roles_.find(id);
  const core::SteadyTime now = clock_.Now();
  if (role == roles_.end() || now - role->second.told < kTellPause) return;
  if (coordinator_.UsedPart(id) < kToldFrom) return;
  role->second.told = now;
  std::vector<const fleet::Peer*> peers = Ranked(id, false);
  if (peers.size() > kTold) peers.resize(kTold);
  for (const fleet::Peer* peer : peers) Probe(id, peer->entry, peer->address);
}

/** Adds the quota's use to the answer, and the best coordinator other than the
 * sender of the request, which may not know it. */
void QuotaClient::FillUsage(const QuotaId& id, const std::string& sender,
                            gen::QuotaAnswer& answer) {
  answer.quota = id.value();
  answer.usage = usage_.Tell(id);
  const fleet::Peer* best = FindCoordinator(id, sender);
  if (best == nullptr) return;
  answer.coordinator = best->entry;
  answer.coordinator_address = best->address;
}

/** Sends the quota's use to an entry and requests what it knows of it. Without
 * an answer the entry becomes suspected. */
void QuotaClient::Probe(const QuotaId& id, const std::string& entry,
                        const std::string& address) {
  const bool asked = std::ranges::any_of(pending_, [&](const auto& it) {
    return it.second.entry == entry && it.second.id == id && !it.second.done;
  });
  if (asked) return;
  Pending pending;
  pending.id = id;
  pending.entry = entry;
  pending.address = address;
  Ask(std::move(pending));
}

void QuotaClient::TakeUsage(const gen::QuotaAnswer& answer) {
  const QuotaId id(answer.quota);
  usage_.Learn(id, answer.usage);
  const auto role = roles_.find(id);
  if (role == roles_.end()) return;
  role->second.awaited.erase(answer.entry);
  if (answer.coordinator_address.empty()) return;
  const bool is_known = std::ranges::any_of(
      CurrentView().peers,
      [&answer](const auto& it) { return it.entry == answer.coordinator; });
  if (is_known || answer.coordinator == options_.entry) return;
  // The peer knows an entry that is missing from this entry's view.
  const core::SteadyTime now = clock_.Now();
  if (now - role->second.hinted < kTellPause) return;
  role->second.hinted = now;
  Probe(id, answer.coordinator, answer.coordinator_address);
}

}  // namespace sapphire::quota
