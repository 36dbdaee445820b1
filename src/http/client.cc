/** @file client.cc A small HTTP/1.1 client, built on Boost.Beast. */
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>

#include "core/address_func.h"
#include "core/clock_base.h"
#include "http/client_base.h"

namespace sapphire::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadBytes = 16 * 1024;
/** Size of a read while bytes arrive faster than they are read: on a busy
 * thread each read waits for its turn. Beast reads no more at a time. */
constexpr std::size_t kMaxReadBytes = 64 * 1024;
/** Bytes received that are not parsed: a head, a chunk's header, the trailers
 * or a part of the body. Beast throws within the event loop at a field of 64
 * KB. */
constexpr std::size_t kMaxUnparsedBytes = kMaxReadBytes;
constexpr std::size_t kMaxChunkExtensionBytes = 4 * 1024;
/** Heads with a 1xx status that may come before the answer itself. */
constexpr int kMaxInformationalHeads = 16;
constexpr std::size_t kMaxIdle = 32;
/** How long before the end of a server's `Keep-Alive` timeout its connection is
 * no longer reused: the server might close it while a request is sent. */
constexpr std::chrono::milliseconds kKeepAliveMargin{300};

[[noreturn]] void Fail(const std::string& address, const beast::error_code& ec,
                       bool may_have_run) {
  if (ec == beast::http::error::header_limit ||
      ec == beast::http::error::buffer_overflow) {
    throw OversizedAnswer(address + ": " + ec.message(), may_have_run, false);
  }
  throw TransportError(address + ": " + ec.message(), may_have_run,
                       ec == beast::error::timeout);
}

/** @return True for a status of RFC 9110 that a server may answer with; Beast
 * takes any three digits. No request asks for a switch of protocols, and after
 * one the bytes are no HTTP. */
bool IsValidStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kEnd = 600;
  return status >= kFirst && status < kEnd && status != kSwitchingProtocols;
}

/** @return True if the head names no transfer coding, or "chunked" once, as the
 * only one. Beast leaves the bytes of other codings in the body, and takes
 * chunks from a server of HTTP/1.0, which does not know them (RFC 9112, 6.1).
 */
bool IsFramingKnown(const beast::http::response_header<>& head) {
  const auto [begin, end] =
      head.equal_range(beast::http::field::transfer_encoding);
  if (begin == end) return true;
  int codings = 0;
  for (auto it = begin; it != end; ++it) {
    const beast::http::opt_token_list names(it->value());
    if (!beast::http::validate_list(names)) return false;
    for (const beast::string_view name : names) {
      if (!beast::iequals(name, "chunked")) return false;
      ++codings;
    }
  }
  return codings == 1 && head.version() == kHttp11;
}

/** @return True for a valid status whose head is followed by another one. */
bool IsInformational(unsigned status) {
  constexpr unsigned kOk = 200;
  return status < kOk;
}

