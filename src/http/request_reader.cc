/** @file request_reader.cc Reads one request from a connection, within its
 * limits and the memory that is left. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <tuple>
#include <utility>

#include "http/request_reader_base.h"

namespace sapphire::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::http::error;
using core::Task;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxChunkExtensionBytes = 4 * 1024;
/** Beast throws within the event loop at a field of 64 KB. */
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
/** Chunks that are parsed before other connections have their turn: a buffer
 * may hold 3,000 chunks of a byte, but fewer than this many of 1 KB. */
constexpr int kMaxElementsPerTurn = 64;
/** Buffer that a connection keeps between two requests. */
constexpr std::size_t kKeptBytes = 4 * 1024;
/** A request's head is held by the server, by its handler and by the send to an
 * engine. */
constexpr std::size_t kHeadCopies = 3;
/** A refused caller returns after the stalled requests have been given up. */
constexpr std::chrono::milliseconds kRetryAfter{1000};

void CheckChunkHeader(std::uint64_t /*size*/, beast::string_view extensions,
                      beast::error_code& ec) {
  if (extensions.size() > kMaxChunkExtensionBytes) ec = error::header_limit;
}

Request FromBeast(beast::http::request<GrowingBody>&& in) {
  Request request;
  request.method = std::string(in.method_string());
  request.target = std::string(in.target());
  for (const auto& field : in) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(in.body());
  return request;
}

std::size_t HeadBytesOf(const Request& request) {
  std::size_t bytes = request.target.size();
  for (const Header& it : request.headers) {
    bytes += sizeof(Header) + it.name.size() + it.value.size();
  }
  return bytes;
}

/** @return The largest buffer that a request may need: what is in it is a head,
 * a chunk's header, the trailers or a part of the body. */
std::size_t MaxUnparsed(const ServerLimits& limits, std::size_t received) {
  const std::size_t needed = limits.max_header_bytes + kMaxChunkExtensionBytes;
  return std::max(std::min(needed, kMaxUnparsedBytes), received);
}

}  // namespace

RequestReader::RequestReader(beast::tcp_stream& stream, beast::flat_buffer& buf,
                             const ServerLimits& limits, RequestShare& share)
    : stream_(stream),
      buf_(buf),
      limits_(limits),
      share_(share),
      check_chunk_header_(CheckChunkHeader) {
  parser_.on_chunk_header(check_chunk_header_);
  parser_.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser_.body_limit(limits_.max_body_bytes);
  buf_.max_size(MaxUnparsed(limits_, buf_.size()));
}

Task<ReadResult> RequestReader::Read(std::function<void()> head_read) {
  auto ec = co_await ReadHead();
  if (!ec) {
    head_read();
    ec = co_await ReadBody();
  }
  if (ec) co_return Explain(ec);
  co_return Take();
}

Task<beast::error_code> RequestReader::ReadHead() {
  const auto end = std::chrono::steady_clock::now() + limits_.read_timeout;
  beast::error_code ec;
  while (!ec && !parser_.is_header_done()) {
    ec = co_await ReadPart(end);
  }
  if (!ec && !HasRoomForBody()) ec = error::body_limit;
  if (!ec && parser_.get()[beast::http::field::expect] == "100-continue") {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    std::size_t n = 0;
    std::tie(ec, n) =
        co_await asio::async_write(stream_, asio::buffer(kContinue), kTuple);
  }
  co_return ec;
}

Task<beast::error_code> RequestReader::ReadBody() {
  const auto end = std::chrono::steady_clock::now() + limits_.read_timeout;
  beast::error_code ec;
  while (!ec && !parser_.is_done()) {
    ec = co_await ReadPart(end);
    const bool is_more_buffered = !ec && !parser_.is_done() && buf_.size() > 0;
    if (is_more_buffered) {
      co_await asio::post(stream_.get_executor(), asio::use_awaitable);
    }
  }
  co_return ec;
}

