/** @file probe.cc Tests whether a server accepts connections. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "core/address_func.h"
#include "http/probe_func.h"

namespace sapphire::http {

core::Task<ProbeResult> Probe(std::string address,
                              std::chrono::milliseconds timeout) {
  namespace asio = boost::asio;
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  const auto remote = core::ParseAddress(address);
  const auto [ec] = co_await stream.async_connect(
      remote, asio::as_tuple(asio::use_awaitable));
  if (!ec) co_return ProbeResult::kAccepted;
  co_return ec == asio::error::connection_refused ? ProbeResult::kRefused
                                                  : ProbeResult::kUnknown;
}

}  // namespace sapphire::http
