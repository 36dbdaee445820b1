/** @file client.cc A small HTTP/1.1 client on Beast. */
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
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
constexpr std::size_t kMaxIdle = 32;
/** Far below the time after which servers close idle connections: a request
 * is not sent into a connection that is just being closed. */
constexpr std::chrono::seconds kMaxIdleTime{5};

[[noreturn]] void Fail(const std::string& address, const beast::error_code& ec,
                       bool may_have_run) {
  throw TransportError(address + ": " + ec.message(), may_have_run,
                       ec == beast::error::timeout);
}

/** @return True if an idle connection is still open and silent. */
bool StillUsable(int fd) {
  char c = 0;
  const auto n = ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

/** Idle connections are kept as descriptors: each is taken up again on the
 * executor of the coroutine that uses it next. */
struct Client::State {
  struct Idle {
    int fd;
    core::SteadyTime since;
  };

  std::string address;
  tcp::endpoint remote;
  std::mutex mutex;
  std::vector<Idle> idle;

  ~State() {
    for (const Idle& it : idle) ::close(it.fd);
  }

  /** @return A usable idle descriptor, or -1. */
  int TakeIdle() {
    const std::lock_guard lock(mutex);
    while (!idle.empty()) {
      const Idle last = idle.back();
      idle.pop_back();
      const auto age = std::chrono::steady_clock::now() - last.since;
      if (age < kMaxIdleTime && StillUsable(last.fd)) return last.fd;
      ::close(last.fd);
    }
    return -1;
  }

  void GiveBack(tcp::socket socket) {
    beast::error_code ec;
    const int fd = socket.release(ec);
    if (ec) return;
    const std::lock_guard lock(mutex);
    if (idle.size() >= kMaxIdle) {
      ::close(fd);
      return;
    }
    idle.push_back({fd, std::chrono::steady_clock::now()});
  }
};

namespace {

class BeastStream final : public ResponseStream {
 public:
  using Recycle = std::function<void(tcp::socket)>;

  BeastStream(std::string address, beast::tcp_stream stream, Recycle recycle)
      : address_(std::move(address)),
        stream_(std::move(stream)),
        recycle_(std::move(recycle)) {
    parser_.body_limit(boost::none);
  }

  Task<> Send(const Request& request) {
    beast::http::request<beast::http::string_body> out;
    out.version(kHttp11);
    out.method_string(request.method);
    out.target(request.target);
    out.set(beast::http::field::host, address_);
    for (const Header& header : request.headers) {
      out.set(header.name, header.value);
    }
    out.body() = request.body;
    out.prepare_payload();
    const auto [ec, n] =
        co_await beast::http::async_write(stream_, out, kTuple);
    if (ec) Fail(address_, ec, true);
  }

  Task<> ReadHead() {
    const auto [ec, n] =
        co_await beast::http::async_read_header(stream_, buf_, parser_, kTuple);
    if (ec) Fail(address_, ec, true);
    head_.status = static_cast<int>(parser_.get().result_int());
    for (const auto& field : parser_.get()) {
      head_.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }

  [[nodiscard]] const ResponseHead& head() const override { return head_; }

  Task<std::optional<std::string>> Read(
      std::chrono::milliseconds timeout) override {
    while (!parser_.is_done()) {
      std::string part(kReadBytes, '\0');
      parser_.get().body().data = part.data();
      parser_.get().body().size = part.size();
      parser_.get().body().more = true;
      stream_.expires_after(timeout);
      const auto [ec, n] =
          co_await beast::http::async_read_some(stream_, buf_, parser_, kTuple);
      if (ec && ec != beast::http::error::need_buffer) Fail(address_, ec, true);
      part.resize(kReadBytes - parser_.get().body().size);
      if (!part.empty()) co_return part;
    }
    Finish();
    co_return std::nullopt;
  }

 private:
  /** Gives a connection whose answer is whole back for reuse. */
  void Finish() {
    if (!recycle_ || !parser_.keep_alive() || buf_.size() > 0) return;
    stream_.expires_never();
    std::exchange(recycle_, nullptr)(stream_.release_socket());
  }

  const std::string address_;
  beast::tcp_stream stream_;
  Recycle recycle_;
  beast::flat_buffer buf_;
  beast::http::response_parser<beast::http::buffer_body> parser_;
  ResponseHead head_;
};

}  // namespace

Client::Client(std::string address) : state_(std::make_shared<State>()) {
  state_->remote = core::ParseAddress(address);
  state_->address = std::move(address);
}

Client::~Client() = default;

const std::string& Client::address() const { return state_->address; }

Task<std::unique_ptr<ResponseStream>> Client::Open(
    Request request, std::chrono::milliseconds timeout) {
  const auto state = state_;
  const auto executor = co_await asio::this_coro::executor;
  const int fd = state->TakeIdle();
  tcp::socket socket(executor);
  if (fd >= 0) socket.assign(state->remote.protocol(), fd);
  beast::tcp_stream stream(std::move(socket));
  stream.expires_after(timeout);
  if (fd < 0) {
    const auto [ec] = co_await stream.async_connect(state->remote, kTuple);
    if (ec) Fail(state->address, ec, false);
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  auto answer = std::make_unique<BeastStream>(
      state->address, std::move(stream),
      [state](tcp::socket s) { state->GiveBack(std::move(s)); });
  co_await answer->Send(request);
  co_await answer->ReadHead();
  co_return answer;
}

Task<Response> Client::Fetch(Request request,
                             std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  const auto stream = co_await Open(std::move(request), timeout);
  Response response{stream->head(), {}};
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    const auto part =
        co_await stream->Read(std::max(left, std::chrono::milliseconds(1)));
    if (!part) co_return response;
    response.body += *part;
  }
}

}  // namespace sapphire::http
