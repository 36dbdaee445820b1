/** @file front_metrics_base.h What an entry that sends to engines counts. */
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
#include "policy/placement_type.h"
#include "routing/route_type.h"

namespace sapphire::serving {

/** Levels read when the metrics are asked for. */
struct FrontLevels {
  std::int64_t config_version = 0;
  int requests_in_progress = 0;
  int engines_known = 0;
  /** Of these, those that the store does not name and that are still used. */
  int engines_held = 0;
  int entries = 0;
  /** Engines that have named a limit. */
  int engines_limited = 0;
  /** Coordinators of quotas that are passed over. */
  int coordinators_suspected = 0;
  bool ready = false;
  /** Age of what the store last told. */
  std::chrono::milliseconds store_age{0};
  /** Changes in the store that are younger may not be known here. */
  std::chrono::milliseconds view_age{0};
  core::LogSinkCounters log;
};

/** No label grows with models, callers, organisations or engines. Safe on
 * several threads. */
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
  /** @param end As in the log's send_failed, or "served". */
  void SendEnded(std::string_view end);
  void RepeatAsked(bool allowed);
  /** @param source Whose bucket decided. Beyond some organisations, all others
   * are counted together. */
  void QuotaDecided(const core::OrganisationId& id, std::string_view source,
                    bool granted);
  /** A send to an engine that has named a limit was asked for.
   * @param source Whose bucket decided. */
  void EngineLimitAsked(std::string_view source, bool granted);
  /** @param outcome "ok" or the error's name. */
  void WakeUpEnded(policy::Tier tier, std::string_view outcome,
                   std::chrono::milliseconds took);
  /** Work kept the thread from its sockets. */
  void Stalled(std::string_view work, std::chrono::milliseconds took);
  void StoreCall(const external::StoreCall& call);
  /** What follows the store was this old when an answer renewed it. */
  void ViewRenewed(std::chrono::milliseconds age);

  /** @return Everything, in the Prometheus text format. */
  std::string Text(const FrontLevels& levels);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_FRONT_METRICS_BASE_H_
