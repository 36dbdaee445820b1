/** @file front.cc Assembles an entry that sends requests to engines. */
#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "fleet/entry_message_func.h"
#include "routing/document_hooks_func.h"
#include "serving/front_base.h"

namespace sapphire::serving {

using core::LogCategory;
using core::LogLevel;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr milliseconds kLeavePoll{20};
/** A load balancer probes once a second and decides by two answers: new
 * connections may arrive for this long after the entry has stopped being ready.
 */
constexpr milliseconds kBalancerLag{2500};
/** Path on the metrics address that lists what may be crashing engines. */
constexpr std::string_view kSuspectsPath = "/suspects";
/** A link to an endpoint without a load request for this long is closed. */
constexpr milliseconds kIdleLink{3000};
/** Time reserved for the process to exit. */
constexpr milliseconds kExitTime{300};

link::LinkOptions LinkOptionsOf(const FrontOptions& options) {
  link::LinkOptions links;
  links.self.vm = options.vm.value();
  links.self.zone = options.zone.value();
  links.self.role = gen::Role::ENTRY;
  links.idle_timeout = kIdleLink;
  links.self.incarnation = core::RandomPositive();
  links.max_accepted_links = options.connections.links;
  return link::WithSmallLimits(std::move(links));
}

orders::LeaseOptions LeaseOptionsOf(const FrontOptions& options) {
  orders::LeaseOptions leases = options.leases;
  leases.self.vm = options.vm.value();
  leases.self.address = options.link_listen;
  return leases;
}

/** Does nothing: an entry leaves an engine to the process that controls it. */
core::Task<> KeepCurrentHolder(const gen::EngineHolder& /*holder*/,
                               const std::string& /*engine*/) {
  co_return;
}

orders::PoolOptions PoolOptionsOf(const FrontOptions& options) {
  orders::PoolOptions pool;
  pool.vm = options.vm.value();
  pool.address = options.link_listen;
  return pool;
}

orders::OrderServiceCallbacks OrderServicePartsOf(
    orders::ControllerPool& pool) {
  orders::OrderServiceCallbacks parts;
  parts.find = [&pool](const fleet::InstanceId& instance) {
    return pool.Find(instance);
  };
  parts.release = [&pool](std::string engine) {
    return pool.Release(std::move(engine));
  };
  return parts;
}

fleet::ControllerClientOptions OrderCallOptionsOf(const FrontOptions& options) {
  fleet::ControllerClientOptions calls;
  calls.self = options.link_listen;
  calls.endpoint_port = options.endpoint_link_port;
  return calls;
}

DispatcherDependencies MakeDependencies(
    const routing::ConfigurationHolder& configuration,
    ConfigurationRefresh& refresh, StoreView view, QuotaGate& quota,
    EngineRateLimiter& rate_limiter, EngineNoticeRecorder& notices,
    fleet::EngineRegistry& registry, fleet::EngineLoads& loads,
    fleet::PeerTable& peer_table, EngineClients& clients, LoadGauges& gauges,
    const ReplicaFinder& finder, ModelLoader& loader, CrashWatch& crash_watch,
    streams::StreamDirectory& stream_directory, const CallerWire& caller_wire,
    const EngineWire& engine_wire, FrontMetrics& metrics,
    const core::Clock& clock, const core::Logger& log, std::size_t answers) {
  return {configuration, refresh,      std::move(view),
          quota,         rate_limiter, notices,
          registry,      loads,        peer_table,
          clients,       gauges,       finder,
          loader,        crash_watch,  stream_directory,
          caller_wire,   engine_wire,  metrics,
          clock,         log,          std::make_shared<AnswerBudget>(answers)};
}

/** @return A store key that is unique to this start of the entry. */
std::string PresenceKeyOf(const FrontOptions& options) {
  return fmt::format("{}{}@{}", fleet::kEntryPrefix, options.vm.value(),
                     core::RandomHexId());
}

PresenceOptions PresenceOptionsOf(const FrontOptions& options,
                                  std::string key) {
  gen::EntryPresence presence;
  presence.vm = options.vm.value();
  presence.zone = options.zone.value();
  presence.address = options.link_listen;
  PresenceOptions out;
  out.key = std::move(key);
  out.value = fleet::Encode(presence);
  return out;
}

BroadcastOptions BroadcastOptionsOf(std::string key) {
  BroadcastOptions broadcaster;
  broadcaster.entry = std::move(key);
  return broadcaster;
}

streams::DirectoryOptions DirectoryOptionsOf(std::string key) {
  streams::DirectoryOptions directory;
  directory.entry = std::move(key);
  return directory;
}

quota::QuotaClientOptions QuotaOptionsOf(const FrontOptions& options,
                                         std::string key) {
  quota::QuotaClientOptions quota;
  quota.entry = std::move(key);
  quota.vm = options.vm.value();
  quota.rules = options.quota;
  return quota;
}

quota::QuotaClientOptions EngineQuotaOptionsOf(const FrontOptions& options,
                                               std::string key) {
  quota::QuotaClientOptions quota = EngineQuotaOptions();
  quota.entry = std::move(key);
  quota.vm = options.vm.value();
  return quota;
}

/** @return The quota client's datagram as one about engines' limits. */
gen::EntryDatagram ToEngineLimitDatagram(const gen::EntryDatagram& datagram) {
  gen::EntryDatagram out;
  if (datagram.__isset.quota_ask) out.__set_engine_ask(datagram.quota_ask);
  if (datagram.__isset.quota_answer) {
    out.__set_engine_answer(datagram.quota_answer);
  }
  return out;
}

RefreshOptions RefreshOptionsOf(const StoreLayout& layout) {
  RefreshOptions refresh;
  refresh.key = layout.configuration_key;
  return refresh;
}

routing::FollowOptions FollowOptionsOf(const Freshness& freshness,
                                       FrontMetrics& metrics) {
  routing::FollowOptions follow = StoreFollowOptions(freshness);
  follow.on_answer = [&metrics](milliseconds age) { metrics.ViewRenewed(age); };
  return follow;
}

milliseconds LongestStreamOf(const routing::Configuration& configuration) {
  milliseconds longest{0};
  for (const routing::Route& it : configuration.routes) {
    if (it.kind == routing::RequestKind::kStream) {
      longest = std::max(longest, it.timeout);
    }
  }
  return longest;
}

http::ServerLimits ServerLimitsOf(const routing::CallerLimits& limits,
                                  const ConnectionLimits& connections) {
  http::ServerLimits out;
  out.max_connections = connections.callers;
  out.max_header_bytes = limits.max_header_bytes;
  out.max_body_bytes = limits.max_body_bytes;
  out.read_timeout = limits.header_timeout;
  out.idle_timeout = limits.idle_timeout;
  return out;
}

/** @return The limits before the first configuration. */
http::ServerLimits InitialLimits(const ConnectionLimits& connections) {
  http::ServerLimits limits;
  limits.max_connections = connections.callers;
  limits.receive_buffer_bytes = kReceiveBufferBytes;
  return limits;
}

}  // namespace

