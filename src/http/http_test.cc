/** @file http_test.cc Tests of the HTTP server and client. */
#define BOOST_TEST_MODULE http
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "core/address_func.h"
#include "core/error_type.h"
#include "http/client_base.h"
#include "http/server_base.h"

namespace sapphire::http {
namespace {

namespace asio = boost::asio;
using core::Task;
using std::chrono::milliseconds;

constexpr milliseconds kLongTimeout{10'000};

Task<> Echo(const Request& request, ResponseWriter& writer) {
  const std::string_view path = PathOf(request.target);
  if (path == "/refuse") {
    throw core::Error(core::ErrorCode::kQueueFull, "try later",
                      milliseconds(1500));
  }
  if (path == "/parts") {
    const ResponseHead head{200, {Header{"Content-Type", "text/plain"}}};
    co_await writer.Begin(head);
    for (int i = 0; i < 3; ++i) {
      co_await writer.Write("part");
    }
    co_await writer.End();
    co_return;
  }
  if (path == "/invalid-status") {
    co_await writer.Send(MakeResponse(0, "text/plain", "x"));
    co_return;
  }
  if (path == "/cut") {
    co_await writer.Begin(ResponseHead());
    co_await writer.Write("half");
    throw core::Error(core::ErrorCode::kAnswerCut, "engine gone");
  }
  co_await writer.Send(
      MakeResponse(200, "text/plain", std::string(request.body.text())));
}

struct Fixture {
  Fixture()
      : work(asio::make_work_guard(io)),
        log({"test", core::VmId("t"), core::ZoneId("z")},
            core::LogLevel::kError, clock),
        server(io.get_executor(), "127.0.0.1:0", ServerLimits{4096, 10000},
               Echo, log),
        client(server.address()) {
    server.Start();
    for (auto& thread : threads) thread = std::thread([this] { io.run(); });
  }
  ~Fixture() {
    server.StopAccepting();
    work.reset();
    io.stop();
    for (auto& thread : threads) thread.join();
  }

  template <typename T>
  T Run(Task<T> task) {
    return asio::co_spawn(asio::make_strand(io), std::move(task),
                          asio::use_future)
        .get();
  }

  /** Sends raw bytes and reads until the server closes.
   * @param end Set to how the connection ended. */
  std::string SendRaw(const std::string& bytes,
                      boost::system::error_code* end = nullptr) {
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    socket.connect(core::ParseAddress(server.address()));
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    if (end != nullptr) *end = ec;
    return answer;
  }

  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  core::SystemClock clock;
  core::Logger log;
  Server server;
  Client client;
  std::array<std::thread, 2> threads;
};

BOOST_FIXTURE_TEST_CASE(SuccessiveRequestsGetTheirAnswers, Fixture) {
  for (int i = 0; i < 5; ++i) {
    const std::string body = "body " + std::to_string(i);
    const Response response =
        Run(client.Fetch({"POST", "/echo", {}, body}, kLongTimeout));
    BOOST_TEST(response.head.status == 200);
    BOOST_TEST(response.body == body);
  }
}

BOOST_FIXTURE_TEST_CASE(ChunkedAnswerArrivesComplete, Fixture) {
  BOOST_TEST(Run(client.Fetch({"GET", "/parts", {}, ""}, kLongTimeout)).body ==
             "partpartpart");
}

BOOST_FIXTURE_TEST_CASE(RefusalBecomesProblemJsonWithRetryAfter, Fixture) {
  const Response response = Run(client.Fetch(
      {"GET", "/refuse", {{"X-Request-Id", "r1"}}, ""}, kLongTimeout));
  BOOST_TEST(response.head.status == 503);
  BOOST_TEST(*FindHeader(response.head.headers, "retry-after") == "2");
  BOOST_TEST(response.body.find("\"outcome\":\"not_run\"") !=
             std::string::npos);
  BOOST_TEST(response.body.find("\"request_id\":\"r1\"") != std::string::npos);
}

/** Guards against a request on a kept connection that is denied by limits which
 * have been raised since its last one. */
BOOST_FIXTURE_TEST_CASE(LimitsRaisedWhileAConnectionIsIdleHold, Fixture) {
  const std::string body(20'000, 'x');
  Run(client.Fetch({"POST", "/echo", {}, "first"}, kLongTimeout));
  server.SetLimits(ServerLimits{4096, 30'000});
  const Response response =
      Run(client.Fetch({"POST", "/echo", {}, body}, kLongTimeout));
  BOOST_TEST(response.head.status == 200);
  BOOST_TEST(client.connections_opened() == 1);
}

/** Accepts one connection and sends one answer to it in a single write. */
class OneAnswerServer {
 public:
  /** @param close Close the connection after the answer. */
  explicit OneAnswerServer(std::string answer, bool close = false)
      : close_(close),
        acceptor_(io_, core::ParseAddress("127.0.0.1:0")),
        thread_([this, text = std::move(answer)] { Send(text); }) {}
  ~OneAnswerServer() { thread_.join(); }

  [[nodiscard]] std::string address() const {
    return core::AddressText(acceptor_);
  }
  void AwaitSent() { sent_.get_future().wait(); }

 private:
  void Send(const std::string& text) {
    asio::ip::tcp::socket socket = acceptor_.accept();
    // Room for the whole answer: it is sent before the client reads.
    socket.set_option(
        asio::socket_base::send_buffer_size(static_cast<int>(text.size())));
    asio::read(socket, asio::buffer(request_, 1));
    asio::write(socket, asio::buffer(text));
    sent_.set_value();
    boost::system::error_code ec;
    if (close_) socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    asio::read(socket, asio::buffer(request_), ec);
  }

  const bool close_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::array<char, 4096> request_{};
  std::promise<void> sent_;
  std::thread thread_;
};

/** Accepts one connection and sends a head, then the same bytes over and over
 * until the client closes or `kMostSent` were sent. */
class EndlessServer {
 public:
  static constexpr std::size_t kMostSent = 32 * 1024 * 1024;

  EndlessServer(std::string head, std::string part)
      : acceptor_(io_, core::ParseAddress("127.0.0.1:0")),
        thread_([this, head = std::move(head), part = std::move(part)] {
          Send(head, part);
        }) {}
  ~EndlessServer() { thread_.join(); }

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] std::string address() const {
    return core::AddressText(acceptor_);
  }
  /** @return Bytes sent until the client closed. */
  std::size_t AwaitSent() { return sent_.get_future().get(); }

 private:
  void Send(const std::string& head, const std::string& part) {
    asio::ip::tcp::socket socket = acceptor_.accept();
    std::array<char, 1> request{};
    boost::system::error_code ec;
    asio::read(socket, asio::buffer(request), ec);
    asio::write(socket, asio::buffer(head), ec);
    std::size_t sent = 0;
    while (!ec && sent < kMostSent) {
      sent += asio::write(socket, asio::buffer(part), ec);
    }
    sent_.set_value(sent);
  }

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::promise<std::size_t> sent_;
  std::thread thread_;
};

/** What a client does not read of an answer lies in the buffers of the two
 * sockets. */
constexpr std::size_t kMaxInSockets = 12 * 1024 * 1024;
const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

Task<int> CountParts(Client& client, OneAnswerServer& peer) {
  Request request;
  const auto stream = co_await client.Open(std::move(request), kLongTimeout);
  peer.AwaitSent();
  int parts = 0;
  while (true) {
    const BodyPart part = co_await stream->Read(kLongTimeout);
    if (std::holds_alternative<BodyEnd>(part)) co_return parts;
    ++parts;
  }
}

/** Guards against reading an answer in many small parts: on a busy thread each
 * read waits until the thread is free, so an answer of the key-value store took
 * seconds. */
BOOST_FIXTURE_TEST_CASE(ArrivedAnswerIsReadInFewParts, Fixture) {
  constexpr std::size_t kBody = 48 * 1024;
  OneAnswerServer peer(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) +
      "\r\n\r\n" + std::string(kBody, 'x'));
  Client reader(peer.address());
  const int parts = Run(CountParts(reader, peer));
  BOOST_TEST(parts <= 8);
}

/** Guards against the same with a large answer, such as a configuration with
 * thousands of routes. */
BOOST_FIXTURE_TEST_CASE(LargeAnswerIsReadInLargeParts, Fixture) {
  constexpr std::size_t kBody = 128 * 1024;
  OneAnswerServer peer(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) +
      "\r\n\r\n" + std::string(kBody, 'x'));
  Client reader(peer.address());
  const int parts = Run(CountParts(reader, peer));
  BOOST_TEST(parts <= 6);
}

/** Guards against a process that fills its memory with a body that does not
 * end. */
BOOST_FIXTURE_TEST_CASE(FetchedBodyIsBounded, Fixture) {
  const std::string text(0x4000, 'x');
  for (const bool chunked : {true, false}) {
    EndlessServer peer(chunked ? kChunkedHead : "HTTP/1.1 200 OK\r\n\r\n",
                       chunked ? "4000\r\n" + text + "\r\n" : text);
    Client reader(peer.address());
    FetchOptions options;
    options.unstated = UnstatedEnd::kAccept;
    options.max_body_bytes = 1024 * 1024;
    BOOST_CHECK_THROW(Run(reader.Fetch({}, options)), OversizedAnswer);
    BOOST_TEST(peer.AwaitSent() <= options.max_body_bytes + kMaxInSockets);
  }
}

BOOST_FIXTURE_TEST_CASE(BodyAsLongAsTheLimitIsFetched, Fixture) {
  const std::string text(0x4000, 'x');
  OneAnswerServer peer("HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n" +
                       text);
  Client reader(peer.address());
  FetchOptions options;
  options.max_body_bytes = text.size();
  BOOST_TEST(Run(reader.Fetch({}, options)).body == text);
}

/** Guards against memory that is filled with what is no body: a chunk extension
 * or trailers that do not end. */
BOOST_FIXTURE_TEST_CASE(ChunkExtensionAndTrailersAreBounded, Fixture) {
  const std::string text(0x4000, 'x');
  const std::pair<std::string, std::string> answers[] = {
      {"4;a=", text}, {"0\r\n", "A: b\r\n"}, {"0\r\nA: ", text}};
  for (const auto& [begin, part] : answers) {
    EndlessServer peer(kChunkedHead + begin, part);
    Client reader(peer.address());
    BOOST_CHECK_THROW(Run(reader.Fetch({}, kLongTimeout)), OversizedAnswer);
    BOOST_TEST(peer.AwaitSent() <= kMaxInSockets);
  }
}

/** Guards against a process that ends: Beast throws within the event loop at a
 * trailer of 64 KB. */
BOOST_FIXTURE_TEST_CASE(LongTrailerOfAnAnswerIsAnError, Fixture) {
  for (const std::size_t size : {65'520U, 65'530U, 65'540U, 100'000U}) {
    OneAnswerServer peer(kChunkedHead + "2\r\nok\r\n0\r\nA: " +
                         std::string(size, 'x') + "\r\n\r\n");
    Client reader(peer.address());
    try {
      BOOST_TEST(Run(reader.Fetch({}, kLongTimeout)).body == "ok");
    } catch (const OversizedAnswer&) {
      BOOST_TEST(size > 65'000U);
    }
  }
}

/** Guards against an answer of chunks that are mostly extensions: 100 KB each
 * for a byte of the body. */
BOOST_FIXTURE_TEST_CASE(ExtensionOfEachChunkIsBounded, Fixture) {
  const std::string extension(100 * 1024, 'x');
  EndlessServer peer(kChunkedHead, "1;a=" + extension + "\r\nb\r\n");
  Client reader(peer.address());
  BOOST_CHECK_THROW(Run(reader.Fetch({}, kLongTimeout)), OversizedAnswer);
  BOOST_TEST(peer.AwaitSent() <= kMaxInSockets);
}

/** Guards against a time limit that never takes effect: the next part of the
 * answer is always there before the timer is asked. */
BOOST_FIXTURE_TEST_CASE(AnswerWhosePartsNeverStopEndsInTime, Fixture) {
  EndlessServer peer(kChunkedHead, "1\r\nx\r\n");
  Client reader(peer.address());
  const auto began = std::chrono::steady_clock::now();
  BOOST_CHECK_THROW(Run(reader.Fetch({}, milliseconds(200))), TransportError);
  BOOST_TEST((std::chrono::steady_clock::now() - began < milliseconds(1000)));
}

/** Guards against a connection that is reused in the middle of an answer that
 * was given up. */
BOOST_FIXTURE_TEST_CASE(OversizedAnswerEndsItsConnection, Fixture) {
  const std::string body(8000, 'x');
  FetchOptions options;
  options.max_body_bytes = 100;
  BOOST_CHECK_THROW(Run(client.Fetch({"POST", "/echo", {}, body}, options)),
                    OversizedAnswer);
  BOOST_TEST(
      Run(client.Fetch({"POST", "/echo", {}, "next"}, kLongTimeout)).body ==
      "next");
  BOOST_TEST(client.connections_opened() == 2);
}

/** Guards against an honest answer that is lost to an early hint before it. */
BOOST_FIXTURE_TEST_CASE(InformationalAnswersAreSkipped, Fixture) {
  const std::string hint = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
  std::string answer;
  for (int i = 0; i < 16; ++i) answer += hint;
  answer += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  OneAnswerServer peer(answer);
  Client reader(peer.address());
  const Response response = Run(reader.Fetch({}, kLongTimeout));
  BOOST_TEST(response.head.status == 200);
  BOOST_TEST(!FindHeader(response.head.headers, "A").has_value());
  BOOST_TEST(response.body == "ok");
}

/** Guards against a status that HTTP does not know, or a switch of protocols
 * that nobody asked for, read as an answer. */
BOOST_FIXTURE_TEST_CASE(InvalidStatusIsNoAnswer, Fixture) {
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    OneAnswerServer peer(std::string("HTTP/1.1 ") + status +
                         " X\r\nContent-Length: 2\r\n\r\nok");
    Client reader(peer.address());
    try {
      Run(reader.Fetch({}, kLongTimeout));
      BOOST_ERROR("answered with " << status);
    } catch (const TransportError& e) {
      BOOST_TEST(e.may_have_run());
      BOOST_TEST(!e.timed_out());
      BOOST_TEST(
          std::string(e.what()).ends_with(std::string("status ") + status));
    }
  }
}

/** Guards against a connection that is reused after a head that can't be
 * trusted. */
BOOST_FIXTURE_TEST_CASE(InvalidStatusEndsItsConnection, Fixture) {
  BOOST_CHECK_THROW(
      Run(client.Fetch({"GET", "/invalid-status", {}, ""}, kLongTimeout)),
      TransportError);
  BOOST_TEST(
      Run(client.Fetch({"POST", "/echo", {}, "next"}, kLongTimeout)).body ==
      "next");
  BOOST_TEST(client.connections_opened() == 2);
}

/** Guards against chunk headers, or coded bytes, that are read as the body:
 * of all transfer codings only "chunked" alone is understood, from a server of
 * HTTP/1.1. */
BOOST_FIXTURE_TEST_CASE(UnknownTransferCodingIsNoAnswer, Fixture) {
  const std::string rest = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;a=b",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked x",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: a\r\nTransfer-Encoding: chunked",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"}) {
    OneAnswerServer peer(head + rest, true);
    Client reader(peer.address());
    try {
      const Response response =
          Run(reader.Fetch({}, kLongTimeout, UnstatedEnd::kAccept));
      BOOST_ERROR(head << " is read as " << response.body);
    } catch (const TransportError& e) {
      BOOST_TEST(e.may_have_run());
      BOOST_TEST(std::string(e.what()).ends_with("unknown transfer coding"));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(ChunkedCodingIsReadInAnySpelling, Fixture) {
  for (const std::string value :
       {"chunked", "CHUNKED", " Chunked ", ",chunked,"}) {
    OneAnswerServer peer("HTTP/1.1 200 OK\r\nTransfer-Encoding:" + value +
                         "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    Client reader(peer.address());
    BOOST_TEST(Run(reader.Fetch({}, kLongTimeout)).body == "ok");
  }
}

BOOST_FIXTURE_TEST_CASE(InformationalAnswersAreBounded, Fixture) {
  EndlessServer peer("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
  Client reader(peer.address());
  BOOST_CHECK_THROW(Run(reader.Fetch({}, kLongTimeout)), OversizedAnswer);
  BOOST_TEST(peer.AwaitSent() <= kMaxInSockets);
}

// An engine crashes in the middle of an answer. The caller must not mistake the
// part for the complete answer: the chunked body ends without its last chunk,
// which HTTP clients report as an error.
BOOST_FIXTURE_TEST_CASE(IncompleteAnswerThrows, Fixture) {
  BOOST_CHECK_THROW(Run(client.Fetch({"GET", "/cut", {}, ""}, kLongTimeout)),
                    TransportError);
}

/** Guards against an HTTP/1.0 caller that takes a cut answer for a whole one:
 * its answers end with the connection, and an orderly close is their end. */
BOOST_FIXTURE_TEST_CASE(CutAnswerToHttp10CallerIsReset, Fixture) {
  boost::system::error_code end;
  SendRaw("GET /cut HTTP/1.0\r\n\r\n", &end);
  BOOST_TEST(end == asio::error::connection_reset);
  const std::string whole = SendRaw("GET /parts HTTP/1.0\r\n\r\n", &end);
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST(whole.ends_with("partpartpart"));
}

/** Guards against a truncated answer that is taken for a whole one because its
 * end is stated by neither a length nor chunks. */
BOOST_FIXTURE_TEST_CASE(AnswerWithoutStatedEndIsRefusedUnlessAccepted,
                        Fixture) {
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\nhalf";
  OneAnswerServer strict(answer, true);
  Client refusing(strict.address());
  BOOST_CHECK_THROW(Run(refusing.Fetch({}, kLongTimeout)), TransportError);
  OneAnswerServer lenient(answer, true);
  Client accepting(lenient.address());
  BOOST_TEST(
      Run(accepting.Fetch({}, kLongTimeout, UnstatedEnd::kAccept)).body ==
      "half");
}

BOOST_FIXTURE_TEST_CASE(InvalidRequestsGetTheirErrorStatus, Fixture) {
  BOOST_TEST(SendRaw("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
  const std::string large(20000, 'x');
  BOOST_TEST(
      SendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" +
              large)
          .starts_with("HTTP/1.1 413"));
  BOOST_TEST(
      SendRaw("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + large + "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
  BOOST_TEST(Run(client.Fetch({"POST", "/", {}, "on"}, kLongTimeout)).body ==
             "on");
}

/** Guards against a caller who fills the memory with what is no body: a chunk
 * extension or trailers. */
BOOST_FIXTURE_TEST_CASE(ChunkExtensionAndTrailersOfRequestsAreBounded,
                        Fixture) {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::string long_text(1024 * 1024, 'x');
  const std::string short_text(8 * 1024, 'x');
  const std::string end = "\r\non\r\n0\r\n\r\n";
  BOOST_TEST(
      SendRaw(head + "2;a=" + long_text + end).starts_with("HTTP/1.1 431"));
  BOOST_TEST(
      SendRaw(head + "2;a=" + short_text + end).starts_with("HTTP/1.1 431"));
  BOOST_TEST(SendRaw(head + "2\r\non\r\n0\r\nA: " + long_text + "\r\n\r\n")
                 .starts_with("HTTP/1.1 431"));
  // Large enough for Beast to throw at a field, if it is parsed.
  for (const std::size_t size : {65'000U, 65'500U, 65'536U, 70'000U}) {
    std::string request = head + "2\r\non\r\n0\r\nA: ";
    request.append(size, 'x');
    request += "\r\n\r\n";
    const std::string answer = SendRaw(request);
    BOOST_TEST(answer.starts_with("HTTP/1.1"));
  }
  std::string trailers;
  while (trailers.size() < long_text.size()) trailers += "A: b\r\n";
  BOOST_TEST(SendRaw(head + "2\r\non\r\n0\r\n" + trailers + "\r\n")
                 .starts_with("HTTP/1.1 431"));
}

/** Guards against a caller whose request comes in tiny parts without a pause
 * and keeps its connection beyond the time limit. */
BOOST_FIXTURE_TEST_CASE(RequestThatKeepsComingEndsInTime, Fixture) {
  ServerLimits limits;
  limits.max_body_bytes = 64 * 1024 * 1024;
  limits.read_timeout = milliseconds(200);
  server.SetLimits(limits);
  asio::io_context own;
  asio::ip::tcp::socket socket(own);
  socket.connect(core::ParseAddress(server.address()));
  const auto began = std::chrono::steady_clock::now();
  boost::system::error_code ec;
  asio::write(socket,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n")),
              ec);
  const std::string part = "1\r\nx\r\n";
  for (int i = 0; !ec && i < 4'000'000; ++i) {
    asio::write(socket, asio::buffer(part), ec);
  }
  BOOST_TEST(static_cast<bool>(ec));
  BOOST_TEST((std::chrono::steady_clock::now() - began < milliseconds(2000)));
}

BOOST_FIXTURE_TEST_CASE(UnsentRequestIsKnownNotToHaveRun, Fixture) {
  asio::ip::tcp::acceptor closed(io);
  core::ListenOn(closed, "127.0.0.1:0");
  Client unreachable(core::AddressText(closed));
  closed.close();
  try {
    Run(unreachable.Fetch({}, kLongTimeout));
    BOOST_FAIL("connected to a closed port");
  } catch (const TransportError& e) {
    BOOST_TEST(!e.may_have_run());
  }
}

BOOST_AUTO_TEST_CASE(TargetsAreParsed) {
  BOOST_TEST(PathOf("/kv?key=a%2Fb") == "/kv");
  BOOST_TEST(*QueryValue("/kv?x=1&key=a%2Fb+c", "key") == "a/b c");
  BOOST_TEST(!QueryValue("/kv?x=1", "key").has_value());
  BOOST_TEST(UrlEncode("a/b c") == "a%2Fb%20c");
}

}  // namespace
}  // namespace sapphire::http
