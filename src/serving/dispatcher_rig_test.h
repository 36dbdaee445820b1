/** @file dispatcher_rig_test.h A dispatcher with engines on loopback. */
#ifndef SAPPHIRE_SERVING_DISPATCHER_RIG_TEST_H_
#define SAPPHIRE_SERVING_DISPATCHER_RIG_TEST_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "core/task_func.h"
#include "entry/testing_key_value.h"
#include "entry/testing_loop.h"
#include "http/server_base.h"
#include "serving/dispatcher_base.h"

namespace sapphire::serving::testing {

inline constexpr milliseconds kObjective{1000};
inline const core::ServiceId kDrafts("drafts");
inline const core::ServiceId kPlain("plain");

/** A wire format whose header fields are named after what they hold. */
class TestCallerWire final : public CallerWire {
 public:
  [[nodiscard]] CallerRequest Decode(
      const http::Request& request) const override {
    CallerRequest out;
    out.id = core::RequestId(Field(request, "id"));
    out.host = "test.example";
    out.time_to_wait = milliseconds(std::stoll(Field(request, "wait")));
    out.model = core::ModelId(Field(request, "model"));
    const std::string key = Field(request, "key");
    if (!key.empty()) out.api_key.emplace(key);
    out.resumes = core::RequestId(Field(request, "resumes"));
    const std::string last = Field(request, "last");
    if (!last.empty()) out.last_event = std::stoll(last);
    out.prompt_parts = PartsOf(Field(request, "parts"));
    out.forward = request;
    return out;
  }
  [[nodiscard]] http::Response Refusal(const core::Error& error,
                                       const core::RequestId&) const override {
    return http::MakeResponse(core::InfoOf(error.code()).http_status,
                              "text/plain", "");
  }

 private:
  /** @param text Hashes in hexadecimal, each followed by a blank. */
  static std::vector<PromptPart> PartsOf(const std::string& text) {
    std::vector<PromptPart> parts;
    std::istringstream in(text);
    PromptPart part;
    while (in >> std::hex >> part.hash) parts.push_back(part);
    return parts;
  }

  static std::string Field(const http::Request& request,
                           std::string_view name) {
    return std::string(http::FindHeader(request.headers, name).value_or(""));
  }
};

class TestEngineWire final : public EngineWire {
 public:
  [[nodiscard]] http::Request Compose(
      const CallerRequest& request, const SendOptions& options) const override {
    composed(options);
    http::Request out = request.forward;
    out.headers.push_back({"organisation", options.organisation.value()});
    out.headers.push_back({"rank", std::to_string(options.rank)});
    if (options.pass_credentials) out.headers.push_back({"credentials", "1"});
    if (options.last_event) {
      out.headers.push_back({"after", std::to_string(*options.last_event)});
    }
    return out;
  }
  [[nodiscard]] EngineAnswer Read(
      const http::ResponseHead& head) const override {
    EngineAnswer answer;
    answer.status = head.status;
    answer.not_run = http::FindHeader(head.headers, "not-run").has_value();
    answer.genuine = http::FindHeader(head.headers, "genuine").has_value();
    answer.id = core::RequestId(
        std::string(http::FindHeader(head.headers, "id").value_or("")));
    answer.engine = fleet::EngineId(
        std::string(http::FindHeader(head.headers, "instance").value_or("")));
    if (const auto rate = http::FindHeader(head.headers, "takes-per-second")) {
      answer.limit.per_second = std::stod(std::string(*rate));
    }
    answer.notice.leaving =
        http::FindHeader(head.headers, "leaving").has_value();
    if (const auto rest = http::FindHeader(head.headers, "rest-ms")) {
      answer.notice.rest = milliseconds(std::stoll(std::string(*rest)));
    }
    answer.to_caller.status = head.status;
    return answer;
  }
  [[nodiscard]] http::Request StateRequest(
      const fleet::InstanceId&) const override {
    http::Request request;
    request.target = "/load";
    return request;
  }
  [[nodiscard]] EngineState ReadState(
      const http::Response& answer) const override {
    EngineState state;
    // "RUNNING", or "RUNNING MODEL" if it holds that one.
    state.running = std::stoi(answer.body);
    const std::size_t space = answer.body.find(' ');
    if (space != std::string::npos) {
      state.models.push_back(
          {core::ModelId(answer.body.substr(space + 1)), 0, {}});
    }
    return state;
  }

