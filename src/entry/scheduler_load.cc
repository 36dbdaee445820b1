/** @file scheduler_load.cc Orders endpoints to load models. */
#include <algorithm>
#include <optional>
#include <utility>

#include "core/task_func.h"
#include "entry/scheduler_state_base.h"

namespace sapphire::entry {

namespace {

using core::ErrorCode;

/** Least time given to a load, however short the deadlines of its requests. */
constexpr core::Millis kMinLoadTime{1000};
/** Time the endpoint's answer may take beyond the time given to the load. */
constexpr core::Millis kAnswerMargin{500};

/** @return True if the error is no fault of the endpoint: the load continues
 * beyond the time it was given, or all load slots are taken right now. */
bool IsTransientLoadError(ErrorCode code) {
  return code == ErrorCode::kTimedOut || code == ErrorCode::kDeadlineTooShort ||
         code == ErrorCode::kQueueFull;
}

/** @return How long an endpoint is excluded from loads after this error. */
core::Millis ExclusionTime(ErrorCode code) {
  switch (code) {
    case ErrorCode::kLeaving:
      return std::chrono::seconds(10);
    case ErrorCode::kReplicaLimit:
    case ErrorCode::kInProgress:
    case ErrorCode::kQueueFull:
      return core::Millis(500);
    case ErrorCode::kLinkLost:
    case ErrorCode::kNoEndpoint:
      return std::chrono::seconds(1);
    default:
      return std::chrono::seconds(3);
  }
}

gen::Message EnsureMessage(const LoadOrder& order,
                           const core::ServiceId& service,
                           core::Millis remaining, core::Millis keep_alive) {
  gen::EnsureModel ensure;
  ensure.service_id = service.value();
  ensure.model = order.model.value();
  ensure.adapter = order.adapter.value();
  ensure.remaining_ms = remaining.count();
  ensure.keep_alive_ms = keep_alive.count();
  for (const core::ModelId& model : order.evict) {
    ensure.evict.push_back(model.value());
  }
  gen::Message message;
  message.__set_ensure_model(ensure);
  return message;
}

}  // namespace

void Scheduler::State::StartLoad(const LoadOrder& order) {
  {
    const std::lock_guard lock(stats_mutex);
    ++stats.loads_ordered;
  }
  log.Event(core::LogLevel::kInfo, core::LogCategory::kReplica, "load_ordered",
            {{"model", order.model},
             {"adapter", order.adapter},
             {"endpoint", order.endpoint},
             {"evict", order.evict.size()}});
  core::Spawn(executor, log, "order_load", [self = shared_from_this(), order] {
    return self->OrderLoad(order);
  });
}

core::Task<> Scheduler::State::OrderLoad(LoadOrder order) {
  const core::SteadyTime started = clock.Now();
  std::optional<core::Error> failure;
  try {
    co_await SendLoad(order, started);
  } catch (const core::Error& e) {
    failure = e;
  } catch (const std::exception& e) {
    failure = core::Error(ErrorCode::kInternal, e.what());
  }
  EndLoad(order, started, failure ? &*failure : nullptr);
}

core::Task<> Scheduler::State::SendLoad(LoadOrder order,
                                        core::SteadyTime started) {
  const auto address = fleet.AddressOf(order.endpoint);
  if (!address) throw core::Error(ErrorCode::kLinkLost, "not connected");
  const auto current = config.Current();
  const auto model = current->intent.models.find(order.model);
  if (model == current->intent.models.end()) {
    throw core::Error(ErrorCode::kUnknownModel, order.model.value());
  }
  core::Millis remaining;
  core::Millis keep_alive;
  {
    Shard& shard = ShardOf(order.model);
    const std::lock_guard lock(shard.mutex);
    const ModelQueue& queue = shard.queues[order.model];
    const core::SteadyTime latest =
        LatestDeadline(queue, started + std::max(order.min_time, kMinLoadTime));
    remaining = std::chrono::duration_cast<core::Millis>(latest - started);
    keep_alive = KeepAliveFor(*current, queue, order.model, order.endpoint);
  }
  const auto call = co_await links.Open(
      *address,
      EnsureMessage(order, model->second.service, remaining, keep_alive));
  const gen::Message answer = co_await call->Receive(remaining + kAnswerMargin);
  if (!answer.__isset.model_ready) {
    throw core::Error(ErrorCode::kInternal, "no answer to a load order");
  }
}

void Scheduler::State::EndLoad(const LoadOrder& order, core::SteadyTime started,
                               const core::Error* failure) {
  const core::SteadyTime now = clock.Now();
  const auto took = std::chrono::duration_cast<core::Millis>(now - started);
  {
    Shard& shard = ShardOf(order.model);
    const std::lock_guard lock(shard.mutex);
    ModelQueue& queue = shard.queues[order.model];
    const LoadKey key(order.endpoint, order.adapter);
    queue.loads.erase(key);
    fleet.EndLoad(order, failure == nullptr);
    if (failure == nullptr) {
      queue.failed_loads_in_row = 0;
      queue.last_load_error.reset();
      queue.avoid_until.erase(key);
      if (!order.base_loaded) {
        RecordLoadTime(queue.load_times, order.tier, took, now);
      }
    } else {
      RecordLoadFailure(queue, order, *failure);
    }
  }
  log.Event(
      failure == nullptr ? core::LogLevel::kInfo : core::LogLevel::kWarning,
      core::LogCategory::kReplica, "load_ended",
      {{"model", order.model},
       {"adapter", order.adapter},
       {"endpoint", order.endpoint},
       {"took_ms", took},
       {"error", failure == nullptr ? "" : failure->what()}});
  Evaluate(order.model);
}

void Scheduler::State::RecordLoadFailure(ModelQueue& queue,
                                         const LoadOrder& order,
                                         const core::Error& failure) {
  // Failure: the weight store is slow, and a load outlasts every request that
  // waited for it. The report shows it still loading. Excluding the endpoint
  // would skip it just when the load is about to succeed.
  const bool goes_on = IsTransientLoadError(failure.code()) &&
                       fleet.HasReplica(order.endpoint, order.model);
  if (goes_on && failure.code() != ErrorCode::kQueueFull) return;
  const core::SteadyTime now = clock.Now();
  // A failed adapter load does not exclude the endpoint for the base model.
  const core::AdapterId adapter =
      order.base_loaded ? order.adapter : core::AdapterId();
  queue.avoid_until[{order.endpoint, adapter}] =
      now + ExclusionTime(failure.code());
  if (goes_on) return;
  ++queue.failed_loads_in_row;
  queue.last_load_error = failure;
  queue.last_load_error_at = now;
}

}  // namespace sapphire::entry
