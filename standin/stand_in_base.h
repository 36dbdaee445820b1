/** @file stand_in_base.h Base class of the platform services' stand-ins. */
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

/** Dependencies of a stand-in. @pre The references outlive the stand-in. */
struct StandInContext {
  core::Executor executor;
  const core::Clock& clock;
  const core::Logger& log;
};

/**
 * A small stand-in of one platform service, with fault switches and a record of
 * the requests that it received. Thread-safe.
 * @pre Outlives the work of its executor.
 */
class StandIn {
 public:
  virtual ~StandIn() = default;

  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  /**
   * Answers one request: a call that all stand-ins share, or one of the
   * service's own API, to which the switches `down` and `delay_ms` apply.
   */
  core::Task<> Handle(const http::Request& request,
                      http::ResponseWriter& writer);

  Faults& faults() { return faults_; }

 protected:
  StandIn(StandInContext context, std::span<const FaultDef> table);

  /** Answers a request of the service's own API. */
  virtual core::Task<> Serve(const http::Request& request,
                             http::ResponseWriter& writer) = 0;

  /** @return The record, as JSON. */
  [[nodiscard]] virtual std::string RecordJson() const = 0;

  /** Called after switches were set; applies those that act at once. */
  virtual void OnFaultsSet() {}

  /** Cuts the connection if the `down` switch is set. */
  void CutIfDown() const;

  StandInContext context_;
  Faults faults_;
};

/** Throws http::ConnectionCut, which closes the caller's connection without an
 * answer or in the middle of one. */
[[noreturn]] void CutConnection(const std::string& why);

/** Sends a complete JSON answer. */
core::Task<> SendJson(http::ResponseWriter& writer, int status,
                      std::string body);

/** @return Wall time in milliseconds, as used in records. */
std::int64_t WallMillis(const core::Clock& clock);

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_STAND_IN_BASE_H_
