/** @file soak_subnet_base.h Reserves a loopback subnet for one soak. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_SUBNET_BASE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_SUBNET_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace sapphire::deploy::soak {

/** Reserves a subnet 127.NUMBER.x.y, so that soaks can run concurrently. The
 * reservation is a listening socket, which the kernel closes when the process
 * ends. */
class SoakSubnet {
 public:
  /**
   * Reserves the first free subnet.
   * @param first Number at which the search starts; any number. It should
   * differ between processes.
   * @throws core::Error kBadSettings if no subnet is free.
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
