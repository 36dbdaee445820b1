/** @file request_work_type.h State of a caller's request in progress. */
#ifndef SAPPHIRE_SERVING_REQUEST_WORK_TYPE_H_
#define SAPPHIRE_SERVING_REQUEST_WORK_TYPE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock_base.h"
#include "fleet/engine_type.h"
#include "http/server_base.h"
#include "routing/routing_table_base.h"
#include "serving/authorization_type.h"
#include "serving/caller_type.h"
#include "serving/crash_watch_base.h"
#include "serving/exchange_base.h"
#include "serving/quota_gate_base.h"

namespace sapphire::serving {

struct EngineSend;
struct Hedge;

/** Why a hedge was not sent, by which configuration. */
struct HedgeSkip {
  std::string reason;
  std::int64_t config = 0;

  friend bool operator==(const HedgeSkip&, const HedgeSkip&) = default;
};

/** State of a request in progress. */
struct RequestWork {
  RequestWork(CallerRequest caller_request, http::ResponseWriter& writer,
              core::SteadyTime now)
      : request(std::move(caller_request)),
        caller(writer, request.last_event),
        arrived(now),
        received(now) {}

  CallerRequest request;
  CallerConnection caller;
  std::vector<crash::Trait> traits = TraitsOf(request);
  core::SteadyTime arrived;
  /** Start of a stream's idle timeout: when the request arrived or, if later,
   * when a send last failed after a part of the stream had been sent to the
   * caller. */
  core::SteadyTime received;
  core::SteadyTime deadline;
  std::shared_ptr<const routing::RoutingTable> table;
  const routing::Route* route = nullptr;
  const routing::Service* service = nullptr;
  /** The latest decision that allowed the request; none before it. */
  std::optional<Authorization> authorization;
  /** Units charged for the request, and the source of the decision. */
  std::optional<QuotaCharge> charge;
  std::string_view quota_source;
  /** Engines that failed or refused the request. */
  std::set<fleet::InstanceId> avoid;
  /** Number of engines that may have run the request. */
  int runs = 0;
  int sends = 0;
  /** True if a retry has already been taken from the budget. */
  bool repeat_granted = false;
  std::optional<core::SteadyTime> first_send;
  std::optional<core::SteadyTime> first_byte;
  /** Engine of the latest send that was to serve the request. */
  fleet::InstanceId engine;
  /** Software version of that engine when it was chosen. */
  fleet::SoftwareVersion software_version;
  /** Organisation that this engine was told; empty if none. */
  core::OrganisationId organisation_sent;
  /** The send whose answer is relayed; null between two sends. */
  std::shared_ptr<EngineSend> current;
  /** A second send, while the engine of the current one is silent. */
  std::shared_ptr<Hedge> hedge;
  /** The latest one that was logged. */
  std::optional<HedgeSkip> hedge_skip;
  /** How the latest answer of an engine ended. */
  AnswerEnd answer_end;
  /** The latest answer of an engine carried an engine's mark. */
  bool genuine = false;
  int status = 0;
  std::string outcome;
  std::string reason;
  /** True if the connection is closed in the middle of the answer. */
  bool cut = false;
};

/** @return The request as a candidate for its next send. */
inline CandidateSend CandidateOf(const RequestWork& work) {
  return {work.request.id, work.traits, work.runs > 0};
}

/** @return Time until the caller must have its final answer. */
inline milliseconds TimeLeft(const RequestWork& work, core::SteadyTime now) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(work.deadline - now);
  return std::max(left, milliseconds(0));
}

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_REQUEST_WORK_TYPE_H_
