/** @file request_reader_base.h Reads one request from a connection, within its
 * limits and the memory that is left. */
#ifndef SAPPHIRE_HTTP_REQUEST_READER_BASE_H_
#define SAPPHIRE_HTTP_REQUEST_READER_BASE_H_

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "core/task_type.h"
#include "http/http_type.h"
#include "http/request_budget_base.h"
#include "http/server_base.h"

namespace sapphire::http {

/** A Beast body whose memory grows as bytes arrive, whatever was announced. */
struct GrowingBody {
  using value_type = std::string;

  // Beast requires this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::beast::error_code& ec) {
      if (length) length_ = static_cast<std::size_t>(*length);
      ec = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& ec) {
      const std::size_t bytes = boost::beast::buffer_bytes(buffers);
      const std::size_t needed = body_.size() + bytes;
      if (needed > body_.capacity()) {
        const std::size_t capacity = std::max(needed, needed + needed / 2);
        SetCapacity(body_, std::max(needed, std::min(capacity, length_)));
      }
      for (const auto it : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(it.data()), it.size());
      }
      ec = {};
      return bytes;
    }

    void finish(boost::beast::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
    std::size_t length_ = SIZE_MAX;
  };
};

/** How the reading of a request ended. */
struct ReadResult {
  /** Nothing unless it was read whole. */
  std::optional<Request> request;
  /** HTTP version of the request, as 10 or 11. */
  unsigned version = 0;
  bool keep_alive = false;
  /** Otherwise the limit that refused it, if one did. */
  std::optional<RefusalReason> refused_by;
  /** What to answer then; nothing if the caller has left or took too long. */
  std::optional<core::Error> failure;
};

/** Reads one request. */
class RequestReader {
 public:
  /** @pre All references outlive the reader. */
  RequestReader(boost::beast::tcp_stream& stream,
                boost::beast::flat_buffer& buf, const ServerLimits& limits,
                RequestShare& share);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /** Reads a request. The share is then what the request occupies until its
   * answer is over. May be called once.
   * @param head_read Called after the head. */
  core::Task<ReadResult> Read(std::function<void()> head_read);

  /** @return Bytes of the request that were received, for the log. */
  [[nodiscard]] std::size_t received() const { return parsed_ + buf_.size(); }
  /** @return The id of a request that was not read whole, if it is known. */
  [[nodiscard]] std::string request_id() const;

 private:
  using Parser = boost::beast::http::request_parser<GrowingBody>;

  core::Task<boost::beast::error_code> ReadHead();
  core::Task<boost::beast::error_code> ReadBody();
  boost::beast::error_code Parse();
  core::Task<boost::beast::error_code> ReadPart(
      std::chrono::steady_clock::time_point end);
  core::Task<boost::beast::error_code> Receive(
      std::chrono::steady_clock::time_point end);
  [[nodiscard]] bool HasRoomForBody();
  ReadResult Take();
  [[nodiscard]] ReadResult Explain(const boost::beast::error_code& ec) const;

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buf_;
  const ServerLimits limits_;
  RequestShare& share_;
  /** The parser refers to it. */
  void (*check_chunk_header_)(std::uint64_t, boost::beast::string_view,
                              boost::beast::error_code&);
  Parser parser_;
  std::size_t parsed_ = 0;
  bool lacks_memory_ = false;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_REQUEST_READER_BASE_H_
