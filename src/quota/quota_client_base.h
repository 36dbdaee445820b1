/** @file quota_client_base.h Decides whether requests are within the quotas
 * that all entries share, by asking the entry that coordinates each quota. */
#ifndef SAPPHIRE_QUOTA_QUOTA_CLIENT_BASE_H_
#define SAPPHIRE_QUOTA_QUOTA_CLIENT_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "fleet/peer_table_base.h"
#include "gen/link_types.h"
#include "quota/quota_coordinator_base.h"
#include "quota/quota_type.h"
#include "quota/usage_table_base.h"

namespace sapphire::quota {

struct QuotaClientOptions {
  /** Key of this entry's presence in the store. */
  std::string entry;
  std::string vm;
  QuotaRules rules;
  /** Longest time to delay a request until the quota has units for it. */
  milliseconds wait_limit{200};
  /** A quota request without an answer is resent once after this time. */
  milliseconds resend_after{40};
  /** After this time without an answer, the request is sent again, to the
   * coordinator as it is determined then. */
  milliseconds answer_timeout{150};
  /** A coordinator is suspected to be down, and skipped, if it has left a
   * request unanswered and sent nothing else for this time. */
  milliseconds suspect_after{250};
  /** A request without an answer for this time is decided by this entry's even
   * share of the limit. */
  milliseconds failover_timeout{800};
};

/**
 * Enforces rate limits on the sum over all entries.
 *
 * Each quota has one coordinating entry: the first by rendezvous hashing among
 * the entries that are not suspected to be down. The other entries ask it about
 * each request, by datagram. An entry that can't reach the coordinator uses an
 * even share of the limit, so that the limit on the sum over all entries holds
 * in any network partition.
 *
 * Uses no network and no timers: it sends messages through a function, and the
 * owner calls Tick at intervals. Not thread-safe.
 */
class QuotaClient {
 public:
  using DecisionCallback = std::function<void(const QuotaDecision&)>;
  using Send = std::function<void(const std::string& address,
                                  const gen::EntryDatagram& datagram)>;

  /** @pre All references outlive the client. */
  QuotaClient(QuotaClientOptions options, const fleet::PeerTable& peer_table,
              Send send, const core::Clock& clock, const core::Logger& log);

  /** Requests `cost` units from the quota, which are taken if granted.
   * @param done Called once with the decision: before this returns, or later
   *   from OnAnswer or Tick. */
  void Take(const QuotaId& id, const SharedLimit& limit, double cost,
            DecisionCallback done);

  /** Returns units that a request took but did not use. */
  void GiveBack(const QuotaId& id, const SharedLimit& limit, double cost);

  /** Handles another entry's quota request.
   * @param address Address to which the answer is sent. */
  void OnRequest(const gen::QuotaAsk& ask, const std::string& address);
  void OnAnswer(const gen::QuotaAnswer& answer);

  /** Resends requests that are due and handles timeouts. */
  void Tick();

  /** @return Interval at which to call Tick while requests are pending. */
  [[nodiscard]] milliseconds TickInterval() const {
    return options_.resend_after;
  }

  /** Removes expired answers, denials, buckets and use. */
  void Forget();

  /** @return Units in this entry's bucket as coordinator of the quota; 0 if it
   * has none. */
  [[nodiscard]] double LevelOf(const QuotaId& id) const {
    return coordinator_.LevelOf(id);
  }

  /** @return Number of entries that are suspected to be down and skipped. */
  [[nodiscard]] int suspected_count() const;

