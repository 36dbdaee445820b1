/** @file relay_base.h A TCP relay that drops, delays and resets connections. */
#ifndef SAPPHIRE_TESTS_RELAY_BASE_H_
#define SAPPHIRE_TESTS_RELAY_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace sapphire::tests {

/** Forwards bytes between its clients and one target. With Cut it drops them
 * instead, while the connections stay open. */
class Relay {
 public:
  Relay(boost::asio::io_context& io, const std::string& target,
        const std::string& listen = "127.0.0.1:0");
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::string address() const;

  /** Sets whether bytes to the target, and from it, are dropped. */
  void Cut(bool to_target, bool from_target);

  /** Delays each read by this much before it is forwarded. */
  void Delay(std::chrono::milliseconds delay);

  /** Resets every open connection. */
  void Reset();

  /** Resets every open connection and refuses new ones until Reopen. */
  void Close();
  void Reopen();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::tests

#endif  // SAPPHIRE_TESTS_RELAY_BASE_H_
