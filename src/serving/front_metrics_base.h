/** @file front_metrics_base.h Metrics of an entry's request path. */
#ifndef SAPPHIRE_SERVING_FRONT_METRICS_BASE_H_
#define SAPPHIRE_SERVING_FRONT_METRICS_BASE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/id_type.h"
#include "core/log_sink_base.h"
#include "external/counting_store_base.h"
#include "http/server_base.h"
#include "policy/placement_type.h"
#include "routing/route_type.h"

namespace sapphire::serving {

/** Gauge values that are sampled when the metrics are read. */
struct FrontLevels {
  std::int64_t config_version = 0;
  int requests_in_progress = 0;
  /** Memory that callers' requests occupy. */
  std::int64_t request_bytes = 0;
  /** Requests and connections of callers that a limit refused so far. */
  http::RefusalCounts refusals{};
  int engines_known = 0;
  /** Known engines that the store does not list and that are still used. */
  int engines_held = 0;
  int entries = 0;
  /** Engines that have announced a rate limit. */
  int engines_limited = 0;
  /** Engines that have said in an answer that they leave. */
  int engines_leaving = 0;
  /** Engines that have asked this VM for rest and not answered since. */
  int engines_resting = 0;
  /** Quota coordinators that are bypassed as unresponsive. */
  int coordinators_suspected = 0;
  /** Streams whose software version is recorded here. */
  std::int64_t stream_origins = 0;
  /** Crashes of engines that are kept as evidence of their causes. */
  std::int64_t crashes_known = 0;
  bool ready = false;
  /** Age of the store's last answer. */
  std::chrono::milliseconds store_age{0};
  /** Age of the view of the store; younger changes may be unknown here. */
  std::chrono::milliseconds view_age{0};
  core::LogSinkCounters log;
};

/** No label's number of values grows with models, callers, organisations or
 * engines. Thread-safe. */
class FrontMetrics {
 public:
  FrontMetrics();
  ~FrontMetrics();
  FrontMetrics(const FrontMetrics&) = delete;
  FrontMetrics& operator=(const FrontMetrics&) = delete;

  /** @param outcome As in the log's request_end. */
  void RequestEnded(routing::RequestKind kind, std::string_view outcome,
                    std::chrono::milliseconds took);
  void FirstByte(routing::RequestKind kind, std::chrono::milliseconds waited);
  /** @param organisation As Authorization::label, or "missing" if the route of
   * the arrival calls for one. */
  void SendBegun(std::string_view organisation);
  /** @param end As in the log's send_failed, or "served". */
  void SendEnded(std::string_view end);
  /** Counts a send that was given up for the size of its answer. */
  void AnswerOversized();
  void RepeatDecided(bool allowed);
  /** @param source Bucket that decided. Beyond a fixed number of organisations,
   * all others are counted together. */
  void QuotaDecided(const core::OrganisationId& id, std::string_view source,
                    bool granted);
  /**
   * Counts a request for permission to send to an engine with a rate limit.
   * @param source Bucket that decided.
   */
  void EngineLimitDecided(std::string_view source, bool granted);
  /** @param kind "leaving", "rest" or "unreadable". */
  void EngineNoticed(std::string_view kind);
  /** @param source How the version that began the stream was found. */
  void StreamTakenUp(std::string_view source);
  /** @param outcome "ok" or the error's name. */
  void WakeUpEnded(policy::Tier tier, std::string_view outcome,
                   std::chrono::milliseconds took);
  /** Records that `work` blocked the event loop for the time `took`. */
  void Stalled(std::string_view work, std::chrono::milliseconds took);
  void StoreCall(const external::StoreCall& call);
  /** Records the age that the view of the store had when an answer renewed it.
   */
  void ViewRenewed(std::chrono::milliseconds age);
  /**
   * Counts an answer of this entry that callers take as final.
   * @param outcome As in the log's request_end.
   * @param view_age Age of the view of the store, on which the answer rests.
   */
  void Denied(std::string_view outcome, std::chrono::milliseconds view_age);

  /** @return Everything, in the Prometheus text format. */
  std::string Text(const FrontLevels& levels);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_FRONT_METRICS_BASE_H_
