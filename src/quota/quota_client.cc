/** @file quota_client.cc Decides whether requests are within the quotas that
 * all entries share: requests, answers and timeouts. */
#include <algorithm>
#include <utility>

#include "quota/quota_client_base.h"
#include "quota/token_bucket_func.h"

namespace sapphire::quota {

using core::LogCategory;
using core::LogLevel;

namespace {

/** Longest time for which a denial applies to later requests too. */
constexpr milliseconds kMaxDenialCacheTime{100};
/** An entry is suspected for at most this time. */
constexpr std::chrono::seconds kSuspicionTimeout{30};
/** How long answers are kept in case their requests are repeated, and requests
 * that timed out in case their answers arrive late. */
constexpr milliseconds kAnswerRetention{2000};

}  // namespace

QuotaClient::QuotaClient(QuotaClientOptions options,
                         const fleet::PeerTable& peer_table, Send send,
                         const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      peer_table_(peer_table),
      send_(std::move(send)),
      clock_(clock),
      log_(log),
      running_since_(clock.Now()),
      last_call_(running_since_),
      usage_(options_.entry, options_.rules.window, clock),
      coordinator_(options_.rules, usage_, clock) {}

void QuotaClient::Take(const QuotaId& id, const SharedLimit& limit, double cost,
                       DecisionCallback done) {
  DetectFreeze();
  const core::SteadyTime now = clock_.Now();
  const auto denial = denials_.find(id);
  if (denial != denials_.end() && now < denial->second.until) {
    done({false, QuotaSource::kDenial,
          std::chrono::ceil<milliseconds>(denial->second.retry_at - now)});
    return;
  }
  PendingRequest pending;
  pending.id = id;
  pending.limit = limit;
  pending.cost = cost;
  pending.started = now;
  pending.done = std::move(done);
  Dispatch(std::move(pending));
}

void QuotaClient::Dispatch(PendingRequest pending) {
  const bool waited_out =
      clock_.Now() - pending.started >= options_.failover_timeout;
  if (waited_out || IsIsolated()) {
    TakeFromShare(pending);
    return;
  }
  const fleet::Peer* coordinator = FindCoordinator(pending.id);
  if (coordinator == nullptr) {
    if (MayGrant(pending.id)) {
      TakeAsCoordinator(pending);
    } else {
      Defer(std::move(pending));
    }
    return;
  }
  coordinated_.erase(pending.id);
  pending.entry = coordinator->entry;
  pending.address = coordinator->address;
  pending.resent = false;
  pending.redirected = false;
  StartRequest(std::move(pending));
}

void QuotaClient::TakeAsCoordinator(const PendingRequest& pending) {
  const PeerView& view = CurrentView();
  QuotaDecision decision = coordinator_.Take(
      pending.id, pending.limit, pending.cost,
      {view.reachable_fraction, view.generation}, options_.wait_limit);
  decision.source = QuotaSource::kSelf;
  ReportToCandidates(pending.id);
  pending.done(decision);
}

/** Decides by this entry's even share of the limit. The sum of all shares is at
 * most the limit, and a request is granted only if the share's bucket holds all
 * of its cost. */
void QuotaClient::TakeFromShare(const PendingRequest& pending) {
  coordinated_.erase(pending.id);
  const PeerView& view = CurrentView();
  const auto entries = static_cast<double>(view.entries);
  const BucketLimit own{pending.limit.limit.per_second / entries,
                        pending.limit.limit.burst / entries};
  const auto [it, is_new] = shares_.try_emplace(pending.id);
  Share& share = it->second;
  // Units that accrued while a coordinator granted the limit must not count.
  if (is_new || share.generation != view.generation) {
    share.generation = view.generation;
    share.bucket = {std::min(share.bucket.level, 0.0), clock_.Now()};
  }
  Refill(share.bucket, own, clock_.Now());
  QuotaDecision decision;
  decision.source = QuotaSource::kShare;
  decision.granted = TryTake(share.bucket, pending.cost);
  if (decision.granted) usage_.RecordGrant(pending.id, pending.cost);
  if (!decision.granted) decision.delay = options_.failover_timeout;
  pending.done(decision);
}

void QuotaClient::StartRequest(PendingRequest pending) {
  pending.sent_at = clock_.Now();
  const std::int64_t number = ++last_number_;
  SendRequest(number, pending);
  pending_.emplace(number, std::move(pending));
}

void QuotaClient::SendRequest(std::int64_t number,
                              const PendingRequest& pending) {
  gen::QuotaAsk ask;
  ask.entry = options_.entry;
  ask.number = number;
  ask.quota = pending.id.value();
  ask.units = pending.cost;
  ask.version = pending.limit.version;
  ask.units_per_second = pending.limit.limit.per_second;
  ask.burst = pending.limit.limit.burst;
  ask.wait_ms = options_.wait_limit.count();
  ask.usage = pending.cost == 0 ? usage_.Export(pending.id)
                                : usage_.ExportOwn(pending.id);
  gen::EntryDatagram datagram;
  datagram.__set_quota_ask(ask);
  send_(pending.address, datagram);
}

void QuotaClient::GiveBack(const QuotaId& id, const SharedLimit& limit,
                           double cost) {
  const fleet::Peer* coordinator = FindCoordinator(id);
  if (coordinator == nullptr) {
    coordinator_.GiveBack(id, cost);
    return;
  }
  PendingRequest pending;
  pending.id = id;
  pending.limit = limit;
  pending.cost = -cost;
  pending.address = coordinator->address;
  SendRequest(++last_number_, pending);
}

void QuotaClient::OnRequest(const gen::QuotaAsk& ask,
                            const std::string& address) {
  DetectFreeze();
  if (!ask.quota.empty()) usage_.Merge(QuotaId(ask.quota), ask.usage);
  if (ask.units < 0) {
    coordinator_.GiveBack(QuotaId(ask.quota), -ask.units);
    return;
  }
  const auto key = std::pair(ask.entry, ask.number);
  auto known = cached_answers_.find(key);
  if (known == cached_answers_.end()) {
    std::optional<gen::QuotaAnswer> answer = MakeAnswer(ask);
    // No answer yet: the sender resends its request.
    if (!answer) return;
    known =
        cached_answers_.emplace(key, CachedAnswer{clock_.Now(), *answer}).first;
  }
  gen::EntryDatagram datagram;
  datagram.__set_quota_answer(known->second.answer);
  send_(address, datagram);
}

/** @return The answer; nothing while this entry may not grant yet. */
std::optional<gen::QuotaAnswer> QuotaClient::MakeAnswer(
    const gen::QuotaAsk& ask) {
  gen::QuotaAnswer answer;
  answer.entry = options_.entry;
  answer.number = ask.number;
  answer.verdict = gen::QuotaVerdict::GRANTED;
  const QuotaId id(ask.quota);
  if (ask.units == 0) {
    if (!ask.quota.empty()) AddUsage(id, ask.entry, answer);
    return answer;
  }
  const fleet::Peer* better = FindCoordinator(id);
  if (better != nullptr) {
    coordinated_.erase(id);
    answer.verdict = gen::QuotaVerdict::NOT_COORDINATOR;
    answer.coordinator = better->entry;
    answer.coordinator_address = better->address;
    // The sender may have got no answer from it, so check whether it is alive.
    Probe(id, better->entry, better->address);
    return answer;
  }
  if (!MayGrant(id)) return std::nullopt;
  const SharedLimit limit{ask.version, {ask.units_per_second, ask.burst}};
  const PeerView& view = CurrentView();
  const QuotaDecision decision = coordinator_.Take(
      id, limit, ask.units, {view.reachable_fraction, view.generation},
      milliseconds(ask.wait_ms));
  ReportToCandidates(id);
  answer.delay_ms = decision.delay.count();
  if (!decision.granted) answer.verdict = gen::QuotaVerdict::DENIED;
  return answer;
}

void QuotaClient::OnAnswer(const gen::QuotaAnswer& answer) {
  DetectFreeze();
  unanswered_since_.erase(answer.entry);
  if (!answer.quota.empty()) ApplyUsage(answer);
  const auto it = pending_.find(answer.number);
  if (it == pending_.end()) {
    const auto late = timed_out_.extract(answer.number);
    if (late.empty() || answer.verdict != gen::QuotaVerdict::GRANTED) return;
    GiveBack(late.mapped().id, late.mapped().limit, late.mapped().cost);
    return;
  }
  PendingRequest pending = std::move(it->second);
  pending_.erase(it);
  if (!pending.done) return;
  QuotaDecision decision;
  decision.source = QuotaSource::kCoordinator;
  decision.granted = answer.verdict == gen::QuotaVerdict::GRANTED;
  if (answer.verdict == gen::QuotaVerdict::NOT_COORDINATOR) {
    Redirect(std::move(pending), answer);
    return;
  }
  decision.delay = milliseconds(answer.delay_ms);
  if (!decision.granted) {
    const core::SteadyTime now = clock_.Now();
    denials_[pending.id] = {now + std::min(decision.delay, kMaxDenialCacheTime),
                            now + decision.delay};
  }
  pending.done(decision);
}

/** Sends the request to the coordinator that the answer names, once: an entry
 * that has just joined is known to some entries only. */
void QuotaClient::Redirect(PendingRequest pending,
                           const gen::QuotaAnswer& answer) {
  const bool usable = !answer.coordinator_address.empty() &&
                      answer.coordinator != options_.entry &&
                      !IsSuspected(answer.coordinator);
  if (pending.redirected || !usable) {
    Defer(std::move(pending));
    return;
  }
  pending.redirected = true;
  pending.resent = false;
  pending.entry = answer.coordinator;
  pending.address = answer.coordinator_address;
  StartRequest(std::move(pending));
}

/** Keeps the request until Tick looks for a coordinator again, as the entries
 * don't agree on one yet. */
void QuotaClient::Defer(PendingRequest pending) {
  pending.sent_at = clock_.Now();
  pending.entry.clear();
  pending_.emplace(++last_number_, std::move(pending));
}

void QuotaClient::Tick() {
  DetectFreeze();
  for (const auto& [id, role] : coordinated_) ReportToCandidates(id);
  const core::SteadyTime now = clock_.Now();
  std::vector<std::int64_t> due;
  for (auto& [number, it] : pending_) {
    const bool parked = it.entry.empty();
    const milliseconds limit =
        parked ? options_.resend_after : options_.answer_timeout;
    if (now - it.sent_at >= limit) {
      due.push_back(number);
    } else if (!parked && now - it.sent_at >= options_.resend_after &&
               !it.resent) {
      it.resent = true;
      SendRequest(number, it);
    }
  }
  for (const std::int64_t number : due) {
    HandleTimeout(number, std::move(pending_.extract(number).mapped()));
  }
}

void QuotaClient::HandleTimeout(std::int64_t number, PendingRequest pending) {
  if (!pending.entry.empty()) RecordUnanswered(pending);
  if (!pending.done) return;
  // A deferred request is recorded too, although it was never sent.
  timed_out_[number] = {clock_.Now(), pending.id, pending.limit, pending.cost};
  Dispatch(std::move(pending));
}

void QuotaClient::RecordUnanswered(const PendingRequest& pending) {
  const auto [it, is_new] =
      unanswered_since_.try_emplace(pending.entry, pending.sent_at);
  const auto last_received = peer_table_.LastReceivedFrom(pending.entry);
  if (!is_new && last_received && *last_received >= it->second) {
    it->second = pending.sent_at;
  }
  log_.Event(LogLevel::kWarning, LogCategory::kLink, "quota_unanswered",
             {{"entry", pending.entry},
              {"quota", pending.id},
              {"since_ms", std::chrono::duration_cast<milliseconds>(
                               clock_.Now() - it->second)},
              {"suspected", IsSuspected(pending.entry)}});
}

void QuotaClient::Forget() {
  const core::SteadyTime now = clock_.Now();
  coordinator_.Forget();
  usage_.Forget();
  const auto is_old = [now](const auto& it) {
    return now - it.second.at >= kAnswerRetention;
  };
  std::erase_if(cached_answers_, is_old);
  std::erase_if(timed_out_, is_old);
  std::erase_if(denials_,
                [now](const auto& it) { return it.second.until <= now; });
  std::erase_if(unanswered_since_, [this, now](const auto& it) {
    const auto last_received = peer_table_.LastReceivedFrom(it.first);
    return (last_received && *last_received >= it.second) ||
           now - it.second >= kSuspicionTimeout;
  });
}

}  // namespace sapphire::quota
