/** @file http_platform_test.cc Tests of the errors that the HTTP clients report
 * for each kind of failure. */
#define BOOST_TEST_MODULE http_platform
#include <boost/test/unit_test.hpp>
#include <functional>

#include "core/task_func.h"
#include "external/external_func.h"
#include "external/test_runner_base.h"
#include "http/server_base.h"

namespace sapphire::external {
namespace {

using core::ErrorCode;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr milliseconds kShortTimeout{50};
/** Nothing listens on this port of the loopback address. */
constexpr const char* kClosedAddress = "127.0.0.1:1";

using Answer = std::optional<http::Response>;

/** A service that gives the same answer to every request; without one, it reads
 * the request and closes the connection. */
struct Service {
  Service()
      : log({"test", core::VmId("t"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        server(
            runner.executor(), "127.0.0.1:0", http::ServerLimits{},
            [this](const http::Request& request, http::ResponseWriter& w) {
              return Serve(request, w);
            },
            log) {
    server.Start();
  }

  core::Task<> Serve(const http::Request& request,
                     http::ResponseWriter& writer) {
    last = request;
    if (delay.count() > 0) {
      co_await core::SleepFor(delay);
    }
    if (!answer) throw http::ConnectionCut("no answer");
    http::Response response = *answer;
    co_await writer.Send(std::move(response));
  }

  void AnswerWith(int status, const std::string& body) {
    answer = http::MakeResponse(status, "application/json", body);
  }

  core::SystemClock clock;
  core::Logger log;
  http::Request last;
  Answer answer;
  milliseconds delay{};
  // Declared after all that its coroutines use, so that its thread ends before
  // those are destroyed.
  TestRunner runner;
  http::Server server;
};

EngineOrder MakeOrder() {
  EngineOrder order;
  order.kind = OrderKind::kLoadAdapter;
  order.model = core::ModelId("m");
  order.adapter = core::AdapterId("a");
  order.bytes = 10;
  order.fence = 7;
  return order;
}

/** @return The error of a compare-and-swap sent to `address`, if any. */
std::optional<ErrorCode> SwapFailure(Service& service,
                                     const std::string& address,
                                     milliseconds timeout = kTimeout) {
  const auto store = MakeHttpKeyValueStore(address, timeout);
  return service.runner.FailureOf(store->CompareAndSwap("k", 0, "v", ""));
}

std::optional<ErrorCode> OrderFailure(Service& service,
                                      const std::string& address,
                                      milliseconds timeout = kTimeout) {
  const auto engine = MakeHttpEngine(address, kTimeout);
  return service.runner.FailureOf(engine->Order(MakeOrder(), timeout));
}

// The service can't be reached when a process writes. Nothing was sent, so the
// process may report to its caller that the write had no effect.
BOOST_FIXTURE_TEST_CASE(UnsentWriteHadNoEffect, Service) {
  BOOST_TEST(
      (SwapFailure(*this, kClosedAddress) == ErrorCode::kPlatformUnavailable));
  BOOST_TEST(
      (OrderFailure(*this, kClosedAddress) == ErrorCode::kEngineUnavailable));
}

// The service executes the write but its answer is lost, or the service is slow
// and the call times out first. The write may have taken effect or may do so
// later; if it were reported as ineffective, a claim would be granted twice.
BOOST_FIXTURE_TEST_CASE(UnansweredWriteIsUnknown, Service) {
  BOOST_TEST((SwapFailure(*this, server.address()) ==
              ErrorCode::kPlatformUnknownOutcome));
  BOOST_TEST(
      (OrderFailure(*this, server.address()) == ErrorCode::kOutcomeUnknown));
  AnswerWith(200, R"({"swapped":true,"revision":1})");
  delay = milliseconds(500);
  BOOST_TEST((SwapFailure(*this, server.address(), kShortTimeout) ==
              ErrorCode::kPlatformUnknownOutcome));
  BOOST_TEST((OrderFailure(*this, server.address(), kShortTimeout) ==
              ErrorCode::kOutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(StatusOfWriteDecidesItsOutcome, Service) {
  const std::string address = server.address();
  AnswerWith(400, "{}");
  BOOST_TEST((SwapFailure(*this, address) == ErrorCode::kPlatformUnavailable));
  AnswerWith(503, "{}");
  BOOST_TEST(
      (SwapFailure(*this, address) == ErrorCode::kPlatformUnknownOutcome));
  AnswerWith(200, "no json");
  BOOST_TEST(
      (SwapFailure(*this, address) == ErrorCode::kPlatformUnknownOutcome));
}

BOOST_FIXTURE_TEST_CASE(FailedReadIsUnavailable, Service) {
  const auto store = MakeHttpKeyValueStore(server.address(), kTimeout);
  const auto vms = MakeHttpVmList(server.address(), kTimeout);
  const auto engine = MakeHttpEngine(server.address(), kTimeout);
  const auto check = [&] {
    BOOST_TEST(
        (runner.FailureOf(store->Get("k")) == ErrorCode::kPlatformUnavailable));
    BOOST_TEST((runner.FailureOf(store->Watch("k", 0, milliseconds(1))) ==
                ErrorCode::kPlatformUnavailable));
    BOOST_TEST(
        (runner.FailureOf(vms->Read()) == ErrorCode::kPlatformUnavailable));
    BOOST_TEST(
        (runner.FailureOf(engine->Status()) == ErrorCode::kEngineUnavailable));
  };
  check();
  AnswerWith(500, "{}");
  check();
  AnswerWith(200, R"({"entry":{"key":"k"}})");
  check();
}

BOOST_FIXTURE_TEST_CASE(OrderStatusDecidesItsError, Service) {
  const std::string address = server.address();
  AnswerWith(200, "{}");
  BOOST_TEST(!OrderFailure(*this, address).has_value());
  BOOST_TEST(last.target == "/engine/orders");
  BOOST_TEST(last.body.text() ==
             R"({"kind":"load_adapter","model":"m","version":"","adapter":"a",)"
             R"("bytes":10,"kv_budget_bytes":0,"fence":7})");
  AnswerWith(409, R"({"error":"stale_fence"})");
  BOOST_TEST((OrderFailure(*this, address) == ErrorCode::kEngineRefusedOrder));
  AnswerWith(507, R"({"error":"no_memory"})");
  BOOST_TEST((OrderFailure(*this, address) == ErrorCode::kLoadFailed));
  AnswerWith(502, R"({"error":"load_failed"})");
  BOOST_TEST((OrderFailure(*this, address) == ErrorCode::kLoadFailed));
  AnswerWith(500, "{}");
  BOOST_TEST((OrderFailure(*this, address) == ErrorCode::kOutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(KeysAreEscapedInTargets, Service) {
  const auto store = MakeHttpKeyValueStore(server.address(), kTimeout);
  AnswerWith(200, R"({"entry":null})");
  BOOST_TEST(!runner.Run(store->Get("a/b&c")).has_value());
  BOOST_TEST(last.target == "/kv?key=a%2Fb%26c");
}

}  // namespace
}  // namespace sapphire::external
