/** @file endpoint_service.cc Answers the entries' calls about one engine. */
#include <algorithm>
#include <utility>

#include "core/error_type.h"
#include "core/task_func.h"
#include "orders/endpoint_service_base.h"

namespace sapphire::orders {

using core::Error;
using core::ErrorCode;

namespace {

/** An entry tells of its use at least this often; longer silence ends it. */
constexpr std::chrono::seconds kUsageSilence{5};

/** @return True if the engine can serve or load other things than were told. */
bool IsNews(const gen::EndpointReport& told, const gen::EndpointReport& now) {
  const auto same_replica = [](const gen::ReplicaReport& a,
                               const gen::ReplicaReport& b) {
    return a.model == b.model && a.state == b.state && a.adapters == b.adapters;
  };
  return told.engine_up != now.engine_up ||
         told.loading_model != now.loading_model ||
         told.engine_instance != now.engine_instance ||
         !std::ranges::equal(told.replicas, now.replicas, same_replica);
}

}  // namespace

EndpointService::EndpointService(EndpointServiceOptions options,
                                 EngineDesk& desk,
                                 const core::Executor& executor,
                                 const core::Clock& clock,
                                 const core::Logger& log)
    : options_(options),
      desk_(desk),
      executor_(executor),
      clock_(clock),
      log_(log) {}

core::Task<> EndpointService::Answer(std::shared_ptr<link::Call> call,
                                     gen::Message first) {
  if (first.__isset.ensure_model) {
    co_await Ensure(std::move(call), std::move(first.ensure_model));
    co_return;
  }
  if (!first.__isset.subscribe) {
    throw Error(ErrorCode::kMalformedRequest,
                link::KindOf(first) + " is not for an endpoint");
  }
  const std::int64_t entry = next_entry_++;
  core::Spawn(executor_, log_, "take_usage",
              [this, call, entry] { return TakeUsage(call, entry); });
  co_await Report(std::move(call));
}

core::Task<> EndpointService::Report(std::shared_ptr<link::Call> call) {
  ++entries_;
  std::exception_ptr end;
  gen::EndpointReport told;
  core::SteadyTime told_at;
  try {
    while (!call->ended()) {
      const std::uint64_t seen = desk_.changed().epoch();
      const core::SteadyTime now = clock_.Now();
      gen::EndpointReport report = Newest();
      report.entries = entries_;
      if (IsNews(told, report) || now - told_at >= LoadGap()) {
        told = report;
        told_at = now;
        gen::Message message;
        message.__set_endpoint_report(report);
        co_await call->Send(std::move(message));
      }
      co_await core::SleepFor(options_.gather);
      co_await desk_.changed().Wait(seen, options_.report_interval);
    }
  } catch (...) {
    end = std::current_exception();
  }
  --entries_;
  if (end) std::rethrow_exception(end);
}

const gen::EndpointReport& EndpointService::Newest() {
  const std::uint64_t epoch = desk_.changed().epoch();
  if (!newest_ || newest_epoch_ != epoch) {
    newest_ = desk_.Snapshot();
    newest_epoch_ = epoch;
  }
  return *newest_;
}

std::chrono::milliseconds EndpointService::LoadGap() const {
  return std::clamp(entries_ * options_.load_gap_an_entry, options_.load_gap,
                    options_.most_load_gap);
}

core::Task<> EndpointService::TakeUsage(std::shared_ptr<link::Call> call,
                                        std::int64_t entry) {
  std::string why;
  try {
    while (true) {
      const gen::Message message = co_await call->Receive(kUsageSilence);
      if (message.__isset.usage_report) {
        desk_.usage().Note(entry, message.usage_report);
      }
    }
  } catch (const Error& e) {
    why = e.what();
  }
  desk_.usage().Forget(entry);
  log_.Event(core::LogLevel::kInfo, core::LogCategory::kLink, "entry_left",
             {{"entry_vm", call->peer().vm}, {"reason", why}});
}

core::Task<> EndpointService::Ensure(std::shared_ptr<link::Call> call,
                                     gen::EnsureModel wish) {
  ModelWish inner;
  inner.model = core::ModelId(wish.model);
  inner.adapter = core::AdapterId(wish.adapter);
  inner.instance = fleet::InstanceId(wish.engine_instance);
  for (const std::string& it : wish.evict) inner.evict.emplace_back(it);
  inner.deadline = clock_.Now() + std::chrono::milliseconds(wish.remaining_ms);
  co_await desk_.Ensure(std::move(inner));
  gen::ModelReady ready;
  ready.model = wish.model;
  ready.adapter = wish.adapter;
  gen::Message message;
  message.__set_model_ready(ready);
  co_await call->Send(std::move(message));
}

}  // namespace sapphire::orders
