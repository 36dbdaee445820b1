/** @file server.cc A small HTTP/1.1 server, built on Boost.Beast. */
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <mutex>
#include <set>
#include <utility>

#include "core/address_func.h"
#include "core/error_type.h"
#include "core/random_func.h"
#include "core/task_func.h"
#include "http/refusal_recorder_base.h"
#include "http/request_budget_base.h"
#include "http/request_reader_base.h"
#include "http/server_base.h"

namespace sapphire::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp10 = 10;
/** Pause after which no more data is read from a caller whose request was
 * refused: closing the connection with unread data would reset it before the
 * caller has read the answer. */
constexpr std::chrono::milliseconds kLingerTime{1000};
/** What a connection is used for. */
enum class Phase {
  kIdle,     ///< No request.
  kHead,     ///< The head of a request is being read.
  kBody,     ///< Its body is being read.
  kServing,  ///< It is being handled and answered.
  kLinger,   ///< It was refused, and its caller may still read the answer.
};

/** A connection from a caller. */
struct Connection {
  explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}

  void Enter(Phase next) {
    since = std::chrono::steady_clock::now().time_since_epoch().count();
    phase = next;
  }
  /** @return True if nothing is lost by closing the connection: no request on
   * it has been read, or is about to be. */
  [[nodiscard]] bool IsClosable() const {
    const Phase now = phase;
    return now == Phase::kIdle || now == Phase::kHead || now == Phase::kLinger;
  }
  [[nodiscard]] bool IsReading() const {
    const Phase now = phase;
    return now == Phase::kHead || now == Phase::kBody;
  }

  beast::tcp_stream stream;
  /** Written on the strand, read on any thread. */
  std::atomic<Phase> phase{Phase::kIdle};
  std::atomic<core::SteadyTime::rep> since{0};
  /** True while an answer is being sent that ends with the connection. */
  bool reset_on_close = false;
};

/** Detects that the peer closes its connection while a request is handled. */
class CloseWatch final : public std::enable_shared_from_this<CloseWatch> {
 public:
  CloseWatch(tcp::socket& socket, std::function<void()> callback)
      : socket_(socket), callback_(std::move(callback)) {}

  void Arm() {
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const beast::error_code& ec) {
          if (!ec && self->callback_) self->CheckClosed();
        });
  }

  /** Ends the watch; the callback is not called any more. */
  void Stop() {
    callback_ = nullptr;
    beast::error_code ignored;
    socket_.cancel(ignored);
  }

 private:
  void CheckClosed() {
    char c = 0;
    const auto n =
        ::recv(socket_.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    // A close can't be seen behind unread bytes, and another wait would
    // complete immediately.
    if (n > 0) return;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      Arm();
      return;
    }
    std::exchange(callback_, nullptr)();
  }

  tcp::socket& socket_;
  std::function<void()> callback_;
};

/** Makes a close of the connection, also by the end of this process, reset it:
 * its peer then sees that an answer that ends with the connection was cut. */
void ResetOnClose(Connection& connection, bool on) {
  beast::error_code ignored;
  connection.stream.socket().set_option(asio::socket_base::linger(on, 0),
                                        ignored);
  connection.reset_on_close = on;
}

/** Writes one answer to a connection. */
class BeastWriter final : public ResponseWriter {
 public:
  /** @param leaving Read when the head is written. */
  BeastWriter(Connection& connection, unsigned version, bool keep_alive,
              const std::atomic<bool>& leaving,
              std::chrono::milliseconds write_timeout)
      : connection_(connection),
        stream_(connection.stream),
        version_(version),
        keep_alive_(keep_alive),
        leaving_(leaving),
        write_timeout_(write_timeout) {}
  ~BeastWriter() override {
    if (watch_) watch_->Stop();
  }

  BeastWriter(const BeastWriter&) = delete;
  BeastWriter& operator=(const BeastWriter&) = delete;

