/** @file gateway_base.h Callers' HTTP interface, `/v1/...` and `/services/...`.
 */
#ifndef SAPPHIRE_ENTRY_GATEWAY_BASE_H_
#define SAPPHIRE_ENTRY_GATEWAY_BASE_H_

#include <optional>

#include "contract/config_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "entry/answer_sink_base.h"
#include "entry/caller_request_type.h"
#include "entry/dispatcher_base.h"
#include "entry/head_check_base.h"
#include "entry/metrics_base.h"
#include "entry/once_runner_base.h"
#include "entry/placer_base.h"
#include "http/http_type.h"
#include "http/server_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

/** Dependencies of a gateway; all outlive it. */
struct GatewayDependencies {
  contract::ConfigHolder& config;
  HeadCheck& head_check;
  Directory& directory;
  Placer& placer;
  Dispatcher& dispatcher;
  OnceRunner& once_runner;
  link::LinkNode& links;
  Metrics& metrics;
  const core::Clock& clock;
  const core::Logger& log;
};

/** Parses, runs and answers requests to /v1/... and /services/... */
class Gateway {
 public:
  Gateway(core::VmId self, CallerLimits limits, GatewayDependencies parts);

  /**
   * Answers one request.
   * @throws core::Error a refusal, before anything was sent; or the reason why
   *   an answer that has begun ends early.
   */
  core::Task<> Handle(const http::Request& request,
                      http::ResponseWriter& writer);

 private:
  core::Task<CallerRequest> ReadRequest(const http::Request& request,
                                        core::SteadyTime arrived);
  [[nodiscard]] std::optional<core::Error> FindDenial(
      const http::Request& request, CallerRequest& out) const;
  core::Task<core::Error> ReviewDenial(const http::Request& request,
                                       core::SteadyTime arrived,
                                       core::Error denial);
  core::Task<> RunRequest(const http::Request& received, CallerRequest request,
                          core::SteadyTime arrived,
                          http::ResponseWriter& writer);
  core::Task<> RunAtPrimaryEntry(gen::Run run, core::SteadyTime deadline,
                                 AnswerSink& sink);
  core::Task<AttemptResult> RunAtEntry(KnownEntry entry, gen::Run run,
                                       core::SteadyTime deadline,
                                       AnswerSink& sink);
  void RecordRequestEnd(const CallerRequest& request, core::SteadyTime arrived,
                        const core::Error* error);

  const core::VmId self_;
  const CallerLimits limits_;
  const GatewayDependencies deps_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_GATEWAY_BASE_H_
