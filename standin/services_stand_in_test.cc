/** @file services_stand_in_test.cc Tests the stand-ins of the VM list, the
 * weight store and a plain service. */
#define BOOST_TEST_MODULE services_stand_in
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

#include "core/task_func.h"
#include "external/external_func.h"
#include "external/test_runner_base.h"
#include "standin/plain_stand_in_base.h"
#include "standin/stand_in_server_base.h"
#include "standin/vms_stand_in_base.h"
#include "standin/weights_stand_in_base.h"

namespace sapphire::standin {
namespace {

namespace json = boost::json;
using core::Millis;

constexpr Millis kTimeout{20'000};
constexpr const char* kOneVm =
    R"({"vms":[{"vm":"e1","zone":"z1","role":"endpoint","state":"leaving",)"
    R"("link_address":"127.0.0.1:9"}]})";

struct Service {
  explicit Service(const StandInServer::Factory& factory)
      : host("service", "127.0.0.1:0", factory), client(host.address()) {}

  http::Response Call(const std::string& method, const std::string& target,
                      const std::string& body = {}) {
    http::Request request{method, target, {}, body};
    return runner.Run(client.Fetch(request, kTimeout));
  }

  json::value Record() {
    return json::parse(Call("GET", "/standin/record").body);
  }

  void SetFaults(const std::string& text) {
    host.stand_in().faults().SetJson(text);
  }

  StandInServer host;
  http::Client client;
  external::TestRunner runner;
};

struct Weights : Service {
  explicit Weights(WeightsOptions options)
      : Service([options](const StandInContext& context) {
          return std::make_unique<WeightsStandIn>(context, options);
        }) {}

  /** Runs `n` transfers concurrently and checks that all succeed. */
  void Transfer(int n, const std::string& target) {
    std::vector<std::future<http::Response>> answers;
    for (int i = 0; i < n; ++i) {
      http::Request request{"GET", target, {}, ""};
      answers.push_back(runner.Begin(client.Fetch(request, kTimeout)));
    }
    for (auto& answer : answers) BOOST_TEST(answer.get().head.status == 200);
  }
};

struct Vms : Service {
  Vms()
      : Service([](const StandInContext& context) {
          return std::make_unique<VmsStandIn>(context);
        }) {}
};

struct Plain : Service {
  Plain()
      : Service([](const StandInContext& context) {
          return std::make_unique<PlainStandIn>(context, "bookings");
        }) {}
};

BOOST_FIXTURE_TEST_CASE(VmListLags, Vms) {
  const auto list = external::MakeHttpVmList(host.address(), kTimeout);
  SetFaults(R"({"lag_ms":60000})");
  BOOST_TEST(Call("POST", "/vms", kOneVm).head.status == 200);
  BOOST_TEST(runner.Run(list->Read()).empty());
  SetFaults(R"({"lag_ms":0})");
  const auto vms = runner.Run(list->Read());
  BOOST_TEST(vms.at(0).vm.value() == "e1");
  BOOST_TEST((vms.at(0).role == external::VmRole::kEndpoint));
  BOOST_TEST((vms.at(0).state == external::VmState::kLeaving));
  BOOST_TEST(Call("POST", "/vms", R"({"vms":[{}]})").head.status == 400);
}

BOOST_AUTO_TEST_CASE(WeightStoreSpacesStartsAndCountsTransfers) {
  WeightsOptions options;
  options.loads_per_second = 10;
  options.bytes_per_second = 1e6;
  Weights store(options);
  store.Transfer(3, "/weights/m?bytes=1000000");
  const json::value record = store.Record();
  BOOST_TEST(record.at("active").as_int64() == 0);
  BOOST_TEST(record.at("peak_active").as_int64() >= 2);
  std::set<std::int64_t> starts;
  for (const json::value& it : record.at("transfers").as_array()) {
    starts.insert(it.at("started_ms").as_int64());
  }
  BOOST_TEST(starts.size() == 3U);
  // The last transfer can't start before two intervals have passed.
  BOOST_TEST(*starts.rbegin() - *starts.begin() >= 150);
}

BOOST_AUTO_TEST_CASE(TransfersBeyondLimitShareSpeed) {
  WeightsOptions options;
  options.loads_per_second = 1000;
  options.at_once = 1;
  options.bytes_per_second = 1e6;
  Weights store(options);
  const auto began = std::chrono::steady_clock::now();
  store.Transfer(2, "/weights/m?bytes=200000");
  const auto took = std::chrono::steady_clock::now() - began;
  // Each takes 200 ms alone. Only a lower bound: the test machine may be slow.
  BOOST_TEST((took >= Millis(350)));
}

// A request whose answer is lost or cut in half has run all the same, and the
// record shows it.
BOOST_FIXTURE_TEST_CASE(RequestWithLostAnswerIsRecorded, Plain) {
  BOOST_TEST(Call("PUT", "/a/b?c=d").body ==
             R"({"service":"bookings","request_id":"","runs":1})");
  SetFaults(R"({"lose_answers":1})");
  BOOST_CHECK_THROW(Call("POST", "/a"), http::TransportError);
  SetFaults(R"({"cut_body":1})");
  BOOST_CHECK_THROW(Call("POST", "/a"), http::TransportError);
  SetFaults(R"({"down":true})");
  BOOST_CHECK_THROW(Call("POST", "/a"), http::TransportError);
  const json::value record = Record();
  BOOST_TEST(record.at("runs").as_array().size() == 3U);
  BOOST_TEST(record.at("runs").at(0).at("path").as_string() == "/a/b");
}

}  // namespace
}  // namespace sapphire::standin
