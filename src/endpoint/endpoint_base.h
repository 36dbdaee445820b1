/** @file endpoint_base.h The agent process of one endpoint. */
#ifndef SAPPHIRE_ENDPOINT_ENDPOINT_BASE_H_
#define SAPPHIRE_ENDPOINT_ENDPOINT_BASE_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "contract/config_pull_base.h"
#include "contract/part_cache_base.h"
#include "core/clock_base.h"
#include "core/log_base.h"
#include "endpoint/attempt_table_base.h"
#include "endpoint/engine_status_poller_base.h"
#include "endpoint/grant_ledger_base.h"
#include "endpoint/lane_queue_base.h"
#include "endpoint/metrics_base.h"
#include "endpoint/order_sender_base.h"
#include "endpoint/plain_admission_base.h"
#include "endpoint/replica_reconciler_base.h"
#include "endpoint/replica_table_base.h"
#include "endpoint/replica_worker_base.h"
#include "endpoint/replicas_base.h"
#include "endpoint/runner_base.h"
#include "external/engine_base.h"
#include "external/key_value_base.h"
#include "link/link_base.h"

namespace sapphire::endpoint {

struct EndpointOptions {
  core::VmId vm;
  core::ZoneId zone;
  std::int64_t incarnation = 0;
  /** Name of the plain service; empty for a model engine. */
  core::ServiceId plain_service;
  std::string listen_address;
  std::chrono::milliseconds heartbeat_interval{500};
  std::chrono::milliseconds dead_after{2000};
  /** Longest time between two reports to a subscriber. */
  std::chrono::milliseconds report_interval{1000};
  /** Shortest time between two reports; changes within it share one. */
  std::chrono::milliseconds report_gap{20};
  std::chrono::milliseconds engine_poll{250};
  /** Longest time that Leave waits for runs and unloads. */
  std::chrono::milliseconds drain_limit{60'000};
  /** How long links stay open after the last change, so that the final reports
   * are sent. */
  std::chrono::milliseconds close_delay{200};
  OrderSenderOptions orders;
  ReplicaReconcilerOptions reconciler;
  AttemptTableOptions attempts;
  LaneQueueOptions lanes;
};

/** Owns all parts of one endpoint process and answers its link calls. */
class Endpoint {
 public:
  /** @pre All references outlive the endpoint. */
  Endpoint(const core::Executor& executor, EndpointOptions options,
           external::Engine& engine, external::KeyValueStore& store,
           const core::Clock& clock, const core::Logger& log, Metrics& metrics);

  /** Opens the link listener and starts the background tasks.
   * @return The bound address, "ip:port". @throws core::Error kBadSettings. */
  std::string Start();

  /**
   * Drains the endpoint: reports that it is leaving, refuses new work, waits
   * for runs to end, unloads all models and releases their grants.
   * @return True if that was complete within the drain limit.
   * @pre The calling coroutine runs on a strand.
   */
  core::Task<bool> Leave();

  /** Closes the links. */
  void Close();

  /** @return True once requests can be served. */
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] bool leaving() const { return table_.leaving; }
  [[nodiscard]] gen::EndpointReport Report() const;
  [[nodiscard]] Levels CurrentLevels() const;

  /** Completes once an operator has sent a Drain call. */
  core::Task<> WaitForDrain();

 private:
  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first);
  core::Task<> AnswerSubscribe(std::shared_ptr<link::Call> call);
  core::Task<> AnswerEnsure(std::shared_ptr<link::Call> call,
                            gen::EnsureModel request);
  core::Task<> AnswerVoid(std::shared_ptr<link::Call> call,
                          gen::VoidAttempt request);
  core::Task<> AnswerDrain(std::shared_ptr<link::Call> call);
  [[nodiscard]] bool plain() const { return !options_.plain_service.empty(); }
  [[nodiscard]] bool Idle() const;
  core::Task<bool> WaitUntilUnloaded(core::SteadyTime limit);

  const EndpointOptions options_;
  const core::Clock& clock_;
  const core::Logger& log_;
  const core::Executor executor_;
  contract::ConfigHolder config_;
  contract::PartCache config_parts_;
  contract::ConfigPuller puller_;
  ReplicaTable table_;
  EngineStatusPoller status_poller_;
  OrderSender order_sender_;
  GrantLedger ledger_;
  LaneQueue lanes_;
  EndpointParts parts_;
  ReplicaWorker worker_;
  ReplicaReconciler reconciler_;
  Replicas replicas_;
  PlainAdmission plain_admission_;
  Admission& admission_;
  AttemptTable attempts_;
  Runner runner_;
  link::LinkNode links_;
  std::atomic<bool> drain_requested_ = false;
};

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ENDPOINT_BASE_H_