 private:
  /** A request that awaits a decision, or a probe if `done` is empty. */
  struct PendingRequest {
    QuotaId id;
    SharedLimit limit;
    double cost = 0;
    core::SteadyTime started;
    /** The entry that was asked; empty while the request waits for the entries
     * to agree on a coordinator. */
    std::string entry;
    std::string address;
    core::SteadyTime sent_at;
    bool resent = false;
    bool redirected = false;
    DecisionCallback done;
  };
  /** Cached view of the other entries, from which coordinators are computed. */
  struct PeerView {
    core::SteadyTime made_at;
    /** Generation of the peer table that this was made from. */
    std::int64_t table_generation = 0;
    std::vector<fleet::Peer> peers;
    /** Hash of the VM of each peer, in the order of `peers`. */
    std::vector<std::uint64_t> vm_hashes;
    /** Counts changes of the entries that may coordinate. */
    std::int64_t generation = 0;
    /** Number of entries, including this one and recently removed ones. */
    int entries = 1;
    /** Fraction of them, including this one, that this entry receives datagrams
     * from. */
    double reachable_fraction = 1;
  };
  /** An answer kept for repeated requests. */
  struct CachedAnswer {
    core::SteadyTime at;
    gen::QuotaAnswer answer;
  };
  /** Bucket for this entry's even share of a limit. */
  struct Share {
    TokenBucket bucket;
    /** Generation of the view at the last use. */
    std::int64_t generation = 0;
  };
  /** A denial by the coordinator, cached for a short time. */
  struct Denial {
    /** Until then, later requests are denied without asking the coordinator. */
    core::SteadyTime until;
    /** When the denied request may be retried. */
    core::SteadyTime retry_at;
  };
  /** State of a quota that this entry coordinates. */
  struct CoordinatorState {
    core::SteadyTime started;
    /** Generation of the view when the candidates were last queried. */
    std::int64_t generation = 0;
    /** Peers whose answers, with the use granted before, are awaited. */
    std::set<std::string> awaited_peers;
    /** When the quota's use was last sent to the next candidates. */
    core::SteadyTime reported_at;
    /** When a coordinator named by a peer was last probed. */
    core::SteadyTime hint_probed_at;
  };
  /** A quota request that timed out; its answer may still arrive, unless it was
   * deferred and so never sent. */
  struct TimedOutRequest {
    core::SteadyTime at;
    QuotaId id;
    SharedLimit limit;
    double cost = 0;
  };

  void DetectFreeze();
  bool MayGrant(const QuotaId& id);
  void QueryCandidates(const QuotaId& id, bool await);
  void ReportToCandidates(const QuotaId& id);
  [[nodiscard]] std::vector<const fleet::Peer*> RankedPeers(
      const QuotaId& id, bool include_suspected);
  const PeerView& CurrentView();
  [[nodiscard]] double ReachableFraction(const PeerView& view) const;
  [[nodiscard]] bool IsIsolated();
  [[nodiscard]] bool IsSuspected(const std::string& entry) const;
  const fleet::Peer* FindCoordinator(const QuotaId& id);
  const fleet::Peer* FindCoordinator(const QuotaId& id,
                                     const std::string& excluded);
  void Dispatch(PendingRequest pending);
  void StartRequest(PendingRequest pending);
  void Defer(PendingRequest pending);
  void SendRequest(std::int64_t number, const PendingRequest& pending);
  void Probe(const QuotaId& id, const std::string& entry,
             const std::string& address);
  void TakeAsCoordinator(const PendingRequest& pending);
  void TakeFromShare(const PendingRequest& pending);
  void AddUsage(const QuotaId& id, const std::string& sender,
                gen::QuotaAnswer& answer);
  void ApplyUsage(const gen::QuotaAnswer& answer);
  void Redirect(PendingRequest pending, const gen::QuotaAnswer& answer);
  void HandleTimeout(std::int64_t number, PendingRequest pending);
  void RecordUnanswered(const PendingRequest& pending);
  std::optional<gen::QuotaAnswer> MakeAnswer(const gen::QuotaAsk& ask);

  const QuotaClientOptions options_;
  const fleet::PeerTable& peer_table_;
  const Send send_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** When this process started, or resumed after a freeze. */
  core::SteadyTime running_since_;
  /** Time of the last call, to detect freezes. */
  core::SteadyTime last_call_;
  UsageTable usage_;
  QuotaCoordinator coordinator_;
  std::map<QuotaId, CoordinatorState> coordinated_;
  std::map<QuotaId, Share> shares_;
  std::map<QuotaId, Denial> denials_;
  std::int64_t last_number_ = 0;
  std::map<std::int64_t, PendingRequest> pending_;
  std::map<std::int64_t, TimedOutRequest> timed_out_;
  /** Send time of the oldest unanswered request to each entry. */
  std::map<std::string, core::SteadyTime> unanswered_since_;
  /** Recent answers, by the requesting entry and the request's number. */
  std::map<std::pair<std::string, std::int64_t>, CachedAnswer> cached_answers_;
  std::optional<PeerView> view_;
  /** Entries that were not suspected when the view was last made. */
  std::vector<std::string> candidates_;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_QUOTA_CLIENT_BASE_H_
