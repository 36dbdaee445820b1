/** @file stream_directory.cc Finds the software version that began a stream,
 * with the other entries. */
#include <algorithm>
#include <utility>

#include "core/random_func.h"
#include "streams/stream_directory_base.h"

namespace sapphire::streams {

namespace {

/** Origins in one datagram, which is at most 60 kB long. */
constexpr std::size_t kMaxOriginsPerDatagram = 200;

/** @return The peers by rendezvous hashing: those that keep the attempt's
 * origin come first. */
std::vector<const fleet::Peer*> RankPeers(const std::vector<fleet::Peer>& peers,
                                          const core::RequestId& attempt) {
  std::vector<std::pair<std::uint64_t, const fleet::Peer*>> ranked;
  ranked.reserve(peers.size());
  for (const fleet::Peer& it : peers) {
    const std::uint64_t rank =
        core::HashOf(attempt.value(), core::HashOf(it.entry));
    ranked.emplace_back(rank, &it);
  }
  std::ranges::sort(ranked, std::ranges::greater());
  std::vector<const fleet::Peer*> sorted;
  sorted.reserve(ranked.size());
  for (const auto& [rank, peer] : ranked) sorted.push_back(peer);
  return sorted;
}

std::vector<std::string> ToNames(const VersionSet& versions) {
  std::vector<std::string> names;
  for (const fleet::SoftwareVersion& it : versions) names.push_back(it.value());
  return names;
}

VersionSet FromNames(const std::vector<std::string>& names) {
  VersionSet versions;
  for (const std::string& it : names) versions.emplace(it);
  return versions;
}

}  // namespace

std::string_view NameOf(OriginSource source) {
  switch (source) {
    case OriginSource::kOwnRecord:
      return "own_record";
    case OriginSource::kPeer:
      return "peer";
    case OriginSource::kOnlyVersion:
      return "only_version";
    case OriginSource::kUnknown:
      return "unknown";
  }
  return "";
}

StreamDirectory::StreamDirectory(DirectoryOptions options,
                                 VersionHistory& history,
                                 const fleet::PeerTable& peer_table,
                                 std::function<bool()> view_is_current,
                                 Send send, const core::Clock& clock)
    : options_(std::move(options)),
      history_(history),
      peer_table_(peer_table),
      view_is_current_(std::move(view_is_current)),
      send_(std::move(send)),
      clock_(clock),
      table_(clock) {}

void StreamDirectory::SetLongestStream(milliseconds time) {
  history_.SetMaxAge(std::max(kMinStreamAge, 2 * time));
}

void StreamDirectory::Record(const core::RequestId& attempt,
                             const core::ServiceId& service,
                             const fleet::SoftwareVersion& version) {
  const StreamOrigin origin{attempt, service, version, clock_.Now()};
  table_.Put(origin);
  if (history_.HasSeveral(service)) Publish(origin);
}

void StreamDirectory::Publish(const StreamOrigin& origin) {
  gen::StreamOrigins message;
  message.origins.push_back(ToMessage(origin));
  const std::vector<fleet::Peer> peers = peer_table_.Peers();
  std::size_t sent = 0;
  for (const fleet::Peer* it : RankPeers(peers, origin.attempt)) {
    if (sent++ == options_.holders) return;
    SendOrigins(it->address, message);
  }
}

void StreamDirectory::SendOrigins(const std::string& address,
                                  gen::StreamOrigins message) {
  message.entry = options_.entry;
  gen::EntryDatagram datagram;
  datagram.__set_stream_origins(message);
  send_(address, datagram);
}

/** Sends the origins of these services to their holders, many at a time. */
void StreamDirectory::PublishAll(const std::set<core::ServiceId>& services) {
  const std::vector<fleet::Peer> peers = peer_table_.Peers();
  std::map<std::string, gen::StreamOrigins> by_address;
  for (const StreamOrigin& origin : table_.origins()) {
    if (!services.contains(origin.service)) continue;
    std::vector<const fleet::Peer*> holders = RankPeers(peers, origin.attempt);
    holders.resize(std::min(holders.size(), options_.holders));
    for (const fleet::Peer* it : holders) {
      gen::StreamOrigins& message = by_address[it->address];
      message.origins.push_back(ToMessage(origin));
      if (message.origins.size() < kMaxOriginsPerDatagram) continue;
      SendOrigins(it->address, std::exchange(message, {}));
    }
  }
  for (auto& [address, message] : by_address) {
    if (!message.origins.empty()) SendOrigins(address, std::move(message));
  }
}

core::Task<OriginLookup> StreamDirectory::Find(core::RequestId attempt,
                                               core::ServiceId service) {
  OriginLookup lookup;
  std::optional<StreamOrigin> origin = table_.Find(attempt, history_.max_age());
  if (origin) {
    lookup.source = OriginSource::kOwnRecord;
    lookup.evidence = EvidenceOf(service);
  } else {
    const std::shared_ptr<Search> search = BeginSearch(attempt, service);
    co_await RunSearch(search);
    lookup.asked = static_cast<int>(search->asked);
    lookup.evidence = EvidenceOf(service);
    lookup.evidence.answered = search->answered;
    lookup.evidence.vouched = search->vouched.has_value();
    origin = search->found;
    if (origin) {
      lookup.source = OriginSource::kPeer;
    } else {
      lookup.version = OnlyVersion(*search);
      if (lookup.version) lookup.source = OriginSource::kOnlyVersion;
    }
  }
  if (origin) {
    lookup.version = origin->version;
    lookup.age =
        std::chrono::duration_cast<milliseconds>(clock_.Now() - origin->at);
  }
  co_return lookup;
}

OriginEvidence StreamDirectory::EvidenceOf(const core::ServiceId& service) {
  OriginEvidence evidence;
  evidence.recent_versions = static_cast<int>(history_.Recent(service).size());
  const VersionSet* const stored = history_.Stored(service);
  if (stored != nullptr) {
    evidence.stored_versions = static_cast<int>(stored->size());
  }
  evidence.followed = history_.Followed();
  evidence.view_late = !view_is_current_();
  return evidence;
}

std::shared_ptr<StreamDirectory::Search> StreamDirectory::BeginSearch(
    const core::RequestId& attempt, const core::ServiceId& service) {
  auto search = std::make_shared<Search>();
  search->service = service;
  gen::StreamAsk ask;
  ask.entry = options_.entry;
  ask.number = ++last_number_;
  ask.request_id = attempt.value();
  ask.service_id = service.value();
  search->question.__set_stream_ask(ask);
  const std::vector<fleet::Peer> peers = peer_table_.Peers();
  for (const fleet::Peer* it : RankPeers(peers, attempt)) {
    search->peers.push_back(*it);
  }
  searches_[ask.number] = search;
  return search;
}

/** Asks the first `n` peers that were not asked before. */
void StreamDirectory::AskUpTo(Search& search, std::size_t n) {
  for (; search.asked < std::min(n, search.peers.size()); ++search.asked) {
    const fleet::Peer& peer = search.peers[search.asked];
    search.unanswered.insert(peer.entry);
    send_(peer.address, search.question);
  }
}

/** Asks the holders of the origin; then all others, if the origin is needed
 * because several versions serve, or may have served lately: of those that
 * answer, one may have seen a version that this entry has missed. */
core::Task<> StreamDirectory::RunSearch(std::shared_ptr<Search> search) {
  const core::SteadyTime began = clock_.Now();
  AskUpTo(*search, options_.holders);
  co_await Await(search, began + options_.holder_timeout);
  const bool is_needed = history_.HasSeveral(search->service) ||
                         !KnowsAllVersions(search->service);
  if (!search->found && is_needed) {
    AskUpTo(*search, search->peers.size());
    co_await Await(search, began + options_.timeout);
  }
  searches_.erase(search->question.stream_ask.number);
}

bool StreamDirectory::KnowsAllVersions(const core::ServiceId& service) const {
  return view_is_current_() && history_.IsComplete(service);
}

/** @return The only version that has lately served, unless another one may have
 * been missed by this entry and by those that have answered. */
std::optional<fleet::SoftwareVersion> StreamDirectory::OnlyVersion(
    const Search& search) {
  VersionSet versions = history_.Recent(search.service);
  if (search.vouched) {
    versions.insert(search.vouched->begin(), search.vouched->end());
  }
  const bool is_known = search.vouched || KnowsAllVersions(search.service);
  if (versions.size() != 1 || !is_known) return std::nullopt;
  return *versions.begin();
}

/** Waits until the origin is found, all who were asked have answered, or the
 * time is over. */
core::Task<> StreamDirectory::Await(std::shared_ptr<Search> search,
                                    core::SteadyTime until) {
  while (!search->found && !search->unanswered.empty()) {
    const core::SteadyTime now = clock_.Now();
    if (now >= until) co_return;
    const auto left = std::chrono::ceil<milliseconds>(until - now);
    co_await search->changed.Wait(search->changed.epoch(), left);
  }
}

void StreamDirectory::OnOrigins(const gen::StreamOrigins& message) {
  for (const gen::StreamOrigin& it : message.origins) {
    table_.Put(FromMessage(it));
  }
}

void StreamDirectory::OnAsk(const gen::StreamAsk& ask,
                            const std::string& address) {
  gen::StreamAnswer answer;
  answer.entry = options_.entry;
  answer.number = ask.number;
  const auto origin =
      table_.Find(core::RequestId(ask.request_id), history_.max_age());
  if (origin) answer.__set_origin(ToMessage(*origin));
  const core::ServiceId service(ask.service_id);
  answer.versions = ToNames(history_.Observed(service));
  // While the store is away for all entries, none has a current view, and no
  // engine can register.
  if (history_.IsComplete(service)) {
    answer.__set_all_versions(ToNames(history_.Recent(service)));
  }
  gen::EntryDatagram datagram;
  datagram.__set_stream_answer(answer);
  send_(address, datagram);
}

void StreamDirectory::OnAnswer(const gen::StreamAnswer& answer) {
  const auto it = searches_.find(answer.number);
  // A former presence on this VM leads here too.
  const bool is_own = answer.entry == options_.entry;
  if (it == searches_.end() || is_own) return;
  Search& search = *it->second;
  const bool is_of_another_attempt =
      answer.__isset.origin &&
      answer.origin.request_id != search.question.stream_ask.request_id;
  if (is_of_another_attempt) return;
  search.unanswered.erase(answer.entry);
  ++search.answered;
  history_.Add(search.service, FromNames(answer.versions));
  if (answer.__isset.all_versions) {
    if (!search.vouched) search.vouched.emplace();
    search.vouched->merge(FromNames(answer.all_versions));
  }
  if (answer.__isset.origin) search.found = FromMessage(answer.origin);
  search.changed.Notify();
}

void StreamDirectory::Maintain() {
  history_.Update();
  table_.Expire(history_.max_age());
  std::set<core::ServiceId> several;
  std::set<core::ServiceId> added;
  for (const core::ServiceId& it : history_.Services()) {
    if (!history_.HasSeveral(it)) continue;
    several.insert(it);
    if (!published_.contains(it)) added.insert(it);
  }
  published_ = std::move(several);
  if (!added.empty()) PublishAll(added);
}

void StreamDirectory::HandOver() { PublishAll(published_); }

gen::StreamOrigin StreamDirectory::ToMessage(const StreamOrigin& origin) const {
  gen::StreamOrigin message;
  message.request_id = origin.attempt.value();
  message.service_id = origin.service.value();
  message.software_version = origin.version.value();
  const auto age =
      std::chrono::duration_cast<milliseconds>(clock_.Now() - origin.at);
  message.age_ms = age.count();
  return message;
}

StreamOrigin StreamDirectory::FromMessage(
    const gen::StreamOrigin& origin) const {
  StreamOrigin read;
  read.attempt = core::RequestId(origin.request_id);
  read.service = core::ServiceId(origin.service_id);
  read.version = fleet::SoftwareVersion(origin.software_version);
  read.at =
      clock_.Now() - milliseconds(std::max<std::int64_t>(origin.age_ms, 0));
  return read;
}

}  // namespace sapphire::streams