Front::Front(const core::Executor& executor, FrontOptions options,
             StoreLayout layout, external::KeyValueStore& store,
             const CallerWire& caller_wire, const EngineWire& engine_wire,
             orders::MakeEnginePort make_engine_port, const core::Clock& clock,
             const core::Logger& log)
    : options_(std::move(options)),
      layout_(std::move(layout)),
      executor_(executor),
      clock_(clock),
      log_(log),
      stalls_([this](std::string_view work,
                     milliseconds took) { metrics_.Stalled(work, took); },
              clock, log),
      store_(
          store,
          [this](const external::StoreCall& call) { metrics_.StoreCall(call); },
          clock),
      registry_(fleet::RegistryOptions(), clock, log),
      loads_(clock),
      presence_key_(PresenceKeyOf(options_)),
      peer_table_(presence_key_, loads_, clock, log),
      holders_(clock, log),
      leases_(LeaseOptionsOf(options_), KeepCurrentHolder, store_, clock, log),
      pool_(PoolOptionsOf(options_), std::move(make_engine_port), leases_,
            registry_, holders_, peer_table_, configuration_,
            controller_metrics_, executor, clock, log),
      order_service_(OrderServicePartsOf(pool_), clock),
      links_(
          executor, LinkOptionsOf(options_),
          [this](std::shared_ptr<link::Call> call, gen::Message first) {
            return order_service_.HandleCall(std::move(call), std::move(first));
          },
          link::NoVersions(), clock, log),
      calls_(
          OrderCallOptionsOf(options_),
          [this](gen::EnsureModel it) { return EnsureLocally(std::move(it)); },
          links_, registry_, holders_, clock, log),
      notices_(
          presence_key_, loads_, registry_,
          [this] { loader_.changed().Notify(); }, metrics_, log),
      gauges_(engine_wire, clients_, registry_, loads_, notices_, executor,
              clock, log),
      finder_(options_.zone, registry_, peer_table_, loads_, gauges_, clock),
      loader_(finder_, calls_, peer_table_, registry_, loads_, metrics_,
              executor, clock, log),
      crash_watch_(presence_key_,
                   {peer_table_,
                    [this](const std::string& address,
                           const gen::EntryDatagram& datagram) {
                      channel_.Send(address, datagram);
                    },
                    store_, executor_, clock, log},
                   loads_),
      channel_(
          options_.link_listen,
          [this](const gen::EntryDatagram& datagram,
                 const std::string& address) { OnDatagram(datagram, address); },
          executor, clock, log),
      version_history_(registry_, clock),
      stream_directory_(
          DirectoryOptionsOf(presence_key_), version_history_, peer_table_,
          [this] {
            // Without a revision, changes were missed.
            return store_follower_.revision() && !store_follower_.failing() &&
                   !store_follower_.IsLate();
          },
          [this](const std::string& address,
                 const gen::EntryDatagram& datagram) {
            channel_.Send(address, datagram);
          },
          clock),
      version_store_(presence_key_, version_history_, peer_table_, store_,
                     executor, clock, log),
      quota_client_(
          QuotaOptionsOf(options_, presence_key_), peer_table_,
          [this](const std::string& address,
                 const gen::EntryDatagram& datagram) {
            channel_.Send(address, datagram);
          },
          clock, log),
      quota_(quota_client_),
      engine_quota_client_(
          EngineQuotaOptionsOf(options_, presence_key_), peer_table_,
          [this](const std::string& address,
                 const gen::EntryDatagram& datagram) {
            channel_.Send(address, ToEngineLimitDatagram(datagram));
          },
          clock, log),
      rate_limiter_(loads_.limits(), engine_quota_client_, metrics_, log),
      refresh_(
          RefreshOptionsOf(layout_),
          MakeFollowedState(configuration_, store_follower_), store_,
          [this](const external::KvEntry& it) {
            AdoptConfiguration(it);
            return !configuration_.LacksNewest();
          },
          executor_, clock, log),
      dispatcher_(
          options_.dispatch,
          MakeDependencies(
              configuration_, refresh_, MakeStoreView(), quota_, rate_limiter_,
              notices_, registry_, loads_, peer_table_, clients_, gauges_,
              finder_, loader_, crash_watch_, stream_directory_, caller_wire,
              engine_wire, metrics_, clock, log, options_.memory.answers)),
      presence_(PresenceOptionsOf(options_, presence_key_), store_, log),
      broadcaster_(BroadcastOptionsOf(presence_key_), loads_, peer_table_,
                   loader_, channel_, executor, clock, log),
      entry_follower_(peer_table_, log),
      holder_follower_(holders_, log),
      engine_follower_(
          layout_, registry_, [this] { loader_.changed().Notify(); }, clock,
          log),
      store_follower_(FollowOptionsOf(options_.freshness, metrics_), AllHooks(),
                      store_, clock, log),
      request_budget_(std::make_shared<http::RequestBudget>(
          options_.memory.requests, clock)),
      server_(
          executor, options_.listen, InitialLimits(options_.connections),
          [this](const http::Request& request, http::ResponseWriter& writer) {
            return dispatcher_.Serve(request, writer);
          },
          log, request_budget_),
      ready_server_(
          executor, options_.ready_listen, http::MonitoringLimits(),
          [this](const http::Request& request, http::ResponseWriter& writer) {
            return AnswerReady(request, writer);
          },
          log),
      metrics_server_(
          executor, options_.metrics_listen, http::MonitoringLimits(),
          [this](const http::Request& request, http::ResponseWriter& writer) {
            return http::PathOf(request.target) == kSuspectsPath
                       ? AnswerSuspects(writer)
                       : AnswerMetrics(writer);
          },
          log) {}

