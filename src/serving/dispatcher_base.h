/** @file dispatcher_base.h Handles a caller's request up to its final answer.
 */
#ifndef SAPPHIRE_SERVING_DISPATCHER_BASE_H_
#define SAPPHIRE_SERVING_DISPATCHER_BASE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "core/log_base.h"
#include "core/task_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "fleet/peer_table_base.h"
#include "http/client_base.h"
#include "http/server_base.h"
#include "policy/repeat_budget_base.h"
#include "routing/routing_table_base.h"
#include "serving/answer_budget_base.h"
#include "serving/caller_type.h"
#include "serving/configuration_refresh_base.h"
#include "serving/crash_watch_base.h"
#include "serving/engine_chooser_base.h"
#include "serving/engine_clients_base.h"
#include "serving/engine_notice_recorder_base.h"
#include "serving/engine_rate_limiter_base.h"
#include "serving/exchange_base.h"
#include "serving/front_metrics_base.h"
#include "serving/hedge_type.h"
#include "serving/load_gauges_base.h"
#include "serving/model_loader_base.h"
#include "serving/quota_gate_base.h"
#include "serving/replica_finder_base.h"
#include "serving/request_sender_base.h"
#include "serving/request_work_type.h"
#include "streams/stream_directory_base.h"

namespace sapphire::serving {

/** How API keys are accepted while the store can't be read. */
struct RevocationOptions {
  /** If set, requests that need a key are refused once the configuration has
   * not been confirmed for `limit`. */
  bool strict = false;
  milliseconds limit{5000};
};

struct DispatchOptions {
  policy::RepeatLimits repeats;
  policy::EnginePace pace;
};

/** How current this entry's view of the store is. */
struct StoreView {
  /** Returns false while strict revocation forbids relying on the
   * configuration. */
  std::function<bool()> keys_confirmed;
  /** Returns true while the view is older than operators allow. */
  std::function<bool()> is_late;
  /** Returns the time up to which all changes are known, if the store has ever
   * answered. */
  std::function<std::optional<core::SteadyTime>()> as_of;
};

/** Dependencies of the dispatcher; all outlive it. */
struct DispatcherDependencies {
  const routing::ConfigurationHolder& configuration;
  ConfigurationRefresh& refresh;
  StoreView view;
  QuotaGate& quota;
  EngineRateLimiter& rate_limiter;
  EngineNoticeRecorder& notices;
  fleet::EngineRegistry& registry;
  fleet::EngineLoads& loads;
  fleet::PeerTable& peer_table;
  EngineClients& clients;
  LoadGauges& gauges;
  const ReplicaFinder& finder;
  ModelLoader& loader;
  CrashWatch& crash_watch;
  streams::StreamDirectory& stream_directory;
  const CallerWire& caller_wire;
  const EngineWire& engine_wire;
  FrontMetrics& metrics;
  const core::Clock& clock;
  const core::Logger& log;
  /** Limits what is held of engines' answers. */
  std::shared_ptr<AnswerBudget> answers = std::make_shared<AnswerBudget>();
};

/** Whether a request whose send has failed is sent again, or why not. */
enum class RetryDecision { kGranted, kMayNotRunAgain, kNoTime, kNoBudget };

/** Serves callers' HTTP requests: checks, authenticates and charges them, and
 * sends them to engines by HTTP. Unlike entry::Dispatcher, it chooses the
 * engines itself, from this entry's view of the fleet. Not thread-safe. */
class Dispatcher {
 public:
  Dispatcher(DispatchOptions options, DispatcherDependencies parts);

  /** Handles one request; always sends a final answer. */
  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer);

  /** Sets when the process ends. Requests that can't be answered completely by
   * then are refused before they are sent to an engine. */
  void SetShutdownTime(core::SteadyTime end) { chooser_.SetShutdownTime(end); }

  /** Replaces the retry limits. */
  void SetRepeatLimits(const policy::RepeatLimits& limits);

  /** Drops state kept for engines that are no longer registered. */
  void Forget();

 private:
  using SharedWork = std::shared_ptr<RequestWork>;

  core::Task<> Run(SharedWork work);
  core::Task<bool> Attempt(SharedWork work);
  core::Task<bool> ContinueWithHedge(SharedWork work);
  std::shared_ptr<EngineSend> BeginSend(const SharedWork& work,
                                        const Authorization& authorization,
                                        const SendTarget& target,
                                        const core::Executor& executor);
  core::Task<bool> EndCurrentSend(RequestWork& work, ExchangeResult result);
  core::Task<bool> HandleResult(RequestWork& work, ExchangeResult result);
  core::Task<> Answer(RequestWork& work, http::Response response);
  core::Task<> Refuse(RequestWork& work, const core::Error& error);
  core::Task<> Admit(RequestWork& work);
  std::optional<core::Error> FindDenial(RequestWork& work) const;
  [[nodiscard]] bool IsRevoked(const RequestWork& work) const;
  void Check(RequestWork& work) const;
  void CheckStoreView(const RequestWork& work) const;
  void Authenticate(RequestWork& work) const;
  void CheckKeysConfirmed() const;
  const Authorization& Reauthorize(RequestWork& work) const;
  [[noreturn]] void ThrowNotAllowed(const RequestWork& work,
                                    const routing::Route* route) const;
  const Authorization& CheckSend(RequestWork& work) const;
  const Authorization* AuthorizeHedge(RequestWork& work) const;
  core::Task<> FindStreamOrigin(RequestWork& work);
  core::Task<> ChargeQuota(RequestWork& work);
  void RefundUnused(const RequestWork& work);
  void ResolveService(RequestWork& work) const;
  void OnSilence(const SharedWork& work, const core::Executor& executor);
  core::Task<> RunHedge(SharedWork work, std::shared_ptr<Hedge> hedge);
  core::Task<std::shared_ptr<EngineSend>> BeginHedge(SharedWork work,
                                                     const Hedge& hedge);
  core::Task<> StopFirstSend(SharedWork work, std::shared_ptr<Hedge> hedge);
  void DropHedge(RequestWork& work, const std::shared_ptr<Hedge>& hedge,
                 const ExchangeResult& result);
  void CancelHedge(RequestWork& work);
  void AvoidUnlessResting(RequestWork& work, const fleet::InstanceId& engine,
                          const ExchangeResult& result) const;
  RetryDecision DecideRetry(RequestWork& work, const ExchangeResult& result);
  [[nodiscard]] bool MayRunAgain(const RequestWork& work) const;
  bool TakeRepeat(const RequestWork& work, double reserve);
  policy::RepeatBudget& BudgetOf(const core::ServiceId& service);
  [[nodiscard]] milliseconds ViewAge() const;
  void LogDenial(const RequestWork& work, core::ErrorCode reason) const;
  void ReportEnd(const RequestWork& work) const;

  DispatchOptions options_;
  const DispatcherDependencies deps_;
  EngineChooser chooser_;
  RequestSender sender_;
  std::map<core::ServiceId, policy::RepeatBudget> budgets_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_DISPATCHER_BASE_H_