/** @return True if an idle connection is open and has no unread data. */
bool StillUsable(int fd) {
  char c = 0;
  const auto n = ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

/** @return The N of a `Keep-Alive: timeout=N` header field; nothing if absent.
 */
std::optional<std::chrono::milliseconds> KeepAliveTimeout(
    const std::vector<Header>& headers) {
  static constexpr std::string_view kTimeout = "timeout=";
  const auto value = FindHeader(headers, "Keep-Alive");
  if (!value) return std::nullopt;
  const std::size_t at = value->find(kTimeout);
  if (at == std::string_view::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + kTimeout.size();
  const auto parsed =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

/** Stores idle connections as file descriptors, so that each can be reused on
 * the executor of the next coroutine. */
struct Client::State {
  struct Idle {
    int fd;
    core::SteadyTime since;
    std::chrono::milliseconds usable_for;
  };

  std::string address;
  ClientOptions options;
  std::atomic<std::int64_t> connections_opened{0};
  tcp::endpoint remote;
  std::mutex mutex;
  std::vector<Idle> idle;

  ~State() { DropIdle(); }

  /** Removes a usable idle connection. @return Its descriptor, or -1. */
  int TakeIdle() {
    const std::lock_guard lock(mutex);
    while (!idle.empty()) {
      const Idle last = idle.back();
      idle.pop_back();
      const auto age = std::chrono::steady_clock::now() - last.since;
      if (age < last.usable_for && StillUsable(last.fd)) return last.fd;
      ::close(last.fd);
    }
    return -1;
  }

  void DropIdle() {
    const std::lock_guard lock(mutex);
    for (const Idle& it : idle) ::close(it.fd);
    idle.clear();
  }

  void AddIdle(tcp::socket socket, std::chrono::milliseconds usable_for) {
    beast::error_code ec;
    const int fd = socket.release(ec);
    if (ec) return;
    const std::lock_guard lock(mutex);
    if (idle.size() >= kMaxIdle) {
      ::close(fd);
      return;
    }
    idle.push_back({fd, std::chrono::steady_clock::now(), usable_for});
  }
};

namespace {

class BeastStream final : public ResponseStream {
 public:
  using Recycle = std::function<void(tcp::socket, std::chrono::milliseconds)>;

  BeastStream(std::string address, tcp::socket socket, Recycle recycle,
              std::chrono::milliseconds max_idle_time,
              std::shared_ptr<Abort> abort)
      : address_(std::move(address)),
        stream_(std::move(socket)),
        recycle_(std::move(recycle)),
        max_idle_time_(max_idle_time),
        abort_(std::move(abort)) {
    // Beast reads no more at a time than the free space of the buffer, which
    // is 512 bytes in a new one.
    buf_.reserve(kReadBytes);
    if (abort_) {
      abort_->Attach([this] { stream_.close(); });
    }
  }
  ~BeastStream() override {
    if (abort_) abort_->Attach(nullptr);
  }

  BeastStream(const BeastStream&) = delete;
  BeastStream& operator=(const BeastStream&) = delete;

  Task<> Connect(const tcp::endpoint& remote,
                 std::chrono::milliseconds timeout) {
    stream_.expires_after(timeout);
    const auto [ec] = co_await stream_.async_connect(remote, kTuple);
    if (ec) Fail(address_, ec, false);
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    core::EnableDeadPeerDetection(stream_.socket());
  }

  void ExpireAfter(std::chrono::milliseconds timeout) {
    stream_.expires_after(timeout);
  }

  Task<> Send(const Request& request) {
    beast::http::request<beast::http::span_body<const char>> out;
    out.version(kHttp11);
    out.method_string(request.method);
    out.target(request.target);
    for (const Header& header : request.headers) {
      out.insert(header.name, header.value);
    }
    if (out.count(beast::http::field::host) == 0) {
      out.set(beast::http::field::host, address_);
    }
    const std::string_view body = request.body.text();
    out.body() = {body.data(), body.size()};
    out.prepare_payload();
    const auto [ec, n] =
        co_await beast::http::async_write(stream_, out, kTuple);
    if (ec) Fail(address_, ec, true);
  }

  Task<> ReadHead() {
    for (int i = 0; i <= kMaxInformationalHeads; ++i) {
      parser_ = MakeParser();
      const auto [ec, n] = co_await beast::http::async_read_header(
          stream_, buf_, *parser_, kTuple);
      if (ec) Break(ec);
      CheckHead();
      if (!IsInformational(parser_->get().result_int())) {
        KeepHead();
        co_return;
      }
    }
    stream_.close();
    throw OversizedAnswer(address_ + ": informational answers without end",
                          true, false);
  }

  void KeepHead() {
    head_.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      head_.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }

  [[nodiscard]] const ResponseHead& head() const override { return head_; }

  Task<BodyPart> Read(std::chrono::milliseconds timeout) override {
    stream_.expires_after(timeout);
    while (!parser_->is_done()) {
      std::string part(read_bytes_, '\0');
      parser_->get().body().data = part.data();
      parser_->get().body().size = part.size();
      parser_->get().body().more = true;
      const auto [ec, n] = co_await beast::http::async_read_some(
          stream_, buf_, *parser_, kTuple);
      if (ec && ec != beast::http::error::need_buffer) Break(ec);
      part.resize(read_bytes_ - parser_->get().body().size);
      if (part.size() == read_bytes_) ReadMoreAtATime();
      if (!part.empty()) co_return part;
    }
    RecycleConnection();
    co_return parser_->need_eof() ? BodyEnd::kConnectionClosed
                                  : BodyEnd::kStated;
  }

 private:
  using Parser = beast::http::response_parser<beast::http::buffer_body>;

  std::unique_ptr<Parser> MakeParser() {
    auto parser = std::make_unique<Parser>();
    parser->body_limit(boost::none);
    parser->on_chunk_header(check_chunk_header_);
    return parser;
  }

  void ReadMoreAtATime() {
    read_bytes_ = std::min(2 * read_bytes_, kMaxReadBytes);
    buf_.reserve(read_bytes_);
  }

  /** @throws TransportError if Beast takes the head, but it is no valid HTTP.
   */
  void CheckHead() {
    const unsigned status = parser_->get().result_int();
    if (!IsValidStatus(status)) {
      Reject(fmt::format("invalid status {:03}", status));
    }
    if (!IsFramingKnown(parser_->get())) Reject("unknown transfer coding");
  }

  /** Closes the connection of a head that can't be trusted. Whether the request
   * has run is unknown, whatever the head says.
   * @param fault Without text of the server, as callers get it. */
  [[noreturn]] void Reject(std::string_view fault) {
    stream_.close();
    throw TransportError(fmt::format("{}: {}", address_, fault), true, false);
  }

  /** Closes the connection, so that no more of the answer is taken in. */
  [[noreturn]] void Break(const beast::error_code& ec) {
    stream_.close();
    Fail(address_, ec, true);
  }

  static void CheckChunkHeader(std::uint64_t /*size*/,
                               beast::string_view extensions,
                               beast::error_code& ec) {
    if (extensions.size() > kMaxChunkExtensionBytes) {
      ec = beast::http::error::header_limit;
    }
  }

  /** Returns the connection for reuse after a complete answer. */
  void RecycleConnection() {
    if (!recycle_ || !parser_->keep_alive() || buf_.size() > 0) return;
    stream_.expires_never();
    if (abort_) std::exchange(abort_, nullptr)->Attach(nullptr);
    std::exchange(recycle_, nullptr)(stream_.release_socket(), IdleTime());
  }

  [[nodiscard]] std::chrono::milliseconds IdleTime() const {
    const auto named = KeepAliveTimeout(head_.headers);
    if (!named) return max_idle_time_;
    return std::min(max_idle_time_, *named - kKeepAliveMargin);
  }

  const std::string address_;
  beast::tcp_stream stream_;
  Recycle recycle_;
  const std::chrono::milliseconds max_idle_time_;
  std::shared_ptr<Abort> abort_;
  beast::flat_buffer buf_{kMaxUnparsedBytes};
  std::size_t read_bytes_ = kReadBytes;
  /** The parser refers to it. */
  void (*check_chunk_header_)(std::uint64_t, beast::string_view,
                              beast::error_code&) = CheckChunkHeader;
  /** Of the last head that was read. */
  std::unique_ptr<Parser> parser_;
  ResponseHead head_;
};

}  // namespace

void Abort::Now() {
  requested_ = true;
  if (close_) close_();
}

void Abort::Attach(std::function<void()> close) {
  close_ = std::move(close);
  if (requested_ && close_) close_();
}

Client::Client(std::string address, ClientOptions options)
    : state_(std::make_shared<State>()) {
  state_->remote = core::ParseAddress(address);
  state_->address = std::move(address);
  state_->options = options;
}

Client::~Client() = default;

const std::string& Client::address() const { return state_->address; }

void Client::DropIdle() { state_->DropIdle(); }

std::int64_t Client::connections_opened() const {
  return state_->connections_opened;
}

Task<std::unique_ptr<ResponseStream>> Client::Open(
    Request request, std::chrono::milliseconds timeout) {
  OpenOptions options;
  options.timeout = timeout;
  options.connect_timeout = timeout;
  co_return co_await Open(std::move(request), std::move(options));
}

Task<std::unique_ptr<ResponseStream>> Client::Open(Request request,
                                                   OpenOptions options) {
  const auto state = state_;
  const auto executor = co_await asio::this_coro::executor;
  const auto began = std::chrono::steady_clock::now();
  const int fd = options.fresh_connection ? -1 : state->TakeIdle();
  tcp::socket socket(executor);
  if (fd >= 0) socket.assign(state->remote.protocol(), fd);
  auto answer = std::make_unique<BeastStream>(
      state->address, std::move(socket),
      [state](tcp::socket s, std::chrono::milliseconds usable_for) {
        state->AddIdle(std::move(s), usable_for);
      },
      state->options.max_idle_time, options.abort);
  if (options.abort && options.abort->requested()) {
    throw TransportError(state->address + ": given up", false, false);
  }
  if (fd < 0) {
    ++state->connections_opened;
    co_await answer->Connect(
        state->remote, std::min(options.connect_timeout, options.timeout));
  }
  const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - began);
  answer->ExpireAfter(
      std::max(options.timeout - spent, std::chrono::milliseconds(1)));
  co_await answer->Send(request);
  co_await answer->ReadHead();
  co_return answer;
}

Task<Response> Client::Fetch(Request request, std::chrono::milliseconds timeout,
                             UnstatedEnd unstated) {
  return Fetch(std::move(request),
               FetchOptions{timeout, timeout, timeout, unstated});
}

Task<Response> Client::Fetch(Request request, FetchOptions options) {
  const auto state = state_;
  const auto end = std::chrono::steady_clock::now() + options.timeout;
  const auto stream = co_await Open(
      std::move(request), std::min(options.head_timeout, options.timeout));
  Response response{stream->head(), {}};
  int late_parts = 0;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    const BodyPart part = co_await stream->Read(
        std::clamp(left, std::chrono::milliseconds(1), options.part_timeout));
    if (const auto* bytes = std::get_if<std::string>(&part)) {
      if (response.body.size() + bytes->size() > options.max_body_bytes) {
        throw OversizedAnswer(
            state->address + ": " +
                DescribeOversizedAnswer(options.max_body_bytes),
            true, false);
      }
      response.body += *bytes;
      // A timer does not end an answer whose next bytes are always there.
      if (std::chrono::steady_clock::now() >= end) ++late_parts;
      if (late_parts > kMaxLateParts) {
        throw TransportError(
            state->address + ": the answer takes longer than its time limit",
            true, true);
      }
      continue;
    }
    const bool is_stated = std::get<BodyEnd>(part) == BodyEnd::kStated;
    if (!is_stated && options.unstated == UnstatedEnd::kRefuse) {
      throw TransportError(
          state->address + ": the connection was closed without a stated end",
          true, false);
    }
    co_return response;
  }
}

}  // namespace sapphire::http