void Front::Start() {
  links_.Listen(options_.link_listen);
  server_.Start();
  ready_server_.Start();
  metrics_server_.Start();
  crash_watch_.Start();
  channel_.Start();
  core::Spawn(executor_, log_, "follow_store",
              [this] { return store_follower_.Run(); });
  broadcaster_.Start();
  core::Spawn(executor_, log_, "ask_engines", [this] {
    return gauges_.Poll([this] { return store_follower_.failing(); });
  });
  core::Spawn(executor_, log_, "keep_presence",
              [this] { return presence_.Run(); });
  core::Spawn(executor_, log_, "keep_leases", [this] { return leases_.Run(); });
  core::Spawn(executor_, log_, "run_maintenance",
              [this] { return RunMaintenance(); });
}

bool Front::Ready() const {
  return !leaving_ && configuration_.current() != nullptr && KeysConfirmed();
}

StoreView Front::MakeStoreView() {
  StoreView view;
  view.keys_confirmed = [this] { return KeysConfirmed(); };
  view.is_late = [this] { return store_follower_.IsLate(); };
  view.as_of = [this] { return store_follower_.current_as_of(); };
  return view;
}

/** @return False if strict revocation is on and the store has not answered
 * recently: keys may have been revoked meanwhile. */
bool Front::KeysConfirmed() const {
  if (!options_.revocation.strict) return true;
  const auto answered = store_follower_.last_answer();
  return answered && clock_.Now() - *answered < options_.revocation.limit;
}

