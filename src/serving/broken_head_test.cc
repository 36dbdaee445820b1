/** @file broken_head_test.cc Tests of engines' answers whose head is no valid
 * HTTP, from the engine's socket to the caller's. */
#define BOOST_TEST_MODULE broken_head
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/address_func.h"
#include "http/server_base.h"
#include "serving/raw_engine_test.h"

namespace sapphire::serving {

namespace {

namespace asio = boost::asio;
using namespace std::string_literals;
using testing::Answering;
using testing::kDrafts;
using testing::kPlain;
using testing::RawEngine;
using testing::RecordingWriter;
using testing::Rig;

constexpr milliseconds kWait{3000};
constexpr int kOk = 200;
constexpr int kBadGateway = 502;

const std::string kOkLine = "HTTP/1.1 200 OK\r\n";
/** The end of a sound head, and its body. */
const std::string kRest = "genuine: 1\r\nContent-Length: 4\r\n\r\nbody";
const std::string kEvent = "id: 1\ndata: a\n\n";

/** Sends a request by a socket of its own. @return All that the caller gets. */
core::Task<std::string> Call(Rig& rig, std::string address, std::string path) {
  asio::ip::tcp::socket socket(rig.io);
  co_await socket.async_connect(core::ParseAddress(address),
                                asio::use_awaitable);
  const std::string request = "POST " + path + "1 HTTP/1.1\r\nHost: a\r\n" +
                              "id: r\r\nwait: 3000\r\nmodel: m\r\n" +
                              "Connection: close\r\n\r\n";
  co_await asio::async_write(socket, asio::buffer(request),
                             asio::use_awaitable);
  std::string received;
  boost::system::error_code ec;
  co_await asio::async_read(socket, asio::dynamic_buffer(received),
                            asio::redirect_error(asio::use_awaitable, ec));
  co_return received;
}

/** @return All that a caller gets if the only engine answers so. */
std::string Relay(const std::string& answer, const core::ServiceId& service,
                  const std::string& path) {
  Rig rig;
  rig.Configure(1);
  const RawEngine engine(rig.io, answer);
  rig.AddEngineAt("i-raw", engine.address(), service);
  http::Server server(
      rig.io.get_executor(), "127.0.0.1:0", http::ServerLimits(),
      [&rig](const http::Request& request, http::ResponseWriter& writer) {
        return rig.dispatcher.Serve(request, writer);
      },
      rig.log);
  server.Start();
  return entry::testing::RunTask(rig.io, Call(rig, server.address(), path));
}

/** Checks that the caller is told that the request may have run, and gets
 * nothing of the engine's answer. */
void CheckLost(const std::string& answer) {
  for (const auto& [service, path] :
       {std::pair(kPlain, "/once/"s), std::pair(kDrafts, "/stream/"s)}) {
    const std::string received = Relay(answer, service, path);
    BOOST_TEST(received.starts_with("HTTP/1.1 502 "),
               path << " of " << answer << " got " << received);
    BOOST_TEST(received.ends_with("\r\n\r\n"), received);
  }
}

core::Task<bool> QueryLoad(LoadGauges& gauges, fleet::InstanceId instance) {
  const std::vector<fleet::InstanceId> instances(1, instance);
  co_await gauges.Refresh(instances);
  co_return true;
}

}  // namespace

/** Guards against a status that HTTP does not know, relayed as an answer. */
BOOST_AUTO_TEST_CASE(InvalidStatusIsNotRelayed) {
  for (const char* status :
       {"000", "001", "020", "099", "600", "700", "999", "101"}) {
    CheckLost("HTTP/1.1 "s + status + " Trouble\r\n" + kRest);
    CheckLost("HTTP/1.1 "s + status + " Trouble\r\ngenuine: 1\r\n\r\n" +
              kEvent);
  }
  CheckLost("HTTP/1.1 000\r\n" + kRest);
  CheckLost("HTTP/1.0 000 Trouble\r\n" + kRest);
  CheckLost("HTTP/1.1 101 Switching Protocols\r\n\r\n" + kOkLine + kRest);
}

/** Guards against a request that runs twice because of a mark that was read
 * from no valid answer. */
BOOST_AUTO_TEST_CASE(InvalidStatusIsNoProofThatNothingHasRun) {
  for (const char* status : {"000", "600"}) {
    Rig rig;
    const RawEngine broken(
        rig.io, "HTTP/1.1 "s + status + " X\r\nnot-run: 1\r\n" + kRest);
    rig.AddEngineAt("i-raw", broken.address(), kPlain);
    testing::TestEngine& other =
        rig.AddEngine(kPlain, Answering(kOk, false, "x"));
    rig.SetVersion("i-1", "", "other");
    RecordingWriter caller;
    rig.Serve("/once/", kWait, caller);
    BOOST_TEST(caller.status == kBadGateway);
    BOOST_TEST(broken.requests.size() == 1U);
    BOOST_TEST(other.requests.empty());
  }
}

/** Guards against callers that get an error though another engine can serve
 * them. */
BOOST_AUTO_TEST_CASE(IdempotentRequestGoesOnAfterAnInvalidStatus) {
  Rig rig;
  const RawEngine broken(rig.io, "HTTP/1.1 000 X\r\n" + kRest);
  rig.AddEngineAt("i-raw", broken.address(), kPlain);
  rig.AddEngine(kPlain, Answering(kOk, false, "x"));
  rig.SetVersion("i-1", "", "other");
  RecordingWriter caller;
  rig.Serve("/safe/", kWait, caller);
  BOOST_TEST(broken.requests.size() == 1U);
  BOOST_TEST(caller.status == kOk);
  BOOST_TEST(caller.body == "x");
}

/** Guards against a stream that ends as complete with the answer of the engine
 * that should have gone on with it. */
BOOST_AUTO_TEST_CASE(StreamThatMeetsAnInvalidStatusIsBrokenOff) {
  Rig rig;
  const RawEngine broken(
      rig.io, "HTTP/1.1 000 X\r\ngenuine: 1\r\n\r\n" + "id: 2\ndata: b\n\n"s);
  rig.AddEngine(kDrafts, testing::Streaming({kEvent}, false));
  rig.AddEngineAt("i-raw", broken.address(), kDrafts);
  rig.SetVersion("i-raw", "", "other");
  RecordingWriter caller;
  rig.Serve("/stream/", kWait, caller);
  BOOST_TEST(broken.requests.size() == 1U);
  BOOST_TEST(caller.body == kEvent);
  BOOST_TEST(caller.cut);
}

/** Guards against an engine that loses its requests by what a broken answer, or
 * a broken report of its load, says of it. */
BOOST_AUTO_TEST_CASE(NoticesOfAnInvalidAnswerAreNotBelieved) {
  Rig rig;
  const RawEngine broken(
      rig.io, "HTTP/1.1 000 X\r\nleaving: 1\r\nrest-ms: 60000\r\n" + kRest);
  rig.AddEngineAt("i-raw", broken.address(), kPlain);
  RecordingWriter caller;
  rig.Serve("/once/", kWait, caller);
  const fleet::InstanceId instance("i-raw");
  entry::testing::RunTask(rig.io, QueryLoad(rig.gauges, instance));
  BOOST_TEST(broken.requests.size() == 2U);
  BOOST_TEST(!rig.loads.notices().IsLeaving(instance));
  BOOST_TEST((rig.loads.notices().RestLeft(instance) == milliseconds(0)));
}

/** Guards against an answer with a line that is no header field, passed on to
 * the caller. */
BOOST_AUTO_TEST_CASE(InvalidFieldNameIsNotRelayed) {
  for (const std::string& field :
       {"X Trouble: 1"s, "X-Trouble : 1"s, "X\tTrouble: 1"s, " X-Trouble: 1"s,
        "X\x01Trouble: 1"s, "X\0Trouble: 1"s, "X\x1bTrouble: 1"s,
        "X\x7fTrouble: 1"s, "X\rTrouble: 1"s, "X\x80Trouble: 1"s, ": 1"s,
        "X-Trouble"s, "Content-Length : 2"s, "Transfer-Encoding : chunked"s}) {
    CheckLost(fmt::format("{}{}\r\n{}", kOkLine, field, kRest));
    CheckLost(fmt::format("HTTP/1.1 500 X\r\n{}\r\n{}", field, kRest));
    CheckLost(
        fmt::format("{}{}\r\ngenuine: 1\r\n\r\n{}", kOkLine, field, kEvent));
  }
}

/** Guards against chunk headers, or coded bytes, that callers get as the body.
 */
BOOST_AUTO_TEST_CASE(BodyOfAnUnknownTransferCodingIsNotRelayed) {
  const std::string body = "genuine: 1\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const char* codings :
       {"xchunked", "identity", "chunked, gzip", "gzip, chunked",
        "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked"}) {
    CheckLost(
        fmt::format("{}Transfer-Encoding: {}\r\n{}", kOkLine, codings, body));
  }
  CheckLost("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + body);
}

/** Guards against a check that turns sound answers away. */
BOOST_AUTO_TEST_CASE(ValidHeadIsRelayed) {
  for (const char* status : {"200", "299", "302", "400", "418", "500", "599"}) {
    const std::string received =
        Relay("HTTP/1.1 "s + status + " \r\n" + kRest, kPlain, "/once/");
    BOOST_TEST(received.starts_with("HTTP/1.1 "s + status + " "), received);
    BOOST_TEST(received.ends_with("\r\n\r\nbody"), received);
  }
  for (const std::string& head :
       {"HTTP/1.0 200 OK\r\n"s, kOkLine + "X!#$%&'*+-.^_`|~0: 1\r\n",
        kOkLine + "X-A: a\tb\x80\r\nX-B:\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" +
            kOkLine}) {
    const std::string received = Relay(head + kRest, kPlain, "/once/");
    BOOST_TEST(received.starts_with("HTTP/1.1 200 "), received);
    BOOST_TEST(received.ends_with("\r\n\r\nbody"), received);
  }
}

}  // namespace sapphire::serving
