/** @file address.cc Addresses, socket options, atomic file writes. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>

#include "core/address_func.h"
#include "core/error_type.h"

namespace sapphire::core {

using boost::asio::ip::tcp;

namespace {

[[noreturn]] void BadAddress(const std::string& address,
                             const std::string& why) {
  throw Error(ErrorCode::kBadSettings, "address " + address + ": " + why);
}

void CheckBind(const boost::system::error_code& ec,
               const std::string& address) {
  if (ec) BadAddress(address, ec.message());
}

}  // namespace

tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) BadAddress(address, "must be ip:port");
  std::string host = address.substr(0, colon);
  if (host.size() > 1 && host.front() == '[') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(host, ec);
  if (ec) BadAddress(address, "does not contain a valid IP address");
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto result = std::from_chars(address.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    BadAddress(address, "does not contain a valid port number");
  }
  return {ip, port};
}

void ListenOn(tcp::acceptor& acceptor, const std::string& address) {
  const tcp::endpoint local = ParseAddress(address);
  boost::system::error_code ec;
  acceptor.open(local.protocol(), ec);
  CheckBind(ec, address);
  acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  CheckBind(ec, address);
  acceptor.bind(local, ec);
  CheckBind(ec, address);
  acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  CheckBind(ec, address);
}

std::string AddressText(const tcp::acceptor& acceptor) {
  const tcp::endpoint local = acceptor.local_endpoint();
  const std::string host = local.address().to_string();
  const std::string shown = local.address().is_v6() ? "[" + host + "]" : host;
  return shown + ":" + std::to_string(local.port());
}

void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket) {
  constexpr int kOn = 1;
  constexpr int kIdleSeconds = 1;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  constexpr unsigned kUnacknowledgedMs = 3000;
  const int fd = socket.native_handle();
  // Errors are ignored: without an option the socket works, but detects a dead
  // peer later.
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof kOn);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds,
               sizeof kIdleSeconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds,
               sizeof kProbeSeconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
               sizeof kUnacknowledgedMs);
}

void WriteFileAtomically(const std::string& path, const std::string& text) {
  const std::string draft = path + ".new";
  {
    std::ofstream file(draft);
    file << text;
    if (!file.flush()) {
      throw Error(ErrorCode::kBadSettings, path + ": can't be written");
    }
  }
  if (std::rename(draft.c_str(), path.c_str()) != 0) {
    throw Error(ErrorCode::kBadSettings, path + ": can't be written");
  }
}

}  // namespace sapphire::core