  /** Called as a request is sent. */
  std::function<void(const SendOptions&)> composed = [](const SendOptions&) {};
};

/** Records what a caller receives. */
class RecordingWriter final : public http::ResponseWriter {
 public:
  core::Task<> Send(http::Response response) override {
    ++answers;
    status = response.head.status;
    body = std::move(response.body);
    whole = true;
    co_return;
  }
  core::Task<> Begin(http::ResponseHead head) override {
    ++answers;
    status = head.status;
    co_return;
  }
  core::Task<> Write(std::string_view data) override {
    body += data;
    co_return;
  }
  core::Task<> End() override {
    whole = true;
    co_return;
  }
  [[nodiscard]] bool started() const override { return answers > 0; }
  void OnCallerDisconnect(std::function<void()> callback) override {
    leave = std::move(callback);
  }

  /** Number of heads written: a caller must receive one. */
  int answers = 0;
  int status = 0;
  std::string body;
  bool whole = false;
  /** True if the connection was cut, so that the answer looks incomplete. */
  bool cut = false;
  std::function<void()> leave;
};

/** One engine on loopback. */
struct TestEngine {
  TestEngine(boost::asio::io_context& io, http::Handler handler,
             const core::Logger& log)
      : server(
            io.get_executor(), "127.0.0.1:0", http::ServerLimits(),
            [this, handler](const http::Request& request,
                            http::ResponseWriter& writer) {
              requests.push_back(request);
              return handler(request, writer);
            },
            log) {
    server.Start();
  }
  std::vector<http::Request> requests;
  http::Server server;
};

/** Streams these parts and ends the stream if `whole`, else cuts it. */
inline http::Handler Streaming(std::vector<std::string> parts, bool whole) {
  return [parts = std::move(parts), whole](
             const http::Request& request,
             http::ResponseWriter& writer) -> core::Task<> {
    http::ResponseHead head;
    head.headers.push_back({"genuine", "1"});
    head.headers.push_back(
        {"id", std::string(*http::FindHeader(request.headers, "id"))});
    co_await writer.Begin(head);
    for (const std::string& it : parts) {
      co_await writer.Write(it);
    }
    if (!whole) throw http::ConnectionCut("test");
    co_await writer.End();
  };
}

/** Streams these parts completely, with a pause after the first. */
inline http::Handler Pausing(std::vector<std::string> parts,
                             milliseconds pause) {
  return [parts = std::move(parts), pause](
             const http::Request& request,
             http::ResponseWriter& writer) -> core::Task<> {
    http::ResponseHead head;
    head.headers.push_back({"genuine", "1"});
    head.headers.push_back(
        {"id", std::string(*http::FindHeader(request.headers, "id"))});
    co_await writer.Begin(head);
    for (const std::string& it : parts) {
      co_await writer.Write(it);
      if (it == parts.front()) {
        co_await core::SleepFor(pause);
      }
    }
    co_await writer.End();
  };
}

/** Answers with this status, marked as not run if `not_run`. */
inline http::Handler Answering(int status, bool not_run, std::string body) {
  return [=](const http::Request& request,
             http::ResponseWriter& writer) -> core::Task<> {
    http::Response response = http::MakeResponse(status, "text/plain", body);
    response.head.headers.push_back({"genuine", "1"});
    response.head.headers.push_back(
        {"id", std::string(*http::FindHeader(request.headers, "id"))});
    if (not_run) response.head.headers.push_back({"not-run", "1"});
    co_await writer.Send(std::move(response));
  };
}

/** Accepts requests and never answers. */
inline http::Handler Silent() {
  return [](const http::Request&, http::ResponseWriter&) -> core::Task<> {
    co_await core::SleepFor(std::chrono::seconds(60));
  };
}

/** @return An organisation with one key and no limits. */
inline organisation::Organisation MakeOrganisation(const std::string& name,
                                                   const std::string& key) {
  organisation::Organisation out;
  out.id = core::OrganisationId(name);
  out.keys.emplace_back(key);
  return out;
}

class Rig {
 public:
  explicit Rig(core::LogLevel level = core::LogLevel::kError,
               int log_fd = core::kStandardOutput)
      : log({"entry", core::VmId("vm"), core::ZoneId("z")}, level, clock,
            log_fd),
        registry(fleet::RegistryOptions(), clock, log),
        loads(clock),
        links(io.get_executor(), link::LinkOptions(), nullptr,
              link::NoVersions(), clock, log),
        peer_table("self", loads, clock, log),
        holders(clock, log),
        calls({"127.0.0.1:2", 0}, nullptr, links, registry, holders, clock,
              log),
        notices(
            "self", loads, registry, [this] { loader.changed().Notify(); },
            metrics, log),
        gauges(engine_wire, clients, registry, loads, notices,
               io.get_executor(), clock, log),
        finder(core::ZoneId("z"), registry, peer_table, loads, gauges, clock),
        loader(finder, calls, peer_table, registry, loads, metrics,
               io.get_executor(), clock, log),
        store(store_clock),
        crash_watch(
            "self",
            {peer_table, [](const std::string&, const gen::EntryDatagram&) {},
             store, io.get_executor(), clock, log},
            loads),
        version_history(registry, clock),
        stream_directory(
            {"self"}, version_history, peer_table, [] { return true; },
            [](const std::string&, const gen::EntryDatagram&) {}, clock),
        quota_client(
            {"self", "vm"}, peer_table,
            [](const std::string&, const gen::EntryDatagram&) {}, clock, log),
        quota(quota_client),
        engine_quota_client(
            EngineQuotaOptionsOfSelf(), peer_table,
            [](const std::string&, const gen::EntryDatagram&) {}, clock, log),
        rate_limiter(loads.limits(), engine_quota_client, metrics, log),
        refresh(
            {"config", milliseconds(1000), milliseconds(5000)},
            {[this] { return listed_as_of; }, [this] { return view_revision; },
             [this] { return view_awaits_answer; }},
            store,
            [this](const external::KvEntry&) {
              if (newest_is_readable && reread) reread();
              return newest_is_readable;
            },
            io.get_executor(), clock, log),
        dispatcher(DispatchOptions(), Dependencies()) {
    Configure(2);
  }

