/** @file peer_channel.cc Exchanges datagrams with other entries. */
#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <string_view>
#include <utility>

#include "core/address_func.h"
#include "core/error_type.h"
#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "serving/peer_channel_base.h"

namespace sapphire::serving {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

namespace {

/** Pause between two log lines on datagrams that can't be sent or read. */
constexpr milliseconds kFailurePause{5000};
/** Pause after a failed receive. */
constexpr milliseconds kRetryPause{50};

udp::endpoint ParseUdp(const std::string& address) {
  const asio::ip::tcp::endpoint parsed = core::ParseAddress(address);
  return {parsed.address(), parsed.port()};
}

}  // namespace

PeerChannel::PeerChannel(std::string listen, Receive receive,
                         const core::Executor& executor,
                         const core::Clock& clock, const core::Logger& log)
    : listen_(std::move(listen)),
      receive_(std::move(receive)),
      executor_(executor),
      clock_(clock),
      log_(log),
      socket_(executor) {}

void PeerChannel::Start() {
  const udp::endpoint endpoint = ParseUdp(listen_);
  boost::system::error_code ec;
  socket_.open(endpoint.protocol(), ec);
  if (!ec) socket_.bind(endpoint, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) {
    throw core::Error(core::ErrorCode::kBadSettings,
                      listen_ + " (udp): " + ec.message());
  }
  core::Spawn(executor_, log_, "receive_datagrams",
              [this] { return ReceiveAll(); });
}

void PeerChannel::Send(const std::string& address,
                       const gen::EntryDatagram& datagram) {
  const std::string bytes = fleet::Encode(datagram);
  boost::system::error_code ec;
  try {
    socket_.send_to(asio::buffer(bytes), ParseUdp(address), 0, ec);
  } catch (const core::Error& e) {
    LogFailure(e.what());
  }
  if (ec) LogFailure(ec.message().c_str());
}

core::Task<> PeerChannel::ReceiveAll() {
  while (true) {
    udp::endpoint sender;
    const auto [ec, n] = co_await socket_.async_receive_from(
        asio::buffer(buf_), sender, asio::as_tuple(asio::use_awaitable));
    if (ec) {
      LogFailure(ec.message().c_str());
      co_await core::SleepFor(kRetryPause);
      continue;
    }
    Deliver(n, sender);
  }
}

void PeerChannel::Deliver(std::size_t n, const udp::endpoint& sender) {
  try {
    const gen::EntryDatagram datagram =
        fleet::DecodeDatagram(std::string_view(buf_.data(), n));
    receive_(datagram,
             fmt::format("{}:{}", sender.address().to_string(), sender.port()));
  } catch (const core::Error& e) {
    LogFailure(e.what());
  }
}

/** Counts a failure; limits the log lines that foreign datagrams or a congested
 * link can cause. */
void PeerChannel::LogFailure(const char* what) {
  const core::SteadyTime now = clock_.Now();
  ++failures_;
  if (failure_logged_ && now - *failure_logged_ < kFailurePause) return;
  failure_logged_ = now;
  log_.Event(core::LogLevel::kWarning, core::LogCategory::kLink,
             "datagram_failed", {{"error", what}, {"so_far", failures_}});
}

}  // namespace sapphire::serving
