/** @file entry_gossip.cc Entries tell each other what they send. */
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "core/address_func.h"
#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "serving/entry_gossip_base.h"

namespace sapphire::serving {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/** Use that began within this is told; what is older fades at the others. */
constexpr milliseconds kToldFor{8000};
/** Between two log lines on datagrams that can't be sent or read. */
constexpr milliseconds kFailurePause{5000};

udp::endpoint ParseUdp(const std::string& address) {
  const asio::ip::tcp::endpoint parsed = core::ParseAddress(address);
  return {parsed.address(), parsed.port()};
}

}  // namespace

EntryGossip::EntryGossip(GossipOptions options, const fleet::EngineLoads& loads,
                         fleet::EntryBoard& board, const ModelWaker& waker,
                         const core::Executor& executor,
                         const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      loads_(loads),
      board_(board),
      waker_(waker),
      executor_(executor),
      clock_(clock),
      log_(log),
      socket_(executor) {}

void EntryGossip::Start() {
  const udp::endpoint endpoint = ParseUdp(options_.listen);
  boost::system::error_code ec;
  socket_.open(endpoint.protocol(), ec);
  if (!ec) socket_.bind(endpoint, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) {
    throw core::Error(core::ErrorCode::kBadSettings,
                      options_.listen + " (udp): " + ec.message());
  }
  core::Spawn(executor_, log_, "tell_entries",
              [this] { return TellByTurns(); });
  core::Spawn(executor_, log_, "take_records", [this] { return TakeAll(); });
}

core::Task<> EntryGossip::TellByTurns() {
  while (true) {
    TellNext();
    co_await core::SleepFor(options_.pause);
  }
}

void EntryGossip::TellNext() {
  const std::vector<std::string> others = board_.Addresses();
  if (others.empty()) return;
  gen::EntryRecord record = Record();
  const bool is_idle = record.uses.empty() && record.loads.empty();
  // Each of the others has to hear once that nothing is in progress any more.
  idle_turns_ = is_idle ? idle_turns_ + 1 : 0;
  if (idle_turns_ > others.size()) return;
  record.number = ++number_;
  turn_ = (turn_ + 1) % others.size();
  const std::string bytes = fleet::Encode(record);
  boost::system::error_code ec;
  socket_.send_to(asio::buffer(bytes), ParseUdp(others[turn_]), 0, ec);
  if (ec) NoteFailure(ec.message().c_str());
}

gen::EntryRecord EntryGossip::Record() const {
  const core::SteadyTime now = clock_.Now();
  gen::EntryRecord record;
  record.entry = options_.entry;
  record.number = number_;
  for (const auto& [instance, table] : loads_.RecentUse(kToldFor)) {
    gen::EngineUse use;
    use.engine_instance = instance.value();
    for (const auto& [part, usage] : table) {
      use.parts.push_back(fleet::TellUse(part, usage, now));
    }
    record.uses.push_back(std::move(use));
  }
  for (const fleet::ComingLoad& it : waker_.Asked()) {
    gen::ComingLoad load;
    load.engine_instance = it.instance.value();
    load.model = it.model.value();
    const auto left = std::chrono::duration_cast<milliseconds>(it.ready - now);
    load.ready_in_ms = left.count();
    load.from_weight_store = it.from_weight_store;
    record.loads.push_back(std::move(load));
  }
  record.store_load_ms = waker_.OwnStoreLoad().count();
  return record;
}

core::Task<> EntryGossip::TakeAll() {
  while (true) {
    udp::endpoint sender;
    const auto [ec, n] = co_await socket_.async_receive_from(
        asio::buffer(buf_), sender, asio::as_tuple(asio::use_awaitable));
    if (ec) {
      NoteFailure(ec.message().c_str());
      co_await core::SleepFor(options_.pause);
      continue;
    }
    try {
      board_.Take(fleet::DecodeRecord(std::string_view(buf_.data(), n)));
    } catch (const core::Error& e) {
      NoteFailure(e.what());
    }
  }
}

/** Datagrams of strangers, or a full link, fill the log with one line now and
 * then. */
void EntryGossip::NoteFailure(const char* what) {
  const core::SteadyTime now = clock_.Now();
  ++failures_;
  if (failure_logged_ && now - *failure_logged_ < kFailurePause) return;
  failure_logged_ = now;
  log_.Event(core::LogLevel::kWarning, core::LogCategory::kLink,
             "datagram_failed", {{"error", what}, {"so_far", failures_}});
}

}  // namespace sapphire::serving
