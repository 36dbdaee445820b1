/** @file address_func.h Addresses, socket options, atomic file writes. */
#ifndef SAPPHIRE_CORE_ADDRESS_FUNC_H_
#define SAPPHIRE_CORE_ADDRESS_FUNC_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace sapphire::core {

/**
 * @param address "ip:port", IPv6 in brackets. Host names are not resolved.
 * @throws Error kBadSettings
 */
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address);

/**
 * Opens, binds and listens; port 0 picks a free port.
 * @throws Error kBadSettings if the address is in use or can't be bound.
 */
void ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
              const std::string& address);

/** @return The address to which `acceptor` is bound, as "ip:port". @pre
 * `acceptor` listens. */
std::string AddressText(const boost::asio::ip::tcp::acceptor& acceptor);

/**
 * Makes the kernel close a connection whose peer vanished without closing it
 * (power loss, network failure): unacknowledged data or keep-alive probes time
 * out after about three seconds. Otherwise a read would wait forever.
 */
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket);

/** Replaces a file atomically (by rename): readers never see a partial file.
 * @throws Error kBadSettings */
void WriteFileAtomically(const std::string& path, const std::string& text);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_ADDRESS_FUNC_H_