FrontLevels Front::Levels() const {
  const auto age = [this](std::optional<core::SteadyTime> answered) {
    if (!answered) return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(clock_.Now() - *answered);
  };
  FrontLevels levels;
  levels.config_version = configuration_.version();
  levels.requests_in_progress = server_.in_progress();
  levels.request_bytes = static_cast<std::int64_t>(request_budget_->held());
  levels.refusals = server_.refusals();
  levels.engines_known = static_cast<int>(registry_.engines().size());
  levels.engines_held = registry_.held();
  levels.engines_limited = loads_.limits().limited();
  levels.engines_leaving = loads_.notices().leaving();
  levels.engines_resting = loads_.notices().resting();
  levels.entries = peer_table_.entries();
  levels.coordinators_suspected = quota_client_.suspected_count();
  levels.stream_origins = static_cast<std::int64_t>(stream_directory_.size());
  levels.crashes_known = static_cast<std::int64_t>(crash_watch_.crashes());
  levels.ready = Ready();
  levels.store_age = age(store_follower_.last_answer());
  levels.view_age = age(store_follower_.current_as_of());
  levels.log = log_.counters();
  return levels;
}

core::Task<> Front::AnswerMetrics(http::ResponseWriter& writer) {
  std::string text;
  {
    const core::StallWatch::Span span(stalls_, "metrics");
    text = metrics_.Text(Levels()) + controller_metrics_.CounterText();
  }
  http::Response response = http::MetricsResponse(std::move(text));
  co_await writer.Send(std::move(response));
}

core::Task<> Front::AnswerSuspects(http::ResponseWriter& writer) {
  http::Response response =
      http::MakeResponse(kOk, "text/plain", crash_watch_.Describe());
  co_await writer.Send(std::move(response));
}

core::Task<> Front::AnswerReady(const http::Request& request,
                                http::ResponseWriter& writer) {
  const bool asked = http::PathOf(request.target) == options_.ready_path;
  const int status = asked && Ready() ? kOk : kUnavailable;
  http::Response response = http::MakeResponse(status, "text/plain", "");
  co_await writer.Send(std::move(response));
}

std::vector<routing::FollowHooks> Front::AllHooks() {
  return {ConfigurationHooks(),    engine_follower_.Hooks(),
          entry_follower_.Hooks(), holder_follower_.Hooks(),
          crash_watch_.Hooks(),    version_store_.Hooks()};
}

/** Loads a model on an engine that this entry controls. */
core::Task<> Front::EnsureLocally(gen::EnsureModel load_request) {
  const auto controller =
      pool_.Find(fleet::InstanceId(load_request.engine_instance));
  co_await controller->EnsureLoaded(
      orders::ReadLoadRequest(load_request, clock_.Now()));
}

routing::FollowHooks Front::ConfigurationHooks() {
  return routing::FollowDocument(
      layout_.configuration_key,
      [this](const external::KvEntry& it) { AdoptConfiguration(it); },
      [this] { routing::RecordMissingDocument(configuration_, log_); });
}

void Front::AdoptConfiguration(const external::KvEntry& entry) {
  const core::StallWatch::Span span(stalls_, "configuration");
  const bool adopted = routing::AdoptDocument(
      configuration_, layout_.read_configuration, entry, log_);
  if (!adopted) return;
  const routing::Configuration& current =
      configuration_.current()->configuration();
  server_.SetLimits(ServerLimitsOf(current.limits, options_.connections));
  stream_directory_.SetLongestStream(LongestStreamOf(current));
  UpdateHeartbeats();
}

