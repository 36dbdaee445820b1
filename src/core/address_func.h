/** @file address_func.h "ip:port" texts and listening sockets. */
#ifndef SAPPHIRE_CORE_ADDRESS_FUNC_H_
#define SAPPHIRE_CORE_ADDRESS_FUNC_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace sapphire::core {

/**
 * @param address "ip:port"; IPv6 in brackets. Names are not looked up.
 * @throws Error kBadSettings
 */
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address);

/**
 * Opens, binds and listens; port 0 takes a free one.
 * @throws Error kBadSettings if the address is taken or can't be bound.
 */
void ListenOn(boost::asio::ip::tcp::acceptor& acceptor,
              const std::string& address);

/** @return "ip:port" as bound. @pre `acceptor` listens. */
std::string AddressText(const boost::asio::ip::tcp::acceptor& acceptor);

/**
 * Makes the kernel end a connection whose peer is gone without a word (power
 * lost, network cut): unacknowledged bytes or keep-alive probes fail it after
 * about three seconds. Without it a read on such a connection waits for good.
 */
void NoticeDeadPeer(boost::asio::ip::tcp::socket& socket);

/** Writes `text` to a file in one step (rename): a reader never sees a part.
 * @throws Error kBadSettings */
void WriteFileAtomically(const std::string& path, const std::string& text);

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_ADDRESS_FUNC_H_
