/** @file stand_in_server_base.h Runs one stand-in behind its own HTTP server.
 */
#ifndef SAPPHIRE_STANDIN_STAND_IN_SERVER_BASE_H_
#define SAPPHIRE_STANDIN_STAND_IN_SERVER_BASE_H_

#include <functional>
#include <memory>
#include <string>

#include "standin/stand_in_base.h"

namespace sapphire::standin {

/** A listening stand-in and its threads, for a program or a test. */
class StandInServer {
 public:
  using Factory =
      std::function<std::unique_ptr<StandIn>(const StandInContext& context)>;

  /**
   * Starts listening and serving.
   * @param name Used in log lines.
   * @param listen_address "ip:port"; port 0 selects a free port.
   * @throws core::Error kBadSettings if the address can't be listened on.
   */
  StandInServer(const std::string& name, const std::string& listen_address,
                const Factory& factory);

  /** Stops at once and cuts the connections of requests in progress. */
  ~StandInServer();

  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  /** @return "ip:port" as bound. */
  [[nodiscard]] std::string address() const;

  [[nodiscard]] StandIn& stand_in() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_STAND_IN_SERVER_BASE_H_
