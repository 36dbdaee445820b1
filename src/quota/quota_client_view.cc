/** @file quota_client_view.cc Determines which entry coordinates a quota, from
 * this entry's view of the others. */
#include <algorithm>
#include <functional>
#include <utility>

#include "core/random_func.h"
#include "quota/quota_client_base.h"

namespace sapphire::quota {

namespace {

/** Longest time for which a view of the other entries is cached. */
constexpr milliseconds kMaxViewAge{100};
/** An entry is taken to be unreachable if nothing was received from it for this
 * time, and for two rounds of datagrams. */
constexpr milliseconds kMinReachableWindow{1000};
constexpr int kReachableRounds = 2;
/** This entry is taken to be isolated if it received no datagram from any entry
 * for this time. */
constexpr milliseconds kIsolationTimeout{1500};

}  // namespace

bool QuotaClient::IsSuspected(const std::string& entry) const {
  const auto it = unanswered_since_.find(entry);
  if (it == unanswered_since_.end()) return false;
  if (clock_.Now() - it->second < options_.suspect_after) return false;
  const auto last_received = peer_table_.LastReceivedFrom(entry);
  return !last_received || *last_received < it->second;
}

int QuotaClient::suspected_count() const {
  return static_cast<int>(std::ranges::count_if(
      unanswered_since_,
      [this](const auto& it) { return IsSuspected(it.first); }));
}

/** @return The entry that coordinates the quota; null if it is this one. */
const fleet::Peer* QuotaClient::FindCoordinator(const QuotaId& id) {
  return FindCoordinator(id, "");
}

/** @param excluded Key of an entry to exclude; empty to exclude none. */
const fleet::Peer* QuotaClient::FindCoordinator(const QuotaId& id,
                                                const std::string& excluded) {
  const PeerView& view = CurrentView();
  const fleet::Peer* best = nullptr;
  std::uint64_t best_rank = core::HashOf(id.value(), core::HashOf(options_.vm));
  for (std::size_t i = 0; i < view.peers.size(); ++i) {
    const std::uint64_t rank = core::HashOf(id.value(), view.vm_hashes[i]);
    if (rank <= best_rank || IsSuspected(view.peers[i].entry)) continue;
    if (view.peers[i].entry == excluded) continue;
    best_rank = rank;
    best = &view.peers[i];
  }
  return best;
}

const QuotaClient::PeerView& QuotaClient::CurrentView() {
  const core::SteadyTime now = clock_.Now();
  const bool is_fresh = view_ && now - view_->made_at < kMaxViewAge &&
                        view_->table_generation == peer_table_.generation();
  if (is_fresh) return *view_;
  PeerView view;
  view.made_at = now;
  view.table_generation = peer_table_.generation();
  view.peers = peer_table_.Peers();
  for (const fleet::Peer& it : view.peers) {
    view.vm_hashes.push_back(core::HashOf(it.vm.empty() ? it.entry : it.vm));
  }
  view.entries = std::max(static_cast<int>(view.peers.size()) + 1,
                          peer_table_.RecentVmCount());
  view.reachable_fraction = ReachableFraction(view);
  std::vector<std::string> candidates;
  for (const fleet::Peer& it : view.peers) {
    if (!IsSuspected(it.entry)) candidates.push_back(it.entry);
  }
  view.generation = view_ ? view_->generation : 0;
  const bool same = view_ && candidates == candidates_ &&
                    view.reachable_fraction == view_->reachable_fraction;
  if (!same) ++view.generation;
  candidates_ = std::move(candidates);
  view_ = std::move(view);
  return *view_;
}

/**
 * @return Fraction of the entries, including this one, that are reachable. In a
 *   network partition a coordinator grants only this fraction of the limit, as
 *   the other entries have another coordinator.
 */
double QuotaClient::ReachableFraction(const PeerView& view) const {
  const core::SteadyTime now = clock_.Now();
  const milliseconds within =
      std::max(kMinReachableWindow, kReachableRounds * peer_table_.Age());
  // Peers that have just become known count as reachable, except if this entry
  // is new itself: entries that don't know it yet have another coordinator.
  const bool is_new = now - running_since_ < within + kMinReachableWindow;
  const auto is_reachable = [&](const fleet::Peer& it) {
    if (IsSuspected(it.entry)) return false;
    if (it.last_received && now - *it.last_received < within) return true;
    return !is_new && now - it.known_since < within;
  };
  const auto reachable = std::ranges::count_if(view.peers, is_reachable);
  return static_cast<double>(reachable + 1) / static_cast<double>(view.entries);
}

bool QuotaClient::IsIsolated() {
  const core::SteadyTime last = std::max(
      peer_table_.last_received().value_or(running_since_), running_since_);
  const milliseconds limit =
      kIsolationTimeout + peer_table_.Age() / kReachableRounds;
  return CurrentView().entries > 1 && clock_.Now() - last >= limit;
}

/** @return The peers in the order in which they would coordinate the quota.
 * @param include_suspected True to include suspected peers. */
std::vector<const fleet::Peer*> QuotaClient::RankedPeers(
    const QuotaId& id, bool include_suspected) {
  const PeerView& view = CurrentView();
  std::vector<std::pair<std::uint64_t, const fleet::Peer*>> ranked;
  for (std::size_t i = 0; i < view.peers.size(); ++i) {
    if (!include_suspected && IsSuspected(view.peers[i].entry)) continue;
    ranked.emplace_back(core::HashOf(id.value(), view.vm_hashes[i]),
                        &view.peers[i]);
  }
  std::ranges::sort(ranked, std::greater<>());
  std::vector<const fleet::Peer*> peers;
  peers.reserve(ranked.size());
  for (const auto& [rank, peer] : ranked) peers.push_back(peer);
  return peers;
}

}  // namespace sapphire::quota
