/** @file soak_subnet_base.h A loopback subnet that one soak has to itself. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_SUBNET_BASE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_SUBNET_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace sapphire::deploy::soak {

/** Soaks run side by side, each in its own 127.NUMBER.x.y. Held by a listening
 * socket, which the kernel closes with the process. */
class SoakSubnet {
 public:
  /**
   * Takes the first free one, beginning with a number that differs between
   * processes.
   * @param first Where to begin; any number.
   * @throws core::Error kBadSettings if all are taken.
   */
  explicit SoakSubnet(int first);

  /** @return The address "127.NUMBER.part.host". */
  [[nodiscard]] std::string Ip(int part, int host) const;

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor lock_;
  int number_ = 0;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_SUBNET_BASE_H_
