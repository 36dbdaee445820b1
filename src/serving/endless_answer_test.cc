/** @file endless_answer_test.cc Tests of engines whose answers do not end. */
#define BOOST_TEST_MODULE endless_answer
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/address_func.h"
#include "serving/dispatcher_rig_test.h"
#include "serving/exchange_base.h"

namespace sapphire::serving {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::Answering;
using testing::kDrafts;
using testing::kPlain;
using testing::RecordingWriter;
using testing::Rig;

constexpr std::size_t kMegabyte = 1024 * 1024;
/** What an engine sends at most, so that a test without a limit ends. */
constexpr std::size_t kMostSent = 64 * kMegabyte;
/** What is not read lies in the buffers of the two sockets. */
constexpr std::size_t kMaxInSockets = 12 * kMegabyte;
constexpr milliseconds kWait{4000};
constexpr int kBadGateway = 502;

const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kGenuine = "HTTP/1.1 200 OK\r\ngenuine: 1\r\n";
const std::string kForeignError = "HTTP/1.1 500 Oops\r\n";
const std::string kText(0x4000, 'x');
const std::string kTextChunk = "4000\r\n" + kText + "\r\n";
const std::string kEvent = "id: 1\ndata: a\n\n";
const std::string kEventChunk = "f\r\n" + kEvent + "\r\n";

/** Answers each connection with a head, then with the same bytes over and over
 * until the peer closes. */
class EndlessEngine {
 public:
  EndlessEngine(asio::io_context& io, std::string head, std::string part,
                std::size_t most = kMostSent)
      : io_(io),
        acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        head_(std::move(head)),
        part_(std::move(part)),
        most_(most) {
    asio::co_spawn(io_, Accept(), asio::detached);
  }

  [[nodiscard]] std::string address() const {
    return core::AddressText(acceptor_);
  }
  /** Accepts no more connections. */
  void Stop() { acceptor_.close(); }

  std::size_t sent = 0;
  int requests = 0;

 private:
  core::Task<> Accept() {
    while (acceptor_.is_open()) {
      boost::system::error_code ec;
      tcp::socket socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (!ec) asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
    }
  }

