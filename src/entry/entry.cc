/** @file entry.cc Wires the components of an entry process. */
#include <algorithm>
#include <utility>

#include "core/task_func.h"
#include "entry/attempt_func.h"
#include "entry/entry_base.h"
#include "http/request_budget_base.h"

namespace sapphire::entry {

using core::Error;
using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;
using core::Task;
using std::chrono::milliseconds;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr milliseconds kDrainPoll{20};

/** Increments a counter for the duration of a scope. */
class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<int>& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<int>& count_;
};

AdminOptions AdminOptionsOf(const EntryOptions& options) {
  AdminOptions admin;
  admin.self = options.vm;
  admin.zone = options.zone;
  return admin;
}

GatewayDependencies MakeGatewayDependencies(
    contract::ConfigHolder& config, HeadCheck& head_check, Directory& directory,
    Placer& placer, Dispatcher& dispatcher, OnceRunner& once,
    link::LinkNode& links, Metrics& metrics, const core::Clock& clock,
    const core::Logger& log) {
  return {config, head_check, directory, placer, dispatcher,
          once,   links,      metrics,   clock,  log};
}

}  // namespace

Entry::Entry(const core::Executor& executor, const EntryOptions& options,
             external::KeyValueStore& store, external::VmList& vm_list,
             const core::Clock& clock, const core::Logger& log,
             Metrics& metrics)
    : options_(options),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      config_parts_(config_),
      puller_(executor, config_, config_parts_, log),
      links_(
          executor, options.links,
          [this](std::shared_ptr<link::Call> call, gen::Message first) {
            return AnswerCall(std::move(call), std::move(first));
          },
          puller_.Hooks(), clock, log),
      directory_(executor, {options.vm, options.vm_list_interval}, vm_list,
                 links_, clock, log),
      config_watch_(executor, {}, store, config_parts_, clock, log),
      config_store_({}, store, config_, config_parts_, clock, log),
      head_check_(executor, {}, store, config_, config_parts_, clock, log),
      scheduler_(executor, options.scheduler, config_, directory_, links_,
                 store, clock, log),
      placer_(executor, options.vm, directory_, scheduler_, links_, clock, log),
      dispatcher_(placer_, links_, clock, log),
      claims_(executor, options.claims, store, clock, log),
      once_runner_(executor,
                   {options.vm, options.finished_retention, milliseconds(2000)},
                   claims_, placer_, links_, clock, log),
      gateway_(options.vm, options.callers,
               MakeGatewayDependencies(config_, head_check_, directory_,
                                       placer_, dispatcher_, once_runner_,
                                       links_, metrics, clock, log)),
      admin_(AdminOptionsOf(options), config_, config_store_, directory_,
             links_, clock, log),
      http_(
          executor, options.listen_address, options.http,
          [this](const http::Request& request, http::ResponseWriter& writer) {
            return AnswerHttp(request, writer);
          },
          log,
          std::make_shared<http::RequestBudget>(options.request_bytes, clock)) {
  config_.OnChange([this](const contract::Config& config) {
    log_.Event(LogLevel::kInfo, LogCategory::kConfig, "config_in_force",
               {{"version", config.version}, {"plan", config.plan}});
    links_.AnnounceVersion();
  });
}

void Entry::Start() {
  link_address_ = links_.Listen(options_.link_listen_address);
  directory_.Start();
  config_watch_.Start();
  http_.Start();
}

/** Guards against requests to an entry that can't serve: one that has just
 * resumed from a freeze or is partitioned refuses every request with
 * no_endpoint. While it is not ready, the balancer sends it none, until a link
 * is up again. */
bool Entry::IsReady() const {
  if (leaving_ || config_.version() == 0) return false;
  const std::vector<KnownEndpoint> endpoints = directory_.Endpoints();
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [](const KnownEndpoint& it) { return it.connected; });
}

