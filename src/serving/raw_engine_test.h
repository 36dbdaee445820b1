/** @file raw_engine_test.h An engine that answers with given bytes. */
#ifndef SAPPHIRE_SERVING_RAW_ENGINE_TEST_H_
#define SAPPHIRE_SERVING_RAW_ENGINE_TEST_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/address_func.h"
#include "serving/dispatcher_rig_test.h"

namespace sapphire::serving::testing {

/** How an engine closes its connection after an answer. */
enum class Close { kOrderly, kReset };

/** Answers one request of each connection with fixed bytes, then closes it. */
class RawEngine {
 public:
  RawEngine(boost::asio::io_context& io, std::string answer,
            Close close = Close::kOrderly)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        answer_(std::move(answer)),
        close_(close) {
    boost::asio::co_spawn(io, Serve(), boost::asio::detached);
  }

  [[nodiscard]] std::string address() const {
    return core::AddressText(acceptor_);
  }
  /** Accepts no more connections. */
  void Stop() { acceptor_.close(); }

  /** Heads of the requests. */
  std::vector<std::string> requests;

 private:
  core::Task<> Serve() {
    while (acceptor_.is_open()) {
      boost::system::error_code ec;
      auto socket = co_await acceptor_.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) continue;
      co_await Answer(std::move(socket));
    }
  }

  core::Task<> Answer(boost::asio::ip::tcp::socket socket) {
    std::string request;
    boost::system::error_code ec;
    const auto token = [&ec] {
      return boost::asio::redirect_error(boost::asio::use_awaitable, ec);
    };
    co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", token());
    // A probe closes its connection without a request.
    if (ec) co_return;
    requests.push_back(request);
    co_await boost::asio::async_write(socket, boost::asio::buffer(answer_),
                                      token());
    if (close_ == Close::kOrderly) {
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
      co_return;
    }
    // A reset discards what the client has not read yet.
    co_await core::SleepFor(milliseconds(50));
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string answer_;
  const Close close_;
};

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_RAW_ENGINE_TEST_H_
