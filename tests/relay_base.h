/** @file relay_base.h A TCP relay that cuts, delays and resets connections. */
#ifndef SAPPHIRE_TESTS_RELAY_BASE_H_
#define SAPPHIRE_TESTS_RELAY_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace sapphire::tests {

/** Passes bytes between whoever connects and one target, until told to swallow
 * them: connections then stay open, and nothing arrives. */
class Relay {
 public:
  Relay(boost::asio::io_context& io, const std::string& target,
        const std::string& listen = "127.0.0.1:0");
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::string address() const;

  /** Swallows what goes to the target, and what comes from it. */
  void Cut(bool to_target, bool from_target);

  /** Each part is passed on this much later. */
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
