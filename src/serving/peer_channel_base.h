/** @file peer_channel_base.h Exchanges datagrams with other entries. */
#ifndef SAPPHIRE_SERVING_PEER_CHANNEL_BASE_H_
#define SAPPHIRE_SERVING_PEER_CHANNEL_BASE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "gen/link_types.h"

namespace sapphire::serving {

/** Sends datagrams to other entries and receives theirs over UDP; any of them
 * may be lost, duplicated or reordered. Not thread-safe. */
class PeerChannel {
 public:
  /** @param address "ip:port" of the sender. */
  using Receive = std::function<void(const gen::EntryDatagram& datagram,
                                     const std::string& address)>;

  /**
   * @param listen "ip:port" on which datagrams are received.
   * @pre All references outlive it.
   */
  PeerChannel(std::string listen, Receive receive,
              const core::Executor& executor, const core::Clock& clock,
              const core::Logger& log);

  /**
   * Starts receiving.
   * @throws core::Error kBadSettings if the address is in use.
   */
  void Start();

  /** Sends without blocking: a datagram that does not fit the send buffer is
   * lost. */
  void Send(const std::string& address, const gen::EntryDatagram& datagram);

 private:
  core::Task<> ReceiveAll();
  void Deliver(std::size_t n, const boost::asio::ip::udp::endpoint& sender);
  void LogFailure(const char* what);

  /** Maximum size in bytes; longer datagrams are truncated and can't be
   * decoded. */
  static constexpr std::size_t kMaxDatagramBytes = 60'000;

  const std::string listen_;
  const Receive receive_;
  const core::Executor executor_;
  const core::Clock& clock_;
  const core::Logger& log_;
  boost::asio::ip::udp::socket socket_;
  std::int64_t failures_ = 0;
  std::optional<core::SteadyTime> failure_logged_;
  std::array<char, kMaxDatagramBytes> buf_{};
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_PEER_CHANNEL_BASE_H_