/** Turns heartbeats on while entries share a limit: they have to know which of
 * them are alive. */
void Front::UpdateHeartbeats() {
  const auto table = configuration_.current();
  const bool has_quotas = table != nullptr && table->HasOrganisations();
  broadcaster_.SetHeartbeats(has_quotas || loads_.limits().limited() > 0);
}

void Front::OnDatagram(const gen::EntryDatagram& datagram,
                       const std::string& address) {
  if (datagram.__isset.record) {
    peer_table_.ApplyRecord(datagram.record);
    for (const gen::EngineLimit& it : datagram.record.limits) {
      loads_.limits().ApplyPeerLimit(fleet::InstanceId(it.engine_instance),
                                     it.per_second);
    }
  }
  if (datagram.__isset.engine_ask) {
    peer_table_.RecordDatagram(datagram.engine_ask.entry);
    engine_quota_client_.OnRequest(datagram.engine_ask, address);
  }
  if (datagram.__isset.engine_answer) {
    peer_table_.RecordDatagram(datagram.engine_answer.entry);
    engine_quota_client_.OnAnswer(datagram.engine_answer);
  }
  if (datagram.__isset.quota_ask) {
    peer_table_.RecordDatagram(datagram.quota_ask.entry);
    quota_client_.OnRequest(datagram.quota_ask, address);
  }
  if (datagram.__isset.quota_answer) {
    peer_table_.RecordDatagram(datagram.quota_answer.entry);
    quota_client_.OnAnswer(datagram.quota_answer);
  }
  if (datagram.__isset.crash_evidence) {
    peer_table_.RecordDatagram(datagram.crash_evidence.entry);
    crash_watch_.OnDatagram(datagram.crash_evidence);
  }
  OnStreamDatagram(datagram, address);
}

void Front::OnStreamDatagram(const gen::EntryDatagram& datagram,
                             const std::string& address) {
  if (datagram.__isset.stream_origins) {
    peer_table_.RecordDatagram(datagram.stream_origins.entry);
    stream_directory_.OnOrigins(datagram.stream_origins);
  }
  if (datagram.__isset.stream_ask) {
    peer_table_.RecordDatagram(datagram.stream_ask.entry);
    stream_directory_.OnAsk(datagram.stream_ask, address);
  }
  if (datagram.__isset.stream_answer) {
    peer_table_.RecordDatagram(datagram.stream_answer.entry);
    stream_directory_.OnAnswer(datagram.stream_answer);
  }
}

core::Task<> Front::RunMaintenance() {
  while (true) {
    {
      const core::StallWatch::Span span(stalls_, "housekeeping");
      registry_.Expire();
      dispatcher_.Forget();
      calls_.Forget();
      pool_.Maintain();
      quota_client_.Tick();
      quota_client_.Forget();
      engine_quota_client_.Tick();
      engine_quota_client_.Forget();
      stream_directory_.Maintain();
      version_store_.Maintain();
      UpdateHeartbeats();
    }
    const core::SteadyTime due = clock_.Now() + kHousekeepingInterval;
    co_await core::SleepFor(kHousekeepingInterval);
    // Whatever blocked the thread meanwhile has delayed this timer too.
    stalls_.Record(
        "any", std::chrono::duration_cast<milliseconds>(clock_.Now() - due));
  }
}

core::Task<> Front::Leave() {
  const core::SteadyTime began = clock_.Now();
  const core::SteadyTime end = began + options_.leave_limit - kExitTime;
  leaving_ = true;
  dispatcher_.SetShutdownTime(end);
  server_.AnnounceLeaving();
  log_.Event(LogLevel::kInfo, LogCategory::kProcess, "leaving",
             {{"in_progress", server_.in_progress()}});
  pool_.Leave();
  co_await presence_.Withdraw();
  while (clock_.Now() < end) {
    const bool balanced = clock_.Now() - began >= kBalancerLag;
    if (balanced && server_.in_progress() == 0) break;
    co_await core::SleepFor(kLeavePoll);
  }
  stream_directory_.HandOver();
  log_.Event(LogLevel::kInfo, LogCategory::kProcess, "left",
             {{"in_progress", server_.in_progress()}});
}

}  // namespace sapphire::serving
