/** @file soak_subnet.cc Reserves a loopback subnet for one soak. */
#include <fmt/format.h>

#include "core/address_func.h"
#include "core/error_type.h"
#include "soak_subnet_base.h"

namespace sapphire::deploy::soak {

namespace {

constexpr int kFirstSubnet = 20;
constexpr int kSubnets = 200;
constexpr int kLockPart = 255;
constexpr int kLockHost = 1;
constexpr int kLockPort = 7999;

std::string IpOf(int number, int part, int host) {
  return fmt::format("127.{}.{}.{}", number, part, host);
}

}  // namespace

SoakSubnet::SoakSubnet(int first) : lock_(io_) {
  for (int i = 0; i < kSubnets; ++i) {
    const int number = kFirstSubnet + (first + i) % kSubnets;
    const std::string lock =
        fmt::format("{}:{}", IpOf(number, kLockPart, kLockHost), kLockPort);
    try {
      core::ListenOn(lock_, lock);
      number_ = number;
      return;
    } catch (const core::Error&) {
      // The subnet is in use by another soak.
      lock_ = boost::asio::ip::tcp::acceptor(io_);
    }
  }
  throw core::Error(core::ErrorCode::kBadSettings,
                    "no loopback subnet is free");
}

std::string SoakSubnet::Ip(int part, int host) const {
  return IpOf(number_, part, host);
}

}  // namespace sapphire::deploy::soak
