/** @file relay.cc A TCP relay that drops, delays and resets connections. */
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "core/address_func.h"
#include "core/task_func.h"
#include "core/task_type.h"
#include "tests/relay_base.h"

namespace sapphire::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

using Socket = std::shared_ptr<tcp::socket>;

/** Fault settings of one direction. */
struct DirectionFaults {
  std::atomic<bool> cut{false};
  std::atomic<std::int64_t> delay_ms{0};
};

/** Resets the connection instead of closing it in an orderly way. */
void ResetSocket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

/** Forwards one direction until it ends; the other side sees how it ended. Once
 * bytes were dropped, an orderly end can't be delivered any more. */
Task<> Pump(Socket from, Socket to, std::shared_ptr<DirectionFaults> faults) {
  std::array<char, 16384> buf;
  bool is_broken = false;
  while (true) {
    const auto [ec, n] =
        co_await from->async_read_some(asio::buffer(buf), kTuple);
    if (ec) {
      is_broken = is_broken || ec == asio::error::connection_reset;
      break;
    }
    if (faults->cut) {
      is_broken = true;
      continue;
    }
    const std::chrono::milliseconds delay(faults->delay_ms.load());
    if (delay.count() > 0) {
      co_await core::SleepFor(delay);
    }
    const auto [write_ec, written] =
        co_await asio::async_write(*to, asio::buffer(buf.data(), n), kTuple);
    if (write_ec) break;
  }
  boost::system::error_code ignored;
  from->close(ignored);
  if (is_broken && to->is_open()) {
    ResetSocket(*to);
  } else {
    to->close(ignored);
  }
}

}  // namespace

struct Relay::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, const std::string& target_address)
      : strand(asio::make_strand(io)),
        acceptor(strand),
        target(core::ParseAddress(target_address)) {}

  void ResetAll() {
    for (const std::weak_ptr<tcp::socket>& it : std::exchange(sockets, {})) {
      const Socket socket = it.lock();
      if (!socket || !socket->is_open()) continue;
      ResetSocket(*socket);
    }
  }

  void Accept() {
    asio::co_spawn(
        strand, [self = shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
  }

  Task<> AcceptLoop() {
    const auto self = shared_from_this();
    while (true) {
      // Both sockets use the relay's strand, because either pump closes both.
      const auto near = std::make_shared<tcp::socket>(strand);
      const auto [ec] = co_await acceptor.async_accept(*near, kTuple);
      if (ec) break;
      const auto far = std::make_shared<tcp::socket>(strand);
      const auto [far_ec] = co_await far->async_connect(target, kTuple);
      if (far_ec) continue;
      std::erase_if(sockets, [](const auto& it) { return it.expired(); });
      sockets.insert(sockets.end(), {near, far});
      asio::co_spawn(strand, Pump(near, far, to_target), asio::detached);
      asio::co_spawn(strand, Pump(far, near, from_target), asio::detached);
    }
  }

  asio::strand<asio::io_context::executor_type> strand;
  tcp::acceptor acceptor;
  const tcp::endpoint target;
  std::string closed_address;
  std::vector<std::weak_ptr<tcp::socket>> sockets;
  const std::shared_ptr<DirectionFaults> to_target =
      std::make_shared<DirectionFaults>();
  const std::shared_ptr<DirectionFaults> from_target =
      std::make_shared<DirectionFaults>();
};

Relay::Relay(asio::io_context& io, const std::string& target,
             const std::string& listen)
    : state_(std::make_shared<State>(io, target)) {
  core::ListenOn(state_->acceptor, listen);
  state_->Accept();
}

Relay::~Relay() {
  asio::post(state_->strand, [state = state_] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
}

std::string Relay::address() const {
  return core::AddressText(state_->acceptor);
}

void Relay::Cut(bool to_target, bool from_target) {
  state_->to_target->cut = to_target;
  state_->from_target->cut = from_target;
}

void Relay::Delay(std::chrono::milliseconds delay) {
  state_->to_target->delay_ms = delay.count();
  state_->from_target->delay_ms = delay.count();
}

void Relay::Reset() {
  asio::post(state_->strand, [state = state_] { state->ResetAll(); });
}

void Relay::Close() {
  asio::post(state_->strand, [state = state_] {
    boost::system::error_code ignored;
    state->closed_address = core::AddressText(state->acceptor);
    state->acceptor.close(ignored);
    state->ResetAll();
  });
}

void Relay::Reopen() {
  asio::post(state_->strand, [state = state_] {
    if (state->acceptor.is_open()) return;
    core::ListenOn(state->acceptor, state->closed_address);
    state->Accept();
  });
}

}  // namespace sapphire::tests
