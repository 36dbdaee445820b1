/** @file admin_test.cc Tests the operators' interface over HTTP with real
 * links.
 */
#define BOOST_TEST_MODULE admin
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "contract/config_pull_base.h"
#include "contract/intent_func.h"
#include "entry/admin_base.h"
#include "entry/fleet_fake_base.h"
#include "http/client_base.h"
#include "http/server_base.h"

namespace sapphire::entry {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::string_view kIntent = R"(deployment = "meander"
[[service]]
name = "cabin"
max_replicas = 2
[[model]]
name = "itinerary"
service = "cabin"
weight_bytes = "8 GiB"
kv_budget_bytes = "1 GiB"
)";

/** An endpoint that adopts configurations from links and can be drained. */
struct Follower {
  Follower(fake::Threads& threads, const std::string& vm,
           const core::Clock& clock, const core::Logger& log)
      : name(vm),
        puller(threads.executor(), holder, parts, log),
        links(
            threads.executor(), fake::LinkOptionsOf(vm, gen::Role::ENDPOINT),
            [this](std::shared_ptr<link::Call> call, gen::Message first) {
              return Answer(std::move(call), std::move(first));
            },
            puller.Hooks(), clock, log),
        address(links.Listen("127.0.0.1:0")) {
    holder.OnChange(
        [this](const contract::Config&) { links.AnnounceVersion(); });
  }

  core::Task<> Answer(std::shared_ptr<link::Call> call, gen::Message first) {
    gen::Message message;
    if (first.__isset.subscribe) {
      message.__set_endpoint_report(Report());
      co_await call->Send(message);
      while (!call->ended()) {
        co_await core::SleepFor(milliseconds(10));
      }
    } else if (first.__isset.drain) {
      leaving = true;
      gen::DrainState state;
      state.running = 3;
      message.__set_drain_state(state);
      co_await call->Send(message);
    }
  }

  [[nodiscard]] gen::EndpointReport Report() const {
    gen::ReplicaReport replica;
    replica.model = "itinerary";
    replica.state = gen::ReplicaState::READY;
    replica.running = 1;
    gen::EndpointReport report;
    report.endpoint = name;
    report.kind = "model";
    report.engine_up = true;
    report.replicas = {replica};
    return report;
  }

  const std::string name;
  contract::ConfigHolder holder;
  contract::PartCache parts{holder};
  contract::ConfigPuller puller;
  link::LinkNode links;
  std::string address;
  std::atomic<bool> leaving = false;
};

struct Fixture {
  Fixture() {
    holder.OnChange(
        [this](const contract::Config&) { links.AnnounceVersion(); });
    links.Listen("127.0.0.1:0");
    server.Start();
    directory.Start();
  }

  ~Fixture() {
    directory.Stop();
    links.Close();
    frozen.node().Close();
    follower.links.Close();
    far_entry.links.Close();
    threads.Stop();
  }

  /** Adds an endpoint to the platform's list and waits until it is known. */
  void Add(const std::string& vm, const std::string& address) {
    list.Add(vm, external::VmRole::kEndpoint, address);
    const core::EndpointId id(vm);
    BOOST_REQUIRE(fake::Eventually([&] { return !!directory.Find(id); }));
  }

  core::Task<> Handle(const http::Request& request,
                      http::ResponseWriter& writer) {
    return admin.Handle(request, writer);
  }

