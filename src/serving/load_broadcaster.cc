/** @file load_broadcaster.cc Reports this entry's load to its peers. */
#include <algorithm>
#include <utility>
#include <vector>

#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "serving/load_broadcaster_base.h"

namespace sapphire::serving {

namespace {

/** Usage that began within this time is reported; older usage decays at the
 * peers. */
constexpr milliseconds kMaxUsageAge{8000};
/** Maximum age of the list of peer addresses. */
constexpr milliseconds kMaxAddressAge{500};
/** Maximum number of new peers that are greeted per turn. */
constexpr std::size_t kMaxGreetings = 16;

}  // namespace

LoadBroadcaster::LoadBroadcaster(
    BroadcastOptions options, const fleet::EngineLoads& loads,
    const fleet::PeerTable& peer_table, const ModelLoader& loader,
    PeerChannel& channel, const core::Executor& executor,
    const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      loads_(loads),
      peer_table_(peer_table),
      loader_(loader),
      channel_(channel),
      executor_(executor),
      clock_(clock),
      log_(log) {}

void LoadBroadcaster::Start() {
  core::Spawn(executor_, log_, "tell_entries",
              [this] { return SendPeriodically(); });
}

core::Task<> LoadBroadcaster::SendPeriodically() {
  while (true) {
    SendNext();
    co_await core::SleepFor(options_.pause);
  }
}

void LoadBroadcaster::RefreshPeers() {
  const core::SteadyTime now = clock_.Now();
  if (!addresses_.empty() && now - addresses_read_ < kMaxAddressAge) return;
  addresses_ = peer_table_.Addresses();
  std::erase_if(greeted_, [this](const std::string& it) {
    return std::ranges::find(addresses_, it) == addresses_.end();
  });
  addresses_read_ = now;
}

void LoadBroadcaster::SendNext() {
  RefreshPeers();
  if (addresses_.empty()) return;
  gen::EntryRecord record = Record();
  const bool is_idle =
      record.uses.empty() && record.loads.empty() && record.limits.empty();
  // Each peer has to learn once that nothing is in progress any more.
  idle_turns_ = is_idle ? idle_turns_ + 1 : 0;
  if (!heartbeats_ && idle_turns_ > addresses_.size()) return;
  record.number = ++number_;
  last_peer_ = (last_peer_ + 1) % addresses_.size();
  gen::EntryDatagram datagram;
  datagram.__set_record(record);
  channel_.Send(addresses_[last_peer_], datagram);
  greeted_.insert(addresses_[last_peer_]);
  if (heartbeats_) Greet(datagram);
}

/** Sends the datagram to new peers now instead of when their turn comes. */
void LoadBroadcaster::Greet(const gen::EntryDatagram& datagram) {
  std::size_t sent = 0;
  for (const std::string& it : addresses_) {
    if (sent == kMaxGreetings) return;
    if (!greeted_.insert(it).second) continue;
    channel_.Send(it, datagram);
    ++sent;
  }
}

gen::EntryRecord LoadBroadcaster::Record() const {
  const core::SteadyTime now = clock_.Now();
  gen::EntryRecord record;
  record.entry = options_.entry;
  record.number = number_;
  for (const auto& [instance, table] : loads_.RecentUsage(kMaxUsageAge)) {
    gen::EngineUse use;
    use.engine_instance = instance.value();
    for (const auto& [part, usage] : table) {
      use.parts.push_back(fleet::MakeResidentUse(part, usage, now));
    }
    record.uses.push_back(std::move(use));
  }
  for (const fleet::ComingLoad& it : loader_.PendingLoads()) {
    gen::ComingLoad load;
    load.engine_instance = it.instance.value();
    load.model = it.model.value();
    const auto left = std::chrono::duration_cast<milliseconds>(it.ready - now);
    load.ready_in_ms = left.count();
    load.from_weight_store = it.from_weight_store;
    record.loads.push_back(std::move(load));
  }
  for (const auto& [instance, per_second] :
       loads_.limits().RecentlyReported()) {
    gen::EngineLimit limit;
    limit.engine_instance = instance.value();
    limit.per_second = per_second;
    record.limits.push_back(std::move(limit));
  }
  record.store_load_ms = loader_.OwnStoreLoadTime().count();
  return record;
}

}  // namespace sapphire::serving
