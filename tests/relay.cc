/** @file relay.cc A TCP relay that can cut a link one way or both ways. */
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "core/address_func.h"
#include "core/task_type.h"
#include "tests/relay_base.h"

namespace sapphire::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

using Socket = std::shared_ptr<tcp::socket>;

Task<> Pump(Socket from, Socket to, std::shared_ptr<std::atomic<bool>> cut) {
  std::array<char, 16384> buf;
  while (true) {
    const auto [ec, n] =
        co_await from->async_read_some(asio::buffer(buf), kTuple);
    if (ec) break;
    if (*cut) continue;
    const auto [write_ec, written] =
        co_await asio::async_write(*to, asio::buffer(buf.data(), n), kTuple);
    if (write_ec) break;
  }
  boost::system::error_code ignored;
  from->close(ignored);
  to->close(ignored);
}

}  // namespace

struct Relay::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, const std::string& target_address)
      : strand(asio::make_strand(io)),
        acceptor(strand),
        target(core::ParseAddress(target_address)) {}

  Task<> AcceptLoop() {
    const auto self = shared_from_this();
    while (true) {
      // Both sockets live on the relay's strand, as either pump closes both.
      const auto near = std::make_shared<tcp::socket>(strand);
      const auto [ec] = co_await acceptor.async_accept(*near, kTuple);
      if (ec) break;
      const auto far = std::make_shared<tcp::socket>(strand);
      const auto [far_ec] = co_await far->async_connect(target, kTuple);
      if (far_ec) continue;
      asio::co_spawn(strand, Pump(near, far, cut_to), asio::detached);
      asio::co_spawn(strand, Pump(far, near, cut_from), asio::detached);
    }
  }

  asio::strand<asio::io_context::executor_type> strand;
  tcp::acceptor acceptor;
  const tcp::endpoint target;
  const std::shared_ptr<std::atomic<bool>> cut_to =
      std::make_shared<std::atomic<bool>>(false);
  const std::shared_ptr<std::atomic<bool>> cut_from =
      std::make_shared<std::atomic<bool>>(false);
};

Relay::Relay(asio::io_context& io, const std::string& target)
    : state_(std::make_shared<State>(io, target)) {
  core::ListenOn(state_->acceptor, "127.0.0.1:0");
  asio::co_spawn(state_->strand, state_->AcceptLoop(), asio::detached);
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
  *state_->cut_to = to_target;
  *state_->cut_from = from_target;
}

}  // namespace sapphire::tests