  core::Task<> Serve(tcp::socket socket) {
    asio::streambuf request;
    boost::system::error_code ec;
    const auto token = [&ec] {
      return asio::redirect_error(asio::use_awaitable, ec);
    };
    co_await asio::async_read_until(socket, request, "\r\n\r\n", token());
    co_await asio::async_write(socket, asio::buffer(head_), token());
    ++requests;
    std::size_t n = 0;
    while (!ec && n < most_) {
      n += co_await asio::async_write(socket, asio::buffer(part_), token());
    }
    sent += n;
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  const std::string head_;
  const std::string part_;
  const std::size_t most_;
};

struct Outcome {
  ExchangeResult result;
  std::size_t sent = 0;
  std::size_t received = 0;
  milliseconds took{0};
};

/** Sends `requests` requests at a time to an engine that answers so. */
std::vector<Outcome> PlaySeveral(int requests, const std::string& head,
                                 const std::string& part, bool is_stream,
                                 const std::shared_ptr<AnswerBudget>& budget,
                                 milliseconds wait = kWait,
                                 std::size_t most = kMostSent) {
  asio::io_context io(1);
  EndlessEngine engine(io, head, part, most);
  http::Client client(engine.address());
  const testing::TestEngineWire wire;
  const core::SystemClock clock;
  CallerRequest request;
  request.forward.method = "POST";
  std::vector<Outcome> outcomes(static_cast<std::size_t>(requests));
  int left = requests;
  for (Outcome& outcome : outcomes) {
    asio::co_spawn(
        io,
        [&]() -> core::Task<> {
          const core::SteadyTime began = clock.Now();
          RecordingWriter writer;
          CallerConnection caller(writer, std::nullopt);
          ExchangeLimits limits;
          limits.deadline = began + wait;
          {
            Exchange exchange(client, wire, request, limits, caller, clock,
                              ExchangeHooks(), io.get_executor(), budget);
            auto result = co_await exchange.Open(SendOptions(), is_stream);
            if (!result) {
              result = co_await exchange.Relay();
            }
            outcome.result = std::move(*result);
          }
          outcome.received = writer.body.size();
          outcome.took =
              std::chrono::duration_cast<milliseconds>(clock.Now() - began);
          if (--left == 0) engine.Stop();
        },
        [](const std::exception_ptr& e) {
          if (e) std::rethrow_exception(e);
        });
  }
  io.run();
  for (Outcome& outcome : outcomes) outcome.sent = engine.sent;
  return outcomes;
}

Outcome Play(const std::string& head, const std::string& part, bool is_stream,
             milliseconds wait = kWait, std::size_t most = kMostSent) {
  const auto budget = std::make_shared<AnswerBudget>();
  Outcome outcome =
      PlaySeveral(1, head, part, is_stream, budget, wait, most).front();
  outcome.result.failure_share.reset();
  BOOST_TEST(budget->held() == 0U);
  return outcome;
}

}  // namespace

/** Guards against an entry that is killed for its memory: it holds a body until
 * it is complete. */
BOOST_AUTO_TEST_CASE(BodyWithoutEndIsGivenUp) {
  for (const bool chunked : {true, false}) {
    const Outcome outcome = Play(kGenuine + (chunked ? kChunked : "\r\n"),
                                 chunked ? kTextChunk : kText, false);
    BOOST_TEST((outcome.result.end == ExchangeEnd::kLost));
    BOOST_TEST(outcome.result.reason == "the answer exceeds 16777216 bytes");
    BOOST_TEST(outcome.result.oversized);
    BOOST_TEST(outcome.sent <= 16 * kMegabyte + kMaxInSockets);
  }
}

/** Guards against the same with the error page of a program that has the
 * engine's address now. */
BOOST_AUTO_TEST_CASE(BodyOfAForeignErrorIsHardlyRead) {
  const Outcome outcome = Play(kForeignError + kChunked, kTextChunk, false);
  BOOST_TEST((outcome.result.end == ExchangeEnd::kLost));
  BOOST_TEST(outcome.result.reason == "the answer exceeds 65536 bytes");
  BOOST_TEST(outcome.sent <= kMaxInSockets);
}

/** Guards against a limit that turns away what engines do send. */
BOOST_AUTO_TEST_CASE(LongBodyIsServed) {
  const std::size_t size = 8 * kMegabyte;
  const Outcome outcome =
      Play(kGenuine + "Content-Length: " + std::to_string(size) + "\r\n\r\n",
           kText, false, kWait, size);
  BOOST_TEST((outcome.result.end == ExchangeEnd::kServed));
  BOOST_TEST(outcome.received == size);
}

BOOST_AUTO_TEST_CASE(EngineOwnErrorKeepsItsShareOfTheBudget) {
  const auto budget = std::make_shared<AnswerBudget>();
  const std::vector<Outcome> outcomes = PlaySeveral(
      1,
      "HTTP/1.1 500 Oops\r\ngenuine: 1\r\nContent-Length: 16384\r\n\r\n" +
          kText,
      "", false, budget, kWait, 0);
  BOOST_TEST_REQUIRE(outcomes.front().result.failure.has_value());
  BOOST_TEST(budget->held() >= kText.size());
}

/** Guards against many answers at once, each within its own limit, that exceed
 * the memory of the VM together. */
BOOST_AUTO_TEST_CASE(AnswersHeldTogetherAreBounded) {
  const auto budget = std::make_shared<AnswerBudget>(4 * kMegabyte);
  const std::vector<Outcome> outcomes =
      PlaySeveral(4, kGenuine + kChunked, kTextChunk, false, budget);
  for (const Outcome& it : outcomes) {
    BOOST_TEST((it.result.end == ExchangeEnd::kLost));
    BOOST_TEST(it.result.oversized);
  }
  BOOST_TEST(outcomes.front().result.reason ==
             "the answers held exceed 4194304 bytes");
  BOOST_TEST(budget->held() == 0U);
}

/** Guards against a stream's event that fills the memory. */
BOOST_AUTO_TEST_CASE(EventWithoutEndIsGivenUp) {
  const Outcome first = Play(kGenuine + kChunked, kTextChunk, true);
  BOOST_TEST((first.result.end == ExchangeEnd::kLost));
  BOOST_TEST(first.result.reason == "an event exceeds 1048576 bytes");
  BOOST_TEST(first.sent <= kMaxInSockets);
  const Outcome later =
      Play(kGenuine + kChunked + kEventChunk, kTextChunk, true);
  BOOST_TEST((later.result.end == ExchangeEnd::kCutMidway));
  BOOST_TEST(later.received == kEvent.size());
}

/** Guards against events of many streams at once that fill the memory. */
BOOST_AUTO_TEST_CASE(EventsHeldTogetherAreBounded) {
  const auto budget = std::make_shared<AnswerBudget>(kMegabyte / 2);
  const std::vector<Outcome> outcomes =
      PlaySeveral(4, kGenuine + kChunked, kTextChunk, true, budget);
  for (const Outcome& it : outcomes) {
    BOOST_TEST(it.result.oversized);
    BOOST_TEST(it.result.reason == "the answers held exceed 524288 bytes");
  }
  BOOST_TEST(budget->held() == 0U);
}

/** Guards against a deadline that is never noticed, as the next bytes are there
 * before the timer is asked. */
BOOST_AUTO_TEST_CASE(AnswerThatGoesOnEndsAtTheDeadline) {
  for (const bool is_stream : {false, true}) {
    const Outcome outcome =
        Play(kGenuine + kChunked, "1\r\n\n\r\n", is_stream, milliseconds(200));
    BOOST_TEST((outcome.result.end != ExchangeEnd::kServed));
    BOOST_TEST(outcome.result.timed_out);
    BOOST_TEST((outcome.took < milliseconds(1000)));
  }
}

/** Guards against memory filled by what is no body. */
BOOST_AUTO_TEST_CASE(ChunkExtensionWithoutEndIsGivenUp) {
  const Outcome outcome = Play(kGenuine + kChunked + "4;a=", kText, false);
  BOOST_TEST((outcome.result.end == ExchangeEnd::kLost));
  BOOST_TEST(outcome.result.oversized);
  BOOST_TEST(outcome.sent <= kMaxInSockets);
}

/** Guards against a caller who gets no answer, or one that does not say that
 * the request may have run. */
BOOST_AUTO_TEST_CASE(RequestWhoseAnswerDoesNotEndIsAnsweredAsLost) {
  Rig rig;
  EndlessEngine endless(rig.io, kGenuine + kChunked, kTextChunk);
  rig.AddEngineAt("i-endless", endless.address(), kPlain);
  RecordingWriter once;
  rig.Serve("/once/", kWait, once);
  BOOST_TEST(once.status == kBadGateway);
}

BOOST_AUTO_TEST_CASE(IdempotentRequestGoesOnAfterAnAnswerWithoutEnd) {
  Rig rig;
  EndlessEngine endless(rig.io, kGenuine + kChunked, kTextChunk);
  rig.AddEngineAt("i-endless", endless.address(), kPlain);
  rig.AddEngine(kPlain, Answering(200, false, "x"));
  rig.SetVersion("i-1", "", "other");
  RecordingWriter safe;
  rig.Serve("/safe/", kWait, safe);
  BOOST_TEST(endless.requests == 1);
  BOOST_TEST(safe.status == 200);
  BOOST_TEST(safe.body == "x");
}

/** Guards against an engine that counts as crashed, or as resting, although it
 * sends too much. */
BOOST_AUTO_TEST_CASE(AnswerWithoutEndIsAFailureOfItsEngine) {
  Rig rig;
  EndlessEngine endless(rig.io, kGenuine + kChunked, kTextChunk);
  rig.AddEngineAt("i-endless", endless.address(), kPlain);
  RecordingWriter caller;
  rig.Serve("/once/", kWait, caller);
  endless.Stop();
  rig.Pass(milliseconds(600));
  const fleet::InstanceId instance("i-endless");
  BOOST_TEST(rig.loads.FailureRate(instance) > 0);
  BOOST_TEST((rig.loads.notices().RestLeft(instance) == milliseconds(0)));
  BOOST_TEST(rig.crash_watch.crashes() == 0U);
  BOOST_TEST(rig.metrics.Text({}).find("oversized_answers_total 1") !=
             std::string::npos);
}

/** Guards against a stream that ends with the engine that sent too much. */
BOOST_AUTO_TEST_CASE(StreamGoesOnAfterAnEventWithoutEnd) {
  Rig rig;
  EndlessEngine endless(rig.io, kGenuine + kChunked + kEventChunk, kTextChunk);
  rig.AddEngineAt("i-endless", endless.address(), kDrafts);
  rig.AddEngine(kDrafts, testing::Streaming({"id: 2\ndata: b\n\n"}, true));
  rig.SetVersion("i-1", "", "other");
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  BOOST_TEST(caller.body == kEvent + "id: 2\ndata: b\n\n");
  BOOST_TEST(caller.whole);
}

}  // namespace sapphire::serving