  http::Response Fetch(const std::string& method, const std::string& path,
                       const std::string& type = {}, std::string body = {}) {
    http::Request request;
    request.method = method;
    request.target = "/admin/v1/" + path;
    if (!type.empty()) request.headers.push_back({"Content-Type", type});
    request.body = std::move(body);
    return threads.Start(client.Fetch(request, milliseconds(20'000))).get();
  }

  json::value FetchOk(const std::string& method, const std::string& path,
                      const std::string& type = {}, std::string body = {}) {
    const auto response = Fetch(method, path, type, std::move(body));
    BOOST_TEST(response.head.status == 200);
    return json::parse(response.body);
  }

  std::string MakePlan() {
    const json::value plan =
        FetchOk("POST", "plans", "application/toml", std::string(kIntent));
    return std::string(plan.at("id").as_string());
  }

  void CheckProblem(const http::Response& response, int status,
                    std::string_view name, std::string_view detail) {
    BOOST_TEST(response.head.status == status);
    const json::value problem = json::parse(response.body);
    BOOST_TEST(
        std::string_view(problem.at("type").as_string()).ends_with(name));
    BOOST_TEST(
        std::string_view(problem.at("detail").as_string()).find(detail) !=
        std::string_view::npos);
  }

  core::SystemClock clock;
  core::Logger log{{"test", core::VmId("t"), core::ZoneId("z")},
                   core::LogLevel::kError,
                   clock};
  fake::Threads threads;
  fake::FakeStore kv;
  fake::FakeVmList list;
  contract::ConfigHolder holder;
  contract::PartCache parts{holder};
  contract::ConfigPuller puller{threads.executor(), holder, parts, log};
  link::LinkNode links{
      threads.executor(),
      fake::LinkOptionsOf("e-1", gen::Role::ENTRY),
      [this](std::shared_ptr<link::Call> call, gen::Message first) {
        return puller.Serve(std::move(call), std::move(first.config_pull));
      },
      puller.Hooks(),
      clock,
      log};
  Directory directory{threads.executor(),
                      {.self = core::VmId("e-1"),
                       .list_interval = milliseconds(20),
                       .max_probed_entries = 0},
                      list,
                      links,
                      clock,
                      log};
  ConfigStore store{
      {milliseconds(300), milliseconds(1)}, kv, holder, parts, clock, log};
  Admin admin{{.self = core::VmId("e-1"),
               .zone = core::ZoneId("a"),
               .in_force_timeout = milliseconds(1'000)},
              holder,
              store,
              directory,
              links,
              clock,
              log};
  http::Server server{
      threads.executor(),
      "127.0.0.1:0",
      {},
      [this](const http::Request& request, http::ResponseWriter& writer) {
        return Handle(request, writer);
      },
      log};
  http::Client client{server.address()};
  Follower follower{threads, "vm-1", clock, log};
  Follower far_entry{threads, "e-2", clock, log};
  fake::FakeEndpoint frozen{threads, "vm-2", clock, log};
};

BOOST_FIXTURE_TEST_CASE(PlanConfirmAndShow, Fixture) {
  Add("vm-1", follower.address);
  const std::string id = MakePlan();
  BOOST_TEST(holder.version() == 0);
  BOOST_TEST(FetchOk("GET", "plans/" + id).at("stale").as_bool() == false);
  const json::value answer = FetchOk("POST", "plans/" + id + "/confirm");
  BOOST_TEST(answer.at("version").as_int64() == 1);
  BOOST_TEST(answer.at("not_yet").as_array().empty());
  BOOST_TEST(follower.holder.version() == 1);
  const auto toml = Fetch("GET", "config?format=toml");
  BOOST_CHECK(contract::ParseIntentToml(toml.body, "t") ==
              holder.Current()->intent);
  BOOST_TEST(FetchOk("GET", "config").at("version").as_int64() == 1);
  const json::value models = FetchOk("GET", "models");
  BOOST_TEST(models.at("models").at(0).at("replicas").as_array().size() == 1U);
}

// A VM's process is frozen or does not adopt new versions. The answer to a
// confirmation must name this VM.
BOOST_FIXTURE_TEST_CASE(VmsThatLagAreReported, Fixture) {
  Add("vm-1", follower.address);
  Add("vm-2", frozen.address());
  const json::value answer =
      FetchOk("POST", "plans/" + MakePlan() + "/confirm");
  BOOST_REQUIRE(answer.at("not_yet").as_array().size() == 1U);
  BOOST_TEST(answer.at("not_yet").at(0).at("vm").as_string() == "vm-2");
  const json::value status = FetchOk("GET", "status");
  BOOST_TEST(status.at("vms").as_array().size() == 3U);
  BOOST_TEST(status.at("vms").at(1).at("version").as_int64() == 1);
  BOOST_TEST(status.at("vms").at(2).at("version").as_int64() == 0);
}

// In a large fleet not every entry has a link to every other. An entry without
// a link adopts the version all the same and must not be reported as behind.
BOOST_FIXTURE_TEST_CASE(EntriesWithoutLinkAreNotReportedAsBehind, Fixture) {
  list.Add("e-2", external::VmRole::kEntry, far_entry.address);
  BOOST_REQUIRE(
      fake::Eventually([&] { return directory.Entries().size() == 2; }));
  const json::value answer =
      FetchOk("POST", "plans/" + MakePlan() + "/confirm");
  BOOST_TEST(answer.at("not_yet").as_array().empty());
  BOOST_TEST(far_entry.holder.version() == 1);
}

BOOST_FIXTURE_TEST_CASE(ErrorsNameTheirCause, Fixture) {
  std::string bad(kIntent);
  bad.replace(bad.find("max_replicas"), 12, "max_replica");
  CheckProblem(Fetch("POST", "plans?file=m.toml", "application/toml", bad), 400,
               "bad_intent", "m.toml:2: service.cabin.max_replicas");
  CheckProblem(Fetch("POST", "plans", "application/json", "{"), 400,
               "bad_intent", "is no JSON");
  CheckProblem(Fetch("GET", "plans/none"), 404, "unknown_plan", "none");
  CheckProblem(Fetch("POST", "plans/none/confirm"), 404, "unknown_plan", "");
  CheckProblem(Fetch("GET", "plains"), 404, "unknown_path", "plains");
  CheckProblem(Fetch("DELETE", "config"), 404, "unknown_path", "DELETE");
  CheckProblem(Fetch("POST", "endpoints/vm-9/drain"), 503, "no_endpoint",
               "vm-9");
  const std::string first = MakePlan();
  const std::string second = MakePlan();
  FetchOk("POST", "plans/" + first + "/confirm");
  CheckProblem(Fetch("POST", "plans/" + second + "/confirm"), 409,
               "plan_conflict", "make the plan again");
  kv.down = true;
  CheckProblem(Fetch("POST", "plans/" + second + "/confirm"), 503,
               "platform_unavailable", "");
  BOOST_TEST(Fetch("GET", "status").head.status == 200);
}

BOOST_FIXTURE_TEST_CASE(DrainReachesTheEndpoint, Fixture) {
  Add("vm-1", follower.address);
  const json::value answer = FetchOk("POST", "endpoints/vm-1/drain");
  BOOST_TEST(answer.at("running").as_int64() == 3);
  BOOST_TEST(follower.leaving);
  BOOST_TEST(FetchOk("GET", "endpoints").at("endpoints").as_array().size() ==
             1U);
}

}  // namespace
}  // namespace sapphire::entry
