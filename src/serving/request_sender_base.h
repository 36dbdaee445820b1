/** @file request_sender_base.h Begins and ends sends of requests to engines. */
#ifndef SAPPHIRE_SERVING_REQUEST_SENDER_BASE_H_
#define SAPPHIRE_SERVING_REQUEST_SENDER_BASE_H_

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "core/clock_base.h"
#include "core/task_type.h"
#include "fleet/engine_loads_base.h"
#include "fleet/engine_registry_base.h"
#include "serving/answer_budget_base.h"
#include "serving/crash_watch_base.h"
#include "serving/engine_clients_base.h"
#include "serving/engine_notice_recorder_base.h"
#include "serving/engine_rate_limiter_base.h"
#include "serving/exchange_base.h"
#include "serving/front_metrics_base.h"
#include "serving/request_work_type.h"

namespace sapphire::serving {

/** @return The end's name in log lines and metrics. */
std::string_view NameOf(ExchangeEnd end);

/** One send of a request to one engine. */
struct EngineSend {
  fleet::InstanceId engine;
  fleet::ModelOrAdapter part;
  fleet::SendTicket ticket;
  WatchedSend watched;
  SendOptions options;
  std::shared_ptr<http::Client> client;
  std::unique_ptr<Exchange> exchange;
};

/** The engine of a send. */
struct SendTarget {
  fleet::InstanceId engine;
  /** Sends of the request that are still in progress. */
  int other_sends = 0;
};

/** What the owner of a send is told of it. */
struct SendCallbacks {
  /** Called repeatedly while the engine is silent. */
  std::function<void()> silent;
  /** Called with each part of the engine's answer. */
  std::function<void()> answered;
  /** As in ExchangeHooks. */
  std::function<void()> stream_begun;
};

/** Dependencies of the sender; all outlive it and its sends. */
struct SenderDependencies {
  EngineRateLimiter& rate_limiter;
  EngineNoticeRecorder& notices;
  fleet::EngineRegistry& registry;
  fleet::EngineLoads& loads;
  EngineClients& clients;
  CrashWatch& crash_watch;
  const EngineWire& engine_wire;
  FrontMetrics& metrics;
  const core::Clock& clock;
  std::shared_ptr<AnswerBudget> answers;
};

/** Prepares sends, and records their begin and end. Not thread-safe. */
class RequestSender {
 public:
  explicit RequestSender(SenderDependencies parts) : deps_(std::move(parts)) {}

  /**
   * Begins a send; its exchange is to be opened next.
   * @param authorization Allows this send, by the configuration in force.
   * @return The send; null if the engine is no longer registered, leaves or
   *   rests.
   * @pre `work` outlives the send.
   */
  std::shared_ptr<EngineSend> Begin(RequestWork& work,
                                    const Authorization& authorization,
                                    const SendTarget& target,
                                    SendCallbacks callbacks,
                                    const core::Executor& executor);

  /** Records the end of a send and closes its connection. */
  void End(EngineSend& send, const ExchangeResult& result);

 private:
  WatchedSend Watch(const RequestWork& work, const fleet::EngineEntry& engine);
  ExchangeHooks HooksOf(RequestWork& work, EngineSend& send,
                        SendCallbacks callbacks);
  void NotePrefix(const RequestWork& work, const fleet::InstanceId& engine);

  const SenderDependencies deps_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_REQUEST_SENDER_BASE_H_
