/** @file quota_client_base.h Decides whether requests are within the quotas
 * that all entries share. */
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
  /** Key of this entry's presence, and its VM. */
  std::string entry;
  std::string vm;
  QuotaRules rules;
  /** How long a request may be delayed until the quota has room. */
  milliseconds wait_limit{200};
  /** An ask without an answer is sent again once after this. */
  milliseconds resend_after{40};
  /** After this, whoever coordinates then is asked. */
  milliseconds answer_limit{150};
  /** A coordinator that owes an answer for longer, and is not heard of
   * otherwise, is passed over. */
  milliseconds suspect_after{250};
  /** Without an answer for this long, a request goes by this entry's share. */
  milliseconds failover_limit{800};
};

/**
 * Each quota has one coordinating entry: the first by
 * rendezvous hashing among the entries that are not suspected. The others ask
 * it for each request, by datagram. Where it can't be reached, an entry goes by
 * an even share of the limit, so that the sum over all entries holds whatever
 * is cut from what.
 *
 * No network and no timers of its own: messages leave through a function, and
 * Tick is called when time has passed. One thread.
 */
class QuotaClient {
 public:
  using Done = std::function<void(const QuotaDecision&)>;
  using Send = std::function<void(const std::string& address,
                                  const gen::EntryDatagram& datagram)>;

  /** @pre All references outlive the client. */
  QuotaClient(QuotaClientOptions options, const fleet::PeerTable& peer_table,
              Send send, const core::Clock& clock, const core::Logger& log);

  /** Takes units of the quota. @param done Called once, perhaps at once. */
  void Take(const QuotaId& id, const SharedLimit& limit, double cost,
            Done done);

  /** Gives back what a request did not use. */
  void GiveBack(const QuotaId& id, const SharedLimit& limit, double cost);

  /** @param address Where the answer goes. */
  void OnAsk(const gen::QuotaAsk& ask, const std::string& address);
  void OnAnswer(const gen::QuotaAnswer& answer);

  /** Sends again or gives up what has waited long enough. */
  void Tick();

  /** @return How often Tick is to be called while something is pending. */
  [[nodiscard]] milliseconds TickPause() const { return options_.resend_after; }

  /** Drops what is no longer needed. */
  void Forget();

  /** @return Units in the bucket that this entry keeps of the quota. */
  [[nodiscard]] double LevelOf(const QuotaId& id) const {
    return coordinator_.LevelOf(id);
  }

  /** @return How many coordinators are passed over now. */
  [[nodiscard]] int suspected() const;

 private:
  struct Pending {
    QuotaId id;
    SharedLimit limit;
    double cost = 0;
    core::SteadyTime began;
    /** Who was asked; empty: nobody, it waits for another coordinator. */
    std::string entry;
    std::string address;
    core::SteadyTime sent;
    bool resent = false;
    bool redirected = false;
    Done done;
  };
  /** Entries as they were a moment ago, and who coordinates what. */
  struct View {
    core::SteadyTime made;
    /** Of the peer table that it was made from. */
    std::int64_t table = 0;
    std::vector<fleet::Peer> peers;
    /** Hash of each peer's VM. */
    std::vector<std::uint64_t> seeds;
    /** Counts changes of who may coordinate. */
    std::int64_t generation = 0;
    /** This one included, and those that were there a moment ago. */
    int entries = 1;
    /** Part of them that this one hears, itself included. */
    double heard_share = 1;
  };
  struct Answered {
    core::SteadyTime at;
    gen::QuotaAnswer answer;
  };
  /** This entry's even share of a limit. */
  struct Share {
    TokenBucket bucket;
    /** Of the view that it was last used with. */
    std::int64_t generation = 0;
  };
  /** What a coordinator said a moment ago. */
  struct Denial {
    /** Until then it answers for later requests too. */
    core::SteadyTime until;
    /** When the request that was denied may come back. */
    core::SteadyTime offer;
  };
  /** This entry's part in a quota that it coordinates. */
  struct Role {
    core::SteadyTime began;
    /** Of the view in which peers were last asked. */
    std::int64_t generation = 0;
    /** Peers that may know what others have granted before. */
    std::set<std::string> awaited;
    /** When the next candidates were last told of the quota's use. */
    core::SteadyTime told;
    /** When a coordinator that a peer named was last asked. */
    core::SteadyTime hinted;
  };
  /** An ask that was given up, whose answer may still come. */
  struct Abandoned {
    core::SteadyTime at;
    QuotaId id;
    SharedLimit limit;
    double cost = 0;
  };

  void NoteAlive();
  bool MayGrant(const QuotaId& id);
  void AskCandidates(const QuotaId& id, bool await);
  void TellCandidates(const QuotaId& id);
  [[nodiscard]] std::vector<const fleet::Peer*> Ranked(const QuotaId& id,
                                                       bool suspected_too);
  const View& CurrentView();
  [[nodiscard]] double HeardShare(const View& view) const;
  [[nodiscard]] bool IsIsolated();
  [[nodiscard]] bool IsSuspected(const std::string& entry) const;
  const fleet::Peer* FindCoordinator(const QuotaId& id);
  const fleet::Peer* FindCoordinator(const QuotaId& id, const std::string& but);
  void Dispatch(Pending pending);
  void Ask(Pending pending);
  void Park(Pending pending);
  void SendAsk(std::int64_t number, const Pending& pending);
  void Probe(const QuotaId& id, const std::string& entry,
             const std::string& address);
  void TakeHere(const Pending& pending);
  void TakeShare(const Pending& pending);
  void FillUsage(const QuotaId& id, const std::string& sender,
                 gen::QuotaAnswer& answer);
  void TakeUsage(const gen::QuotaAnswer& answer);
  void Redirect(Pending pending, const gen::QuotaAnswer& answer);
  void GiveUp(std::int64_t number, Pending pending);
  void NoteUnanswered(const Pending& pending);
  std::optional<gen::QuotaAnswer> AnswerTo(const gen::QuotaAsk& ask);

  const QuotaClientOptions options_;
  const fleet::PeerTable& peer_table_;
  const Send send_;
  const core::Clock& clock_;
  const core::Logger& log_;
  /** When this entry started, or woke from a freeze. */
  core::SteadyTime began_;
  /** When it was last known to run. */
  core::SteadyTime last_alive_;
  UsageTable usage_;
  QuotaCoordinator coordinator_;
  std::map<QuotaId, Role> roles_;
  std::map<QuotaId, Share> shares_;
  std::map<QuotaId, Denial> denials_;
  std::int64_t number_ = 0;
  std::map<std::int64_t, Pending> pending_;
  std::map<std::int64_t, Abandoned> abandoned_;
  /** Since when an entry owes an answer. */
  std::map<std::string, core::SteadyTime> unanswered_since_;
  /** Answers given lately, by entry and number. */
  std::map<std::pair<std::string, std::int64_t>, Answered> answered_;
  std::optional<View> view_;
  /** Who was not passed over, when the view was last made. */
  std::vector<std::string> candidates_;
};

}  // namespace sapphire::quota

#endif  // SAPPHIRE_QUOTA_QUOTA_CLIENT_BASE_H_
