/** @file exchange_test.cc Tests of one send to one engine. */
#define BOOST_TEST_MODULE exchange
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "core/address_func.h"
#include "serving/dispatcher_rig_test.h"
#include "serving/exchange_base.h"

namespace sapphire::serving {

namespace {

using boost::asio::ip::tcp;

constexpr milliseconds kSilence{50};
constexpr milliseconds kStallBegin{20};
constexpr milliseconds kStallTime{60};
constexpr milliseconds kNextEvent{120};
const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";

/** An engine that acts only when called, within a turn of the event loop. */
class BlockingEngine {
 public:
  explicit BlockingEngine(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io) {}

  [[nodiscard]] std::string address() const {
    return core::AddressText(acceptor_);
  }

  /** Accepts the request and sends the head and the first event in one segment.
   */
  void Begin() {
    acceptor_.accept(socket_);
    Write(
        "HTTP/1.1 200 OK\r\ngenuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        Chunk(kFirst));
  }

  /** Sends the second event and ends the stream. */
  void End() { Write(Chunk(kSecond) + Chunk("")); }

 private:
  static std::string Chunk(const std::string& data) {
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
  }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
};

/** Sends one stream request to the engine and runs the loop until it ends. */
ExchangeResult Play(boost::asio::io_context& io, const std::string& address,
                    ExchangeLimits limits, ExchangeHooks hooks,
                    testing::RecordingWriter& writer) {
  http::Client client(address);
  const testing::TestEngineWire wire;
  CallerRequest request;
  request.forward.method = "POST";
  request.forward.target = "/stream/";
  CallerConnection caller(writer, std::nullopt);
  const core::SystemClock clock;
  ExchangeResult result;
  boost::asio::co_spawn(
      io,
      [&]() -> core::Task<> {
        Exchange exchange(client, wire, request, limits, caller, clock,
                          std::move(hooks), io.get_executor());
        SendOptions send;
        const auto failure = co_await exchange.Open(std::move(send), true);
        BOOST_TEST_REQUIRE(!failure.has_value());
        result = co_await exchange.Relay();
      },
      [](const std::exception_ptr& e) {
        if (e) std::rethrow_exception(e);
      });
  io.run();
  return result;
}

}  // namespace

/** Guards against a stream that is cut as its engine begins to answer: the
 * silence expires while the event loop is busy, and is handled between the head
 * of the answer and its first event. */
BOOST_AUTO_TEST_CASE(AnswerThatArrivesWhileTheLoopIsBusyKeepsTheSend) {
  boost::asio::io_context io(1);
  BlockingEngine engine(io);
  testing::RecordingWriter writer;
  ExchangeLimits limits;
  limits.deadline = core::SystemClock().Now() + std::chrono::seconds(5);
  limits.first_byte_silence = kSilence;
  limits.pause = std::chrono::seconds(3);
  int silences = 0;
  ExchangeHooks hooks;
  hooks.silent = [&silences] { ++silences; };
  boost::asio::steady_timer stall(io, kStallBegin);
  stall.async_wait([&engine](const auto&) {
    engine.Begin();
    std::this_thread::sleep_for(kStallTime);
  });
  boost::asio::steady_timer end(io, kNextEvent);
  end.async_wait([&engine](const auto&) { engine.End(); });
  const ExchangeResult result =
      Play(io, engine.address(), limits, std::move(hooks), writer);
  BOOST_TEST(silences == 0);
  BOOST_TEST((result.end == ExchangeEnd::kServed));
  BOOST_TEST(result.reason == "");
  BOOST_TEST(writer.body == kFirst + kSecond);
  BOOST_TEST(writer.whole);
}

/** Guards against an answer that is given up although all of it is there, as
 * this process reads it after the deadline. */
BOOST_AUTO_TEST_CASE(AnswerThatIsCompleteAsTheDeadlinePassesIsDelivered) {
  boost::asio::io_context io(1);
  BlockingEngine engine(io);
  testing::RecordingWriter writer;
  ExchangeLimits limits;
  limits.deadline = core::SystemClock().Now() + 2 * kStallBegin;
  limits.first_byte_silence = std::chrono::seconds(3);
  limits.pause = std::chrono::seconds(3);
  boost::asio::steady_timer stall(io, kStallBegin);
  stall.async_wait([&engine](const auto&) {
    engine.Begin();
    engine.End();
    std::this_thread::sleep_for(kStallTime);
  });
  const ExchangeResult result =
      Play(io, engine.address(), limits, ExchangeHooks(), writer);
  BOOST_TEST((result.end == ExchangeEnd::kServed), result.reason);
  BOOST_TEST(writer.body == kFirst + kSecond);
}

}  // namespace sapphire::serving