  Task<> Send(Response response) override {
    started_ = true;
    beast::http::response<beast::http::string_body> out;
    FillHead(out, response.head);
    out.body() = std::move(response.body);
    out.prepare_payload();
    stream_.expires_after(write_timeout_);
    const auto [ec, n] =
        co_await beast::http::async_write(stream_, out, kTuple);
    ThrowOnError(ec);
    finished_ = true;
  }

  Task<> Begin(ResponseHead head) override {
    started_ = true;
    chunked_ = version_ != kHttp10 && !head.ends_with_connection;
    keep_alive_ = keep_alive_ && chunked_;
    if (!chunked_) ResetOnClose(connection_, true);
    beast::http::response<beast::http::empty_body> out;
    FillHead(out, head);
    out.chunked(chunked_);
    beast::http::response_serializer<beast::http::empty_body> serializer(out);
    stream_.expires_after(write_timeout_);
    const auto [ec, n] =
        co_await beast::http::async_write_header(stream_, serializer, kTuple);
    ThrowOnError(ec);
  }

  Task<> Write(std::string_view data) override {
    // An empty chunk would end the answer.
    if (data.empty()) co_return;
    const asio::const_buffer buf(data.data(), data.size());
    stream_.expires_after(write_timeout_);
    if (chunked_) {
      const auto [ec, n] = co_await asio::async_write(
          stream_, beast::http::make_chunk(buf), kTuple);
      ThrowOnError(ec);
    } else {
      const auto [ec, n] = co_await asio::async_write(stream_, buf, kTuple);
      ThrowOnError(ec);
    }
  }

  Task<> End() override {
    if (chunked_) {
      stream_.expires_after(write_timeout_);
      const auto [ec, n] = co_await asio::async_write(
          stream_, beast::http::make_chunk_last(), kTuple);
      ThrowOnError(ec);
    } else {
      ResetOnClose(connection_, false);
    }
    finished_ = true;
  }

  [[nodiscard]] bool started() const override { return started_; }

  [[nodiscard]] bool CallerDisconnected() override {
    char c = 0;
    const auto n = ::recv(stream_.socket().native_handle(), &c, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    const bool would_block = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return n <= 0 && !would_block;
  }

  void OnCallerDisconnect(std::function<void()> callback) override {
    if (watch_) std::exchange(watch_, nullptr)->Stop();
    if (!callback) return;
    watch_ =
        std::make_shared<CloseWatch>(stream_.socket(), std::move(callback));
    watch_->Arm();
  }

  [[nodiscard]] bool finished() const { return finished_; }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  void CloseAfterThis() { keep_alive_ = false; }

 private:
  template <typename Message>
  void FillHead(Message& out, const ResponseHead& head) {
    if (leaving_) keep_alive_ = false;
    out.version(version_);
    out.result(static_cast<unsigned>(head.status));
    for (const Header& header : head.headers) {
      out.insert(header.name, header.value);
    }
    out.keep_alive(keep_alive_);
  }

  void ThrowOnError(const beast::error_code& ec) {
    if (!ec) return;
    keep_alive_ = false;
    throw TransportError("caller: " + ec.message(), true,
                         ec == beast::error::timeout);
  }

  Connection& connection_;
  beast::tcp_stream& stream_;
  const unsigned version_;
  bool keep_alive_;
  const std::atomic<bool>& leaving_;
  const std::chrono::milliseconds write_timeout_;
  bool started_ = false;
  bool finished_ = false;
  bool chunked_ = false;
  std::shared_ptr<CloseWatch> watch_;
};

Response ProblemResponse(const core::Error& error,
                         std::string_view request_id) {
  Response response = MakeResponse(core::InfoOf(error.code()).http_status,
                                   "application/problem+json",
                                   core::ProblemJson(error, request_id));
  if (error.retry_after()) {
    // The header holds whole seconds. Rounding up avoids retries that come too
    // early.
    const double seconds =
        std::chrono::duration<double>(*error.retry_after()).count();
    response.head.headers.push_back(
        {"Retry-After", fmt::format("{}", std::max(1.0, std::ceil(seconds)))});
  }
  if (!request_id.empty()) {
    response.head.headers.push_back({"X-Request-Id", std::string(request_id)});
  }
  return response;
}

}  // namespace

