/** @file engine_stand_in_test.cc Tests orders, requests and faults of the
 * engine stand-in through the engine client. */
#define BOOST_TEST_MODULE engine_stand_in
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "core/task_func.h"
#include "external/external_func.h"
#include "external/test_runner_base.h"
#include "standin/engine_stand_in_base.h"
#include "standin/engine_wire_func.h"
#include "standin/stand_in_server_base.h"
#include "standin/weights_stand_in_base.h"

namespace sapphire::standin {
namespace {

namespace json = boost::json;
using core::ErrorCode;
using core::Millis;
using external::EngineOrder;
using external::OrderKind;

constexpr Millis kTimeout{20'000};
constexpr std::int64_t kWeightBytes = 1000;
constexpr std::int64_t kMemoryBytes = 2500;

EngineOptions SmallEngine() {
  EngineOptions options;
  options.memory_bytes = kMemoryBytes;
  options.disk_tier = {"slow", "m", "n", "o"};
  options.unload_time = Millis(1);
  options.token_time = Millis(1);
  options.kv_bytes_per_char = 0;
  return options;
}

struct Engine {
  explicit Engine(EngineOptions options = SmallEngine())
      : host("engine", "127.0.0.1:0",
             [&](const StandInContext& context) {
               return std::make_unique<EngineStandIn>(context, options);
             }),
        client(host.address()),
        engine(external::MakeHttpEngine(host.address(), kTimeout)) {}

  static EngineOrder Order(OrderKind kind, const std::string& model,
                           std::int64_t fence) {
    EngineOrder order;
    order.kind = kind;
    order.model = core::ModelId(model);
    order.version = "1";
    order.bytes = kWeightBytes;
    order.kv_budget_bytes = 100;
    order.fence = fence;
    return order;
  }

  std::optional<ErrorCode> SendOrder(OrderKind kind, const std::string& model,
                                     std::int64_t fence) {
    return runner.FailureOf(engine->Order(Order(kind, model, fence), kTimeout));
  }

  static http::Request Completion(const std::string& id,
                                  const std::string& prompt, int tokens,
                                  bool stream) {
    json::object body;
    body["model"] = "m";
    body["prompt"] = prompt;
    body["max_tokens"] = tokens;
    body["stream"] = stream;
    return {"POST",
            "/v1/completions",
            {{"X-Request-Id", id}},
            json::serialize(body)};
  }

  json::object Record() {
    http::Request request{"GET", "/standin/record", {}, ""};
    const auto response = runner.Run(client.Fetch(request, kTimeout));
    return json::parse(response.body).as_object();
  }

  /** @return The recorded outcome of the first request. */
  std::string FirstOutcome() {
    const json::object record = Record();
    const auto& run = record.at("requests").as_array().at(0).as_object();
    return std::string(run.at("outcome").as_string());
  }

  void SetFaults(const std::string& text) {
    host.stand_in().faults().SetJson(text);
  }

  StandInServer host;
  http::Client client;
  std::unique_ptr<external::Engine> engine;
  external::TestRunner runner;
};

core::Task<std::string> ReadAll(http::ResponseStream& stream) {
  std::string whole;
  while (true) {
    const http::BodyPart part = co_await stream.Read(kTimeout);
    const auto* bytes = std::get_if<std::string>(&part);
    if (bytes == nullptr) co_return whole;
    whole += *bytes;
  }
}

/** @return The concatenated text of all events of a stream. */
std::string TextOfEvents(std::string_view events) {
  constexpr std::string_view kMark = "data: ";
  std::string text;
  for (std::size_t at = events.find(kMark); at != std::string_view::npos;
       at = events.find(kMark, at)) {
    at += kMark.size();
    const auto line = events.substr(at, events.find('\n', at) - at);
    if (line == "[DONE]") return text;
    const json::value event = json::parse(line);
    text += event.at("choices").at(0).at("text").as_string();
  }
  return text + " (cut)";
}

BOOST_FIXTURE_TEST_CASE(LoadsServesAndUnloads, Engine) {
  BOOST_TEST(!SendOrder(OrderKind::kLoadModel, "m", 1).has_value());
  EngineOrder adapter = Order(OrderKind::kLoadAdapter, "m", 1);
  adapter.adapter = core::AdapterId("a");
  BOOST_TEST(!runner.FailureOf(engine->Order(adapter, kTimeout)).has_value());
  const auto status = runner.Run(engine->Status());
  BOOST_TEST(status.models.at(0).weight_bytes == kWeightBytes);
  BOOST_TEST(status.models.at(0).adapters.at(0).adapter.value() == "a");
  BOOST_TEST((status.models.at(0).state == external::EngineModelState::kReady));
  BOOST_TEST(status.memory_tier.at(0).value() == "m");
  BOOST_TEST(!SendOrder(OrderKind::kUnloadModel, "m", 1).has_value());
  BOOST_TEST(runner.Run(engine->Status()).models.empty());
  const json::value counts = Record().at("replica_counts");
  BOOST_TEST(counts.at("m").at("peak").as_int64() == 1);
  BOOST_TEST(counts.at("m").at("current").as_int64() == 0);
}

BOOST_FIXTURE_TEST_CASE(EachCallerGetsItsOwnCompleteAnswer, Engine) {
  SendOrder(OrderKind::kLoadModel, "m", 1);
  std::vector<std::unique_ptr<http::ResponseStream>> streams;
  std::vector<std::future<std::string>> answers;
  for (const char* id : {"r1", "r2", "r3"}) {
    streams.push_back(runner.Run(
        engine->Run(Completion(id, std::string("p") + id, 5, true), kTimeout)));
    answers.push_back(runner.Begin(ReadAll(*streams.back())));
  }
  BOOST_TEST(TextOfEvents(answers[0].get()) == "pr1 r1#0 r1#1 r1#2 r1#3 r1#4");
  BOOST_TEST(TextOfEvents(answers[1].get()) == "pr2 r2#0 r2#1 r2#2 r2#3 r2#4");
  BOOST_TEST(TextOfEvents(answers[2].get()) == "pr3 r3#0 r3#1 r3#2 r3#3 r3#4");
  const auto whole =
      runner.Run(client.Fetch(Completion("w", "p", 2, false), kTimeout));
  BOOST_TEST(
      json::parse(whole.body).at("choices").at(0).at("text").as_string() ==
      "p w#0 w#1");
}

// A process is paused before it sends an order, and another takes over and
// sends newer ones; then the first resumes and sends the old order. An engine
// that checks the fence refuses it; one that doesn't loads a replica too many.
BOOST_AUTO_TEST_CASE(OldFenceIsRefusedOnlyIfFencingIsHonoured) {
  Engine strict;
  BOOST_TEST(!strict.SendOrder(OrderKind::kLoadModel, "m", 5).has_value());
  BOOST_TEST((strict.SendOrder(OrderKind::kLoadModel, "n", 4) ==
              ErrorCode::kEngineRefusedOrder));
  BOOST_TEST(strict.Record().at("refused_orders").as_array().size() == 1U);

  EngineOptions options = SmallEngine();
  options.honours_fencing = false;
  Engine lax(options);
  BOOST_TEST(!lax.SendOrder(OrderKind::kLoadModel, "m", 5).has_value());
  BOOST_TEST(!lax.SendOrder(OrderKind::kLoadModel, "n", 4).has_value());
  BOOST_TEST(lax.runner.Run(lax.engine->Status()).models.size() == 2U);
}

BOOST_AUTO_TEST_CASE(OvercommitIsRecordedOrRefused) {
  Engine trusting;
  for (const char* model : {"m", "n", "o"}) {
    BOOST_TEST(
        !trusting.SendOrder(OrderKind::kLoadModel, model, 1).has_value());
  }
  const auto overcommits = trusting.Record().at("overcommits").as_array();
  BOOST_TEST(overcommits.size() == 1U);
  BOOST_TEST(overcommits[0].at("used_bytes").as_int64() == 3300);

  EngineOptions options = SmallEngine();
  options.refuses_overcommit = true;
  Engine refusing(options);
  refusing.SendOrder(OrderKind::kLoadModel, "m", 1);
  refusing.SendOrder(OrderKind::kLoadModel, "n", 1);
  BOOST_TEST((refusing.SendOrder(OrderKind::kLoadModel, "o", 1) ==
              ErrorCode::kLoadFailed));
  BOOST_TEST(refusing.Record().at("overcommits").as_array().empty());
}

// A request that matches `crash_on` crashes an engine that also runs others:
// all connections are cut, and the engine is empty under a new incarnation.
BOOST_FIXTURE_TEST_CASE(MatchingRequestCrashesTheEngine, Engine) {
  SendOrder(OrderKind::kLoadModel, "m", 1);
  const auto before = runner.Run(engine->Status()).incarnation;
  const auto stream =
      runner.Run(engine->Run(Completion("r", "p", 50'000, true), kTimeout));
  auto answer = runner.Begin(ReadAll(*stream));
  SetFaults(R"({"crash_on":"boom"})");
  BOOST_CHECK_THROW(
      runner.Run(client.Fetch(Completion("x", "boom", 1, false), kTimeout)),
      http::TransportError);
  BOOST_CHECK_THROW(answer.get(), http::TransportError);
  BOOST_TEST(FirstOutcome() == "crashed");
  const auto status = runner.Run(engine->Status());
  BOOST_TEST(status.incarnation != before);
  BOOST_TEST(status.models.empty());
}

BOOST_FIXTURE_TEST_CASE(ClosedStreamIsCancelled, Engine) {
  SendOrder(OrderKind::kLoadModel, "m", 1);
  auto stream =
      runner.Run(engine->Run(Completion("r", "p", 50'000, true), kTimeout));
  BOOST_TEST(FirstOutcome() == "running");
  stream.reset();
  for (int i = 0; i < 1000 && FirstOutcome() == "running"; ++i) {
    runner.Run(core::SleepFor(Millis(5)));
  }
  BOOST_TEST(FirstOutcome() == "cancelled");
}

BOOST_AUTO_TEST_CASE(RequestBeyondTheKvBudgetWaits) {
  EngineOptions options = SmallEngine();
  options.kv_bytes_per_char = 1;
  Engine engine(options);
  engine.SendOrder(OrderKind::kLoadModel, "m", 1);
  // 20 tokens of 4 characters: two of these are over the budget of 100 bytes.
  auto first = engine.runner.Begin(
      engine.client.Fetch(Engine::Completion("r1", "p", 20, false), kTimeout));
  auto second = engine.runner.Begin(
      engine.client.Fetch(Engine::Completion("r2", "p", 20, false), kTimeout));
  BOOST_TEST(first.get().head.status == 200);
  BOOST_TEST(second.get().head.status == 200);
  const json::value runs = engine.Record().at("requests");
  BOOST_TEST(runs.at(1).at("started").as_int64() >=
             runs.at(0).at("ended").as_int64());
}

// An unload during a running request cuts the caller's answer. The record shows
// it, so that tests can detect a stop that isn't graceful.
BOOST_FIXTURE_TEST_CASE(UnloadCutsRunningRequests, Engine) {
  SendOrder(OrderKind::kLoadModel, "m", 1);
  const auto stream =
      runner.Run(engine->Run(Completion("r", "p", 50'000, true), kTimeout));
  SendOrder(OrderKind::kUnloadModel, "m", 1);
  BOOST_CHECK_THROW(runner.Run(ReadAll(*stream)), http::TransportError);
  BOOST_TEST(FirstOutcome() == "unloaded");
}

BOOST_FIXTURE_TEST_CASE(FaultsFailLoadsAndLoseAnswers, Engine) {
  SetFaults(R"({"load_fail":1,"lose_order_answers":1})");
  BOOST_TEST(
      (SendOrder(OrderKind::kLoadModel, "m", 1) == ErrorCode::kOutcomeUnknown));
  BOOST_TEST(runner.Run(engine->Status()).models.empty());
  SetFaults(R"({"lose_order_answers":1})");
  BOOST_TEST(
      (SendOrder(OrderKind::kLoadModel, "m", 1) == ErrorCode::kOutcomeUnknown));
  BOOST_TEST(runner.Run(engine->Status()).models.size() == 1U);
  SetFaults(R"({"load_fail":1})");
  BOOST_TEST(
      (SendOrder(OrderKind::kLoadModel, "n", 1) == ErrorCode::kLoadFailed));
}

BOOST_AUTO_TEST_CASE(RemoteLoadUsesTheWeightStore) {
  const StandInServer weights(
      "weights", "127.0.0.1:0", [](const auto& context) {
        return std::make_unique<WeightsStandIn>(context, WeightsOptions{});
      });
  EngineOptions options = SmallEngine();
  options.weights_address = weights.address();
  Engine engine(options);
  BOOST_TEST(!engine.SendOrder(OrderKind::kLoadModel, "far", 1).has_value());
  weights.stand_in().faults().SetJson(R"({"down":true})");
  BOOST_TEST((engine.SendOrder(OrderKind::kLoadModel, "farther", 1) ==
              ErrorCode::kLoadFailed));
  // The checkpoint is cached locally now; the weight store isn't needed.
  BOOST_TEST(!engine.SendOrder(OrderKind::kUnloadModel, "far", 1).has_value());
  BOOST_TEST(!engine.SendOrder(OrderKind::kLoadModel, "far", 1).has_value());
}

BOOST_FIXTURE_TEST_CASE(UnloadedModelIsNotServed, Engine) {
  const auto response =
      runner.Run(client.Fetch(Completion("r", "p", 1, false), kTimeout));
  BOOST_TEST(response.head.status == 404);
  BOOST_TEST(Record().at("requests").as_array().empty());
}

}  // namespace
}  // namespace sapphire::standin