std::map<core::ServiceId, ServiceReplicas> Entry::CountReplicas() const {
  std::map<core::ServiceId, ServiceReplicas> counts;
  const auto config = config_.Current();
  if (!config) return counts;
  for (const auto& [name, service] : config->intent.services) {
    if (service.kind != contract::ServiceKind::kModel) continue;
    counts[name].limit = service.max_replicas;
  }
  for (const KnownEndpoint& endpoint : directory_.Endpoints()) {
    for (const gen::ReplicaReport& replica : endpoint.report.replicas) {
      const auto it = config->intent.models.find(core::ModelId(replica.model));
      if (it != config->intent.models.end()) {
        ++counts[it->second.service].reported;
      }
    }
  }
  return counts;
}

MetricValues Entry::CurrentMetricValues() const {
  MetricValues levels;
  levels.config_version = config_.version();
  levels.requests_in_progress = http_.in_progress();
  levels.refusals = http_.refusals();
  levels.once_runs_in_progress = once_runner_.in_progress();
  for (const KnownEndpoint& endpoint : directory_.Endpoints()) {
    levels.endpoints_connected += endpoint.connected ? 1 : 0;
  }
  levels.entries_live = static_cast<int>(directory_.Entries().size());
  levels.leaving = leaving_;
  levels.services = CountReplicas();
  levels.scheduler = scheduler_.stats();
  levels.links = links_.counters();
  return levels;
}

Task<> Entry::AnswerHttp(const http::Request& request,
                         http::ResponseWriter& writer) {
  const std::string path(http::PathOf(request.target));
  if (Admin::IsAdminPath(request.target)) {
    co_await admin_.Handle(request, writer);
  } else if (path == "/metrics" || path == "/healthz" || path == "/readyz") {
    co_await AnswerMonitoringPath(path, writer);
  } else {
    co_await gateway_.Handle(request, writer);
  }
}

Task<> Entry::AnswerMonitoringPath(std::string path,
                                   http::ResponseWriter& writer) {
  http::Response response;
  if (path == "/metrics") {
    response = http::MetricsResponse(metrics_.Text(CurrentMetricValues()));
  } else if (path == "/readyz" && !IsReady()) {
    response = http::MakeResponse(kUnavailable, "text/plain", "not ready\n");
  } else {
    response = http::MakeResponse(kOk, "text/plain", "ok\n");
  }
  co_await writer.Send(std::move(response));
}

Task<> Entry::AnswerCall(std::shared_ptr<link::Call> call, gen::Message first) {
  if (first.__isset.place) {
    const ScopedCount counted(peer_calls_);
    co_await scheduler_.Serve(std::move(call), std::move(first.place));
  } else if (first.__isset.run) {
    const ScopedCount counted(peer_calls_);
    co_await AnswerRun(std::move(call), std::move(first.run));
  } else if (first.__isset.config_pull) {
    co_await puller_.Serve(std::move(call), std::move(first.config_pull));
  } else {
    throw Error(ErrorCode::kMalformedRequest,
                "an entry does not serve " + link::KindOf(first));
  }
}

Task<> Entry::AnswerRun(std::shared_ptr<link::Call> call, gen::Run run) {
  if (!run.non_idempotent) {
    throw Error(ErrorCode::kMalformedRequest,
                "an entry runs only non-idempotent requests for others");
  }
  const auto deadline = clock_.Now() + milliseconds(run.remaining_ms);
  CallSink sink(call);
  co_await once_runner_.Run(std::move(run), deadline, sink);
}

bool Entry::IsIdle() const {
  return http_.in_progress() == 0 && peer_calls_ == 0 &&
         once_runner_.in_progress() == 0;
}

Task<bool> Entry::Leave() {
  leaving_ = true;
  directory_.MarkSelfLeaving();
  log_.Event(LogLevel::kInfo, LogCategory::kProcess, "leaving");
  co_await core::SleepFor(options_.lame_duck);
  http_.StopAccepting();
  links_.StopAccepting();
  const auto limit = clock_.Now() + options_.drain_timeout;
  while (!IsIdle() && clock_.Now() < limit) {
    co_await core::SleepFor(kDrainPoll);
  }
  directory_.Stop();
  config_watch_.Stop();
  const bool whole = IsIdle();
  log_.Event(LogLevel::kInfo, LogCategory::kProcess, "left",
             {{"whole", whole}});
  co_return whole;
}

void Entry::Close() { links_.Close(); }

}  // namespace sapphire::entry
