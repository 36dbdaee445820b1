/** @file gateway_base.h Callers' HTTP interface, `/v1/...` and `/services/...`.
 */
#ifndef SAPPHIRE_ENTRY_GATEWAY_BASE_H_
#define SAPPHIRE_ENTRY_GATEWAY_BASE_H_

#include "contract/config_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/answer_sink_base.h"
#include "entry/caller_request_type.h"
#include "entry/dispatcher_base.h"
#include "entry/metrics_base.h"
#include "entry/once_runner_base.h"
#include "entry/placer_base.h"
#include "http/http_type.h"
#include "http/server_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

/** Dependencies of a gateway; all outlive it. */
struct GatewayParts {
  contract::ConfigHolder& config;
  Directory& directory;
  Placer& placer;
  Dispatcher& dispatcher;
  OnceRunner& once;
  link::LinkNode& links;
  Metrics& metrics;
  const core::Clock& clock;
  const core::Logger& log;
};

/** Parses, runs and answers requests to /v1/... and /services/... */
class Gateway {
 public:
  Gateway(core::VmId self, CallerLimits limits, GatewayParts parts);

  /**
   * Answers one request.
   * @throws core::Error a refusal, before anything was sent; or the reason why
   *   an answer that has begun ends early.
   */
  core::Task<> Handle(const http::Request& request,
                      http::ResponseWriter& writer);

 private:
  core::Task<> RunCaller(CallerRequest request, http::ResponseWriter& writer);
  core::Task<> RunAtHome(gen::Run run, core::SteadyTime deadline,
                         AnswerSink& sink);
  core::Task<AttemptResult> RunAtHomeEntry(KnownEntry home, gen::Run run,
                                           core::SteadyTime deadline,
                                           AnswerSink& sink);
  void Note(const CallerRequest& request, core::SteadyTime arrived,
            const core::Error* error);

  const core::VmId self_;
  const CallerLimits limits_;
  const GatewayParts parts_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_GATEWAY_BASE_H_
