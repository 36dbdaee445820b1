/** @file stand_in_base.h What the stand-ins of all platform services share. */
#ifndef SAPPHIRE_STANDIN_STAND_IN_BASE_H_
#define SAPPHIRE_STANDIN_STAND_IN_BASE_H_

#include <span>
#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "http/http_type.h"
#include "http/server_base.h"
#include "standin/fault_base.h"

namespace sapphire::standin {

/** What every stand-in is given. @pre The references outlive the stand-in. */
struct StandInContext {
  core::Executor executor;
  const core::Clock& clock;
  const core::Logger& log;
};

/**
 * A small stand-in of one service of the platform, with fault switches and a
 * record of what it saw itself. Safe on many threads.
 * @pre Outlives the work of its executor.
 */
class StandIn {
 public:
  virtual ~StandIn() = default;

  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  /**
   * Answers one request: the calls that all stand-ins share, or its own wire,
   * under the switches `down` and `delay_ms`.
   */
  core::Task<> Handle(const http::Request& request,
                      http::ResponseWriter& writer);

  Faults& faults() { return faults_; }

 protected:
  StandIn(StandInContext context, std::span<const FaultDef> table);

  /** Answers a request of the service's own wire. */
  virtual core::Task<> Serve(const http::Request& request,
                             http::ResponseWriter& writer) = 0;

  /** @return What the stand-in saw, as JSON. */
  [[nodiscard]] virtual std::string RecordJson() const = 0;

  /** Carries out switches that act at once. */
  virtual void OnFaultsSet() {}

  /** Cuts the connection if the service has gone down meanwhile. */
  void CutIfDown() const;

  StandInContext context_;
  Faults faults_;
};

/** Closes the caller's connection without an answer, or in the middle of it. */
[[noreturn]] void CutConnection(const std::string& why);

/** Sends a whole answer in JSON. */
core::Task<> SendJson(http::ResponseWriter& writer, int status,
                      std::string body);

/** @return Wall time in milliseconds, as records show it. */
std::int64_t WallMillis(const core::Clock& clock);

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_STAND_IN_BASE_H_