struct Server::State : std::enable_shared_from_this<State> {
  State(const core::Executor& executor, ServerLimits server_limits,
        Handler request_handler, const core::Logger& logger,
        std::shared_ptr<RequestBudget> request_budget)
      : strand(asio::make_strand(executor)),
        acceptor(strand),
        limits(server_limits),
        handler(std::move(request_handler)),
        log(logger),
        budget(std::move(request_budget)),
        refusals(logger) {}

  asio::strand<core::Executor> strand;
  tcp::acceptor acceptor;
  std::mutex limits_mutex;
  ServerLimits limits;
  const Handler handler;
  const core::Logger& log;
  const std::shared_ptr<RequestBudget> budget;
  RefusalRecorder refusals;
  std::atomic<bool> stopping{false};
  std::atomic<bool> leaving{false};
  std::atomic<int> in_progress{0};
  std::mutex connections_mutex;
  std::set<std::shared_ptr<Connection>> connections;

  Task<> AcceptLoop();
  bool IsFull();
  bool CloseOldest();
  void Refuse(Connection& connection);
  Task<> Session(std::shared_ptr<Connection> connection);
  Task<bool> ServeOne(std::shared_ptr<Connection> connection,
                      beast::flat_buffer& buf);
  Task<std::optional<core::Error>> ServeRead(Connection& connection,
                                             beast::flat_buffer& buf,
                                             RequestShare& share,
                                             bool& reusable);
  Task<> Answer(const Request& request, BeastWriter& writer);
  Task<> AnswerReadError(Connection& connection, const core::Error& error);

  ServerLimits CurrentLimits() {
    const std::lock_guard lock(limits_mutex);
    return limits;
  }
};

namespace {

/** Waits for the first byte of the next request. @return False if none came. */
Task<bool> AwaitRequest(Connection& connection, beast::flat_buffer& buf,
                        std::chrono::milliseconds idle_timeout) {
  if (buf.size() > 0) co_return true;
  constexpr std::size_t kFirstReadBytes = 4096;
  connection.stream.expires_after(idle_timeout);
  connection.Enter(Phase::kIdle);
  const auto [ec, n] = co_await connection.stream.async_read_some(
      buf.prepare(kFirstReadBytes), kTuple);
  if (ec) co_return false;
  buf.commit(n);
  co_return true;
}

/** @return "ip:port" of the client, for the log. */
std::string PeerOf(Connection& connection) {
  beast::error_code ec;
  const auto peer = connection.stream.socket().remote_endpoint(ec);
  if (ec) return "";
  return fmt::format("{}:{}", peer.address().to_string(), peer.port());
}

/** @return What ends the reading of a request that is given up. */
std::function<void()> StopReading(const std::shared_ptr<Connection>& it) {
  return [weak = std::weak_ptr(it)] {
    const auto connection = weak.lock();
    if (!connection) return;
    asio::post(connection->stream.get_executor(), [connection] {
      if (connection->IsReading()) connection->stream.cancel();
    });
  };
}

}  // namespace

