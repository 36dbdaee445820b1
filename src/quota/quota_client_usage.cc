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
constexpr milliseconds kFreezeThreshold{1000};
/** Number of peers that an entry queries before it coordinates a quota, and how
 * long it waits for their answers. */
constexpr std::size_t kQueriedPeers = 3;
constexpr milliseconds kQueryTimeout{50};
/** Number of candidates to which a coordinator sends a quota's use, the
 * interval, and the fraction of the limit below which it sends none: a
 * successor may grant that much a second time. */
constexpr std::size_t kReportedCandidates = 2;
constexpr milliseconds kReportInterval{100};
constexpr double kMinReportedFraction = 0.25;

}  // namespace

/** Detects that the process was frozen. What it knew may be outdated then, so
 * it queries its peers again before it grants. */
void QuotaClient::DetectFreeze() {
  const core::SteadyTime now = clock_.Now();
  const core::SteadyTime before = std::exchange(last_call_, now);
  if (now - before < kFreezeThreshold) return;
  log_.Event(
      LogLevel::kWarning, LogCategory::kLink, "quota_woken",
      {{"after_ms", std::chrono::duration_cast<milliseconds>(now - before)}});
  running_since_ = now;
  coordinated_.clear();
}

/**
 * Prevents successive coordinators from each granting the full limit: a new
 * coordinator first queries the next candidates, as one of them coordinated
 * before, or received the use from the entry that did.
 * @return False while their answers are awaited.
 */
bool QuotaClient::MayGrant(const QuotaId& id) {
  const core::SteadyTime now = clock_.Now();
  const auto [it, begins] = coordinated_.try_emplace(id);
  CoordinatorState& role = it->second;
  const std::int64_t generation = CurrentView().generation;
  if (begins) role.started = now;
  if (begins || role.generation != generation) {
    role.generation = generation;
    QueryCandidates(id, begins);
  }
  if (now - role.started >= kQueryTimeout) role.awaited_peers.clear();
  return role.awaited_peers.empty();
}

void QuotaClient::QueryCandidates(const QuotaId& id, bool await) {
  std::vector<const fleet::Peer*> peers = RankedPeers(id, true);
  if (peers.size() > kQueriedPeers) peers.resize(kQueriedPeers);
  for (const fleet::Peer* peer : peers) {
    if (await) coordinated_[id].awaited_peers.insert(peer->entry);
    Probe(id, peer->entry, peer->address);
  }
}

/** Sends the quota's use to the entries that would coordinate after this one,
 * as they must know what was granted. */
void QuotaClient::ReportToCandidates(const QuotaId& id) {
  const auto role = coordinated_.find(id);
  const core::SteadyTime now = clock_.Now();
  if (role == coordinated_.end() ||
      now - role->second.reported_at < kReportInterval) {
    return;
  }
  if (coordinator_.UsedFraction(id) < kMinReportedFraction) return;
  role->second.reported_at = now;
  std::vector<const fleet::Peer*> peers = RankedPeers(id, false);
  if (peers.size() > kReportedCandidates) peers.resize(kReportedCandidates);
  for (const fleet::Peer* peer : peers) Probe(id, peer->entry, peer->address);
}

/** Adds the quota's use to the answer, and the best coordinator other than the
 * sender of the request, which may not know it. */
void QuotaClient::AddUsage(const QuotaId& id, const std::string& sender,
                           gen::QuotaAnswer& answer) {
  answer.quota = id.value();
  answer.usage = usage_.Export(id);
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
  PendingRequest pending;
  pending.id = id;
  pending.entry = entry;
  pending.address = address;
  StartRequest(std::move(pending));
}

void QuotaClient::ApplyUsage(const gen::QuotaAnswer& answer) {
  const QuotaId id(answer.quota);
  usage_.Merge(id, answer.usage);
  const auto role = coordinated_.find(id);
  if (role == coordinated_.end()) return;
  role->second.awaited_peers.erase(answer.entry);
  if (answer.coordinator_address.empty()) return;
  const bool is_known = std::ranges::any_of(
      CurrentView().peers,
      [&answer](const auto& it) { return it.entry == answer.coordinator; });
  if (is_known || answer.coordinator == options_.entry) return;
  // The peer knows an entry that is missing from this entry's view.
  const core::SteadyTime now = clock_.Now();
  if (now - role->second.hint_probed_at < kReportInterval) return;
  role->second.hint_probed_at = now;
  Probe(id, answer.coordinator, answer.coordinator_address);
}

}  // namespace sapphire::quota