  /** @param max_engines Engines that one request may run on. */
  void Configure(int max_engines) {
    routing::Configuration next;
    next.version = configuration.version() + 1;
    next.routes = {
        MakeRoute("/stream/", routing::RequestKind::kStream, kDrafts, true),
        MakeRoute("/once/", routing::RequestKind::kNonIdempotent, kPlain,
                  false),
        MakeRoute("/safe/", routing::RequestKind::kIdempotent, kPlain, false)};
    for (routing::Route& route : next.routes) {
      route.max_engines = max_engines;
      route.objective = objective;
      route.is_public = route.prefix == public_prefix;
    }
    if (lacks_routes) next.routes.clear();
    next.organisations = organisations;
    routing::Service drafts;
    drafts.id = kDrafts;
    drafts.engine.emplace();
    drafts.engine->models[core::ModelId("m")].id = core::ModelId("m");
    next.services[kDrafts] = drafts;
    next.services[kPlain].id = kPlain;
    configuration.Adopt(std::move(next));
  }

  /** Engines are preferred in the order in which they are added. */
  TestEngine& AddEngine(const core::ServiceId& service, http::Handler handler) {
    engines.push_back(
        std::make_unique<TestEngine>(io, std::move(handler), log));
    AddEngineAt("i-" + std::to_string(engines.size()),
                engines.back()->server.address(), service,
                engines.size() == 1 ? "z" : "other");
    return *engines.back();
  }

  /** Registers an engine, which is preferred if it is in the rig's zone. */
  void AddEngineAt(const std::string& instance, const std::string& address,
                   const core::ServiceId& service,
                   const std::string& zone = "z") {
    fleet::EngineEntry entry;
    entry.instance = fleet::InstanceId(instance);
    entry.service = service;
    entry.address = address;
    entry.zone = core::ZoneId(zone);
    entry.max_running = 8;
    fleet::LoadedModel held;
    held.model = core::ModelId("m");
    entry.models.push_back(held);
    registry.Put(std::move(entry));
  }

  /** Sets the software version of the engine, and its zone. */
  void SetVersion(const std::string& instance, const std::string& version,
                  const std::string& zone) {
    fleet::EngineEntry entry = *registry.Find(fleet::InstanceId(instance));
    entry.software_version = fleet::SoftwareVersion(version);
    entry.zone = core::ZoneId(zone);
    registry.Put(std::move(entry));
  }

  /** Serves one request to its end. */
  void Serve(const std::string& path, milliseconds wait,
             RecordingWriter& writer) {
    entry::testing::RunTask(io, ServeTask(path, wait, writer));
  }