Task<> Server::State::AcceptLoop() {
  const auto self = shared_from_this();
  while (!stopping) {
    tcp::socket socket(asio::make_strand(strand.get_inner_executor()));
    const auto [ec] = co_await acceptor.async_accept(socket, kTuple);
    if (stopping) break;
    if (ec) {
      // Out of file descriptors, or the caller has already closed the
      // connection: continue to accept.
      if (ec == asio::error::no_descriptors) CloseOldest();
      co_await core::SleepFor(std::chrono::milliseconds(10));
      continue;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    core::EnableDeadPeerDetection(socket);
    const auto executor = socket.get_executor();
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->Enter(Phase::kIdle);
    if (IsFull() && !CloseOldest()) {
      Refuse(*connection);
      continue;
    }
    {
      const std::lock_guard lock(connections_mutex);
      connections.insert(connection);
    }
    asio::co_spawn(executor, Session(connection), asio::detached);
  }
}

bool Server::State::IsFull() {
  const std::size_t max = CurrentLimits().max_connections;
  const std::lock_guard lock(connections_mutex);
  return connections.size() >= max;
}

/** Closes the connection that has been closable for the longest. @return False
 * if there is none. */
bool Server::State::CloseOldest() {
  std::shared_ptr<Connection> oldest;
  {
    const std::lock_guard lock(connections_mutex);
    for (const auto& it : connections) {
      if (!it->IsClosable()) continue;
      if (!oldest || it->since < oldest->since) oldest = it;
    }
    if (!oldest) return false;
    connections.erase(oldest);
  }
  asio::post(oldest->stream.get_executor(),
             [self = shared_from_this(), oldest] {
               // A request may have been read meanwhile.
               if (!oldest->IsClosable()) return;
               self->Refuse(*oldest);
               oldest->stream.close();
             });
  return true;
}

void Server::State::Refuse(Connection& connection) {
  refusals.Record({RefusalReason::kConnections, PeerOf(connection), "", 0});
}

Task<> Server::State::Session(std::shared_ptr<Connection> connection) {
  const auto self = shared_from_this();
  beast::flat_buffer buf;
  try {
    while (!stopping && co_await ServeOne(connection, buf)) {
    }
  } catch (const std::exception& e) {
    log.Event(core::LogLevel::kDebug, core::LogCategory::kRequest,
              "connection_ended", {{"error", e.what()}});
  }
  beast::error_code ignored;
  if (!connection->reset_on_close) {
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }
  connection->stream.close();
  const std::lock_guard lock(connections_mutex);
  connections.erase(connection);
}

/** Reads and answers one request. @return True if the connection can be used
 * for another one. */
Task<bool> Server::State::ServeOne(std::shared_ptr<Connection> connection,
                                   beast::flat_buffer& buf) {
  if (!co_await AwaitRequest(*connection, buf, CurrentLimits().idle_timeout)) {
    co_return false;
  }
  bool reusable = false;
  std::optional<core::Error> failure;
  {
    RequestShare share(budget, StopReading(connection));
    failure = co_await ServeRead(*connection, buf, share, reusable);
  }
  if (failure) {
    // Nothing of the request is held while its caller reads the answer.
    buf.clear();
    buf.shrink_to_fit();
    co_await AnswerReadError(*connection, *failure);
  }
  co_return reusable;
}

/** Reads a request and, if that succeeds, answers it.
 * @param reusable Set if the connection can be used for another one.
 * @return The error to answer if the request could not be read. */
Task<std::optional<core::Error>> Server::State::ServeRead(
    Connection& connection, beast::flat_buffer& buf, RequestShare& share,
    bool& reusable) {
  const ServerLimits now = CurrentLimits();
  RequestReader reader(connection.stream, buf, now, share);
  connection.Enter(Phase::kHead);
  const ReadResult read =
      co_await reader.Read([&connection] { connection.Enter(Phase::kBody); });
  connection.Enter(Phase::kServing);
  if (read.refused_by) {
    refusals.Record({*read.refused_by, PeerOf(connection), reader.request_id(),
                     reader.received()});
  }
  if (!read.request) co_return read.failure;
  BeastWriter writer(connection, read.version, read.keep_alive && !stopping,
                     leaving, now.write_timeout);
  ++in_progress;
  co_await Answer(*read.request, writer);
  --in_progress;
  reusable = writer.finished() && writer.keep_alive();
  co_return std::nullopt;
}

/** Runs the handler. An error before the answer has begun is answered as
 * problem+json. */
Task<> Server::State::Answer(const Request& request, BeastWriter& writer) {
  std::optional<core::Error> failure;
  try {
    co_await handler(request, writer);
    if (!writer.started()) {
      failure.emplace(core::ErrorCode::kInternal, "no answer was given");
    }
  } catch (const ConnectionCut&) {
    co_return;
  } catch (const core::Error& e) {
    failure = e;
  } catch (const std::exception& e) {
    failure.emplace(core::ErrorCode::kInternal, e.what());
  }
  if (!failure) co_return;
  const auto id = FindHeader(request.headers, "X-Request-Id");
  if (writer.started()) {
    log.Event(core::LogLevel::kInfo, core::LogCategory::kRequest, "answer_cut",
              {{"request", id.value_or("")}, {"error", failure->what()}});
    co_return;
  }
  try {
    co_await writer.Send(ProblemResponse(*failure, id.value_or("")));
  } catch (const TransportError& e) {
    log.Event(core::LogLevel::kDebug, core::LogCategory::kRequest,
              "caller_gone", {{"error", e.what()}});
  }
}

/** Answers a request that could not be read with an error, then reads until the
 * caller stops sending: closing earlier would reset the connection. */
Task<> Server::State::AnswerReadError(Connection& connection,
                                      const core::Error& error) {
  constexpr unsigned kHttp11 = 11;
  BeastWriter writer(connection, kHttp11, false, leaving,
                     CurrentLimits().write_timeout);
  co_await writer.Send(ProblemResponse(error, ""));
  beast::error_code ec;
  connection.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  connection.Enter(Phase::kLinger);
  // As long as it might have taken to read the request.
  const auto end =
      std::chrono::steady_clock::now() + CurrentLimits().read_timeout;
  std::array<char, 4096> discarded;
  while (!ec && std::chrono::steady_clock::now() < end) {
    std::size_t n = 0;
    connection.stream.expires_at(
        std::min(end, std::chrono::steady_clock::now() + kLingerTime));
    std::tie(ec, n) = co_await connection.stream.async_read_some(
        asio::buffer(discarded), kTuple);
  }
}

ServerLimits MonitoringLimits() {
  constexpr std::size_t kMaxBodyBytes = 1024;
  constexpr std::size_t kMaxConnections = 32;
  constexpr int kReceiveBufferBytes = 8 * 1024;
  ServerLimits limits;
  limits.max_connections = kMaxConnections;
  limits.receive_buffer_bytes = kReceiveBufferBytes;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.read_timeout = std::chrono::milliseconds(5000);
  return limits;
}

Server::Server(const core::Executor& executor,
               const std::string& listen_address, ServerLimits limits,
               Handler handler, const core::Logger& log,
               std::shared_ptr<RequestBudget> budget)
    : state_(std::make_shared<State>(executor, limits, std::move(handler), log,
                                     std::move(budget))) {
  core::ListenOn(state_->acceptor, listen_address);
  if (limits.receive_buffer_bytes == 0) return;
  // Accepted sockets inherit it. An error leaves the system's buffer.
  beast::error_code ignored;
  state_->acceptor.set_option(
      asio::socket_base::receive_buffer_size(limits.receive_buffer_bytes),
      ignored);
}

Server::~Server() { StopAccepting(); }

void Server::Start() {
  asio::co_spawn(state_->strand, state_->AcceptLoop(), asio::detached);
}

std::string Server::address() const {
  return core::AddressText(state_->acceptor);
}

void Server::StopAccepting() {
  if (state_->stopping.exchange(true)) return;
  asio::post(state_->strand, [state = state_] {
    beast::error_code ignored;
    state->acceptor.close(ignored);
  });
  const std::lock_guard lock(state_->connections_mutex);
  for (const auto& connection : state_->connections) {
    asio::post(connection->stream.get_executor(), [connection] {
      if (connection->phase == Phase::kIdle) connection->stream.close();
    });
  }
}

void Server::SetLimits(const ServerLimits& limits) {
  const std::lock_guard lock(state_->limits_mutex);
  state_->limits = limits;
}

void Server::AnnounceLeaving() { state_->leaving = true; }

int Server::in_progress() const { return state_->in_progress; }

RefusalCounts Server::refusals() const { return state_->refusals.counts(); }

}  // namespace sapphire::http
