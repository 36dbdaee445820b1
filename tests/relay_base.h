/** @file relay_base.h A TCP relay that can cut a link one way or both ways. */
#ifndef SAPPHIRE_TESTS_RELAY_BASE_H_
#define SAPPHIRE_TESTS_RELAY_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace sapphire::tests {

/** Passes bytes between whoever connects and one target, until told to swallow
 * them: connections then stay open, and nothing arrives. */
class Relay {
 public:
  Relay(boost::asio::io_context& io, const std::string& target);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::string address() const;

  /** Swallows what goes to the target, and what comes from it. */
  void Cut(bool to_target, bool from_target);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::tests

#endif  // SAPPHIRE_TESTS_RELAY_BASE_H_