  core::Task<bool> ServeTask(std::string path, milliseconds wait,
                             RecordingWriter& writer) {
    http::Request request;
    request.method = "POST";
    request.target = path + "1";
    request.headers = {{"id", "r-" + std::to_string(++requests_)},
                       {"wait", std::to_string(wait.count())},
                       {"model", "m"},
                       {"key", key}};
    if (resumes) {
      request.headers.push_back({"resumes", resumes->attempt});
      request.headers.push_back({"last", std::to_string(resumes->last_event)});
    }
    try {
      co_await dispatcher.Serve(request, writer);
    } catch (const http::ConnectionCut&) {
      writer.cut = true;
    }
    co_return true;
  }

  /** Lets real time pass. */
  void Pass(milliseconds time) { entry::testing::RunTask(io, Sleep(time)); }

  static core::Task<bool> Sleep(milliseconds time) {
    co_await core::SleepFor(time);
    co_return true;
  }

  boost::asio::io_context io;
  core::SystemClock clock;
  core::Logger log;
  routing::ConfigurationHolder configuration;
  fleet::EngineRegistry registry;
  fleet::EngineLoads loads;
  link::LinkNode links;
  fleet::PeerTable peer_table;
  fleet::EngineHolders holders;
  fleet::ControllerClient calls;
  EngineClients clients;
  TestEngineWire engine_wire;
  EngineNoticeRecorder notices;
  LoadGauges gauges;
  FrontMetrics metrics;
  ReplicaFinder finder;
  ModelLoader loader;
  core::ManualClock store_clock;
  entry::testing::MemoryKeyValue store;
  CrashWatch crash_watch;
  streams::VersionHistory version_history;
  streams::StreamDirectory stream_directory;
  quota::QuotaClient quota_client;
  QuotaGate quota;
  quota::QuotaClient engine_quota_client;
  EngineRateLimiter rate_limiter;
  /** Called when the newest configuration is read. */
  std::function<void()> reread;
  /** False if the store's newest configuration can't be used. */
  bool newest_is_readable = true;
  ConfigurationRefresh refresh;
  bool keys_confirmed = true;
  bool view_is_late = false;
  /** Time up to which the entry knows all changes of the store. */
  std::optional<core::SteadyTime> view_as_of;
  /** Start of the latest listing of the store. */
  std::optional<core::SteadyTime> listed_as_of;
  /** Revision of the store that the configuration in force has. */
  std::optional<std::int64_t> view_revision;
  /** An answer of the store is coming in. */
  bool view_awaits_answer = false;
  TestCallerWire caller_wire;
  Dispatcher dispatcher;
  std::vector<std::unique_ptr<TestEngine>> engines;
  /** Organisations of the next configuration. */
  std::optional<std::vector<organisation::Organisation>> organisations;
  std::string public_prefix;
  milliseconds objective = kObjective;
  /** True if the next configuration has no routes. */
  bool lacks_routes = false;
  /** API key that callers send; empty for none. */
  std::string key;
  /** The stream that callers take up, if any. */
  struct Resumption {
    std::string attempt;
    std::int64_t last_event = 0;
  };
  std::optional<Resumption> resumes;

 private:
  static quota::QuotaClientOptions EngineQuotaOptionsOfSelf() {
    quota::QuotaClientOptions options = EngineQuotaOptions();
    options.entry = "self";
    options.vm = "vm";
    return options;
  }

  DispatcherDependencies Dependencies() {
    const StoreView view{[this] { return keys_confirmed; },
                         [this] { return view_is_late; },
                         [this] { return view_as_of; }};
    return {configuration, refresh,     view,    quota,       rate_limiter,
            notices,       registry,    loads,   peer_table,  clients,
            gauges,        finder,      loader,  crash_watch, stream_directory,
            caller_wire,   engine_wire, metrics, clock,       log};
  }

  static routing::Route MakeRoute(const std::string& prefix,
                                  routing::RequestKind kind,
                                  const core::ServiceId& service,
                                  bool resumable) {
    routing::Route route;
    route.name = prefix;
    route.host = "test.example";
    route.prefix = prefix;
    route.kind = kind;
    route.services = {{service, 1}};
    route.timeout = milliseconds(5000);
    route.idle_timeout = milliseconds(4000);
    route.resumable = resumable;
    return route;
  }

  int requests_ = 0;
};

}  // namespace sapphire::serving::testing

#endif  // SAPPHIRE_SERVING_DISPATCHER_RIG_TEST_H_
