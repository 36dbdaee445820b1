/** @file unframed_answer_test.cc Tests of engines' answers that have neither a
 * length nor chunks and end with their connection. */
#define BOOST_TEST_MODULE unframed_answer
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "serving/exchange_base.h"
#include "serving/raw_engine_test.h"

namespace sapphire::serving {

namespace {

namespace asio = boost::asio;
using testing::Close;
using testing::kDrafts;
using testing::RawEngine;
using testing::RecordingWriter;
using testing::Rig;

const std::string kHead = "HTTP/1.1 200 OK\r\ngenuine: 1\r\n\r\n";
const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";
/** An event of which only the first bytes are sent. */
const std::string kPartial = "id: 2\nda";
constexpr milliseconds kWait{3000};

/** Result of a send, and what the caller received. */
struct Relayed {
  ExchangeResult result;
  std::string body;
  bool whole = false;
};

/** Sends a request to an engine that answers with these bytes. */
Relayed Relay(const std::string& answer, Close close, bool is_stream) {
  asio::io_context io(1);
  RawEngine engine(io, answer, close);
  http::Client client(engine.address());
  const testing::TestEngineWire wire;
  CallerRequest request;
  request.forward.method = "POST";
  RecordingWriter writer;
  CallerConnection caller(writer, std::nullopt);
  const core::SystemClock clock;
  ExchangeLimits limits;
  limits.deadline = clock.Now() + kWait;
  Relayed relayed;
  asio::co_spawn(
      io,
      [&]() -> core::Task<> {
        Exchange exchange(client, wire, request, limits, caller, clock,
                          ExchangeHooks(), io.get_executor());
        auto result = co_await exchange.Open(SendOptions(), is_stream);
        if (!result) {
          result = co_await exchange.Relay();
        }
        relayed.result = std::move(*result);
        engine.Stop();
      },
      [](const std::exception_ptr& e) {
        if (e) std::rethrow_exception(e);
      });
  io.run();
  relayed.body = writer.body;
  relayed.whole = writer.whole;
  return relayed;
}

void CheckBrokenOff(const Relayed& relayed, const std::string& body) {
  const ExchangeEnd end =
      body.empty() ? ExchangeEnd::kLost : ExchangeEnd::kCutMidway;
  BOOST_TEST((relayed.result.end == end));
  BOOST_TEST(relayed.body == body);
  BOOST_TEST(!relayed.whole);
}

void CheckServed(const Relayed& relayed, const std::string& body) {
  BOOST_TEST((relayed.result.end == ExchangeEnd::kServed));
  BOOST_TEST(relayed.body == body);
  BOOST_TEST(relayed.whole);
}

}  // namespace

/** Guards against an engine's crash that reads as the end of its stream. */
BOOST_AUTO_TEST_CASE(StreamClosedInsideAnEventIsBrokenOff) {
  CheckBrokenOff(Relay(kHead + kFirst + kPartial, Close::kOrderly, true),
                 kFirst);
}

/** Guards against a truncated first event that reaches the caller. */
BOOST_AUTO_TEST_CASE(StreamClosedInsideItsFirstEventIsBrokenOff) {
  CheckBrokenOff(Relay(kHead + "id: 1\nda", Close::kOrderly, true), "");
}

/** Guards against an event that lacks its last line and counts as complete. */
BOOST_AUTO_TEST_CASE(StreamClosedBeforeAnEventsBlankLineIsBrokenOff) {
  CheckBrokenOff(
      Relay(kHead + kFirst + "id: 2\ndata: b\n", Close::kOrderly, true),
      kFirst);
}

/** Guards against an engine's crash after the head that reads as an empty
 * stream. */
BOOST_AUTO_TEST_CASE(StreamClosedBeforeItsFirstEventIsBrokenOff) {
  CheckBrokenOff(Relay(kHead, Close::kOrderly, true), "");
}

/** Guards against a truncated event at a stated end: an engine may end its body
 * inside an event. */
BOOST_AUTO_TEST_CASE(StreamThatStatesAnEndInsideAnEventIsBrokenOff) {
  const std::string body = kFirst + kPartial;
  const std::string head = "HTTP/1.1 200 OK\r\ngenuine: 1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
  CheckBrokenOff(Relay(head + body, Close::kOrderly, true), kFirst);
}

BOOST_AUTO_TEST_CASE(StreamResetInsideAnEventIsBrokenOff) {
  CheckBrokenOff(Relay(kHead + kFirst + kPartial, Close::kReset, true), kFirst);
}

BOOST_AUTO_TEST_CASE(StreamResetBetweenEventsIsBrokenOff) {
  CheckBrokenOff(Relay(kHead + kFirst, Close::kReset, true), kFirst);
}

/** Guards against complete streams that are taken for broken ones. */
BOOST_AUTO_TEST_CASE(StreamClosedAfterAnEventIsComplete) {
  CheckServed(Relay(kHead + kFirst + kSecond, Close::kOrderly, true),
              kFirst + kSecond);
  CheckServed(Relay(kHead + kFirst + "\n", Close::kOrderly, true),
              kFirst + "\n");
}

/** A plain answer that ends with an orderly close is complete; one that is
 * reset is not. */
BOOST_AUTO_TEST_CASE(PlainAnswerEndsWithAnOrderlyClose) {
  CheckServed(Relay(kHead + "body", Close::kOrderly, false), "body");
  CheckBrokenOff(Relay(kHead + "body", Close::kReset, false), "");
}

/** Guards against a truncated event in front of the events of the engine that
 * goes on. */
BOOST_AUTO_TEST_CASE(BrokenStreamGoesOnAtAnotherEngine) {
  Rig rig;
  const RawEngine broken(rig.io, kHead + kFirst + kPartial, Close::kOrderly);
  rig.AddEngineAt("i-raw", broken.address(), kDrafts);
  testing::TestEngine& next =
      rig.AddEngine(kDrafts, testing::Streaming({kSecond}, true));
  rig.SetVersion("i-1", "", "other");
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.body == kFirst + kSecond);
  BOOST_TEST(writer.whole);
  BOOST_TEST_REQUIRE(next.requests.size() == 1U);
  BOOST_TEST(*http::FindHeader(next.requests[0].headers, "after") == "1");
}

/** Guards against a caller that takes a broken stream for a complete one. */
BOOST_AUTO_TEST_CASE(BrokenStreamThatCannotGoOnIsCut) {
  Rig rig;
  rig.Configure(1);
  const RawEngine broken(rig.io, kHead + kFirst + kPartial, Close::kOrderly);
  rig.AddEngineAt("i-raw", broken.address(), kDrafts);
  RecordingWriter writer;
  rig.Serve("/stream/", kWait, writer);
  BOOST_TEST(writer.body == kFirst);
  BOOST_TEST(!writer.whole);
  BOOST_TEST(writer.cut);
}

}  // namespace sapphire::serving