/** Parses what has arrived, up to the end of the head and for one turn. */
beast::error_code RequestReader::Parse() {
  const bool in_head = !parser_.is_header_done();
  beast::error_code ec = error::need_more;
  for (int i = 0; i < kMaxElementsPerTurn && buf_.size() > 0; ++i) {
    const std::size_t n = parser_.put(buf_.data(), ec);
    buf_.consume(n);
    parsed_ += n;
    if (ec || parser_.is_done()) break;
    if (in_head && parser_.is_header_done()) break;
  }
  return ec;
}

/** Parses what has arrived, or reads more if that is not enough. Beast's own
 * read would go on until it can parse, whatever the buffer then takes. A timer
 * does not end a request whose next bytes are always there. */
Task<beast::error_code> RequestReader::ReadPart(
    std::chrono::steady_clock::time_point end) {
  beast::error_code ec = Parse();
  if (ec == error::need_more) {
    ec = co_await Receive(end);
  }
  if (ec) co_return ec;
  const std::size_t held = buf_.capacity() + parser_.get().body().capacity();
  if (!share_.Resize(held, received())) {
    lacks_memory_ = true;
    co_return error::body_limit;
  }
  if (!parser_.is_done() && std::chrono::steady_clock::now() >= end) {
    co_return beast::error::timeout;
  }
  co_return beast::error_code();
}

Task<beast::error_code> RequestReader::Receive(
    std::chrono::steady_clock::time_point end) {
  const std::size_t bytes = beast::read_size(buf_, kMaxUnparsedBytes);
  if (bytes == 0) co_return error::buffer_overflow;
  stream_.expires_at(end);
  const auto [ec, n] =
      co_await stream_.async_read_some(buf_.prepare(bytes), kTuple);
  buf_.commit(n);
  if (ec == asio::error::eof) co_return error::end_of_stream;
  co_return ec;
}

/** @return False if a body of the announced length can't be held now. */
bool RequestReader::HasRoomForBody() {
  const auto length = parser_.content_length_remaining();
  if (!length) return true;
  lacks_memory_ =
      !share_.HasRoom(buf_.capacity() + static_cast<std::size_t>(*length));
  return !lacks_memory_;
}

ReadResult RequestReader::Explain(const beast::error_code& ec) const {
  using core::Error;
  using core::ErrorCode;
  ReadResult result;
  if (lacks_memory_ || share_.given_up()) {
    const bool is_slow = share_.given_up();
    result.refused_by = is_slow ? RefusalReason::kSlow : RefusalReason::kMemory;
    result.failure.emplace(ErrorCode::kNoRequestMemory,
                           is_slow ? "read too slowly" : "", kRetryAfter);
  } else if (ec == error::header_limit || ec == error::buffer_overflow) {
    result.refused_by = RefusalReason::kHead;
    result.failure.emplace(ErrorCode::kHeaderTooLarge, ec.message());
  } else if (ec == error::body_limit) {
    result.refused_by = RefusalReason::kBody;
    result.failure.emplace(ErrorCode::kBodyTooLarge, ec.message());
  } else if (ec.category() == make_error_code(error::bad_method).category() &&
             ec != error::end_of_stream && ec != error::partial_message) {
    result.failure.emplace(ErrorCode::kMalformedRequest, ec.message());
  }
  return result;
}

/** Takes the request out of the parser. */
ReadResult RequestReader::Take() {
  ReadResult result;
  result.version = parser_.get().version();
  result.keep_alive = parser_.keep_alive();
  const std::size_t body_bytes = parser_.get().body().capacity();
  Request request = FromBeast(parser_.release());
  if (buf_.size() == 0 && buf_.capacity() > kKeptBytes) buf_.shrink_to_fit();
  const std::size_t held =
      buf_.capacity() + body_bytes + kHeadCopies * HeadBytesOf(request);
  if (share_.Complete(held)) {
    result.request = std::move(request);
  } else {
    lacks_memory_ = true;
    result = Explain(error::body_limit);
  }
  return result;
}

std::string RequestReader::request_id() const {
  if (!parser_.is_header_done()) return "";
  return std::string(parser_.get()["X-Request-Id"]);
}

}  // namespace sapphire::http
