/** @file http_type.h HTTP requests and answers, and helpers for them. */
#ifndef SAPPHIRE_HTTP_HTTP_TYPE_H_
#define SAPPHIRE_HTTP_HTTP_TYPE_H_

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "http/body_type.h"

namespace sapphire::http {

struct Header {
  std::string name;
  std::string value;
};

/** @return True if two names of header fields are the same, ignoring the case
 * of ASCII letters. */
bool SameName(std::string_view a, std::string_view b);

/** @return The first value of the header field `name`, ignoring case. */
std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name);

struct Request {
  std::string method = "GET";
  /** Path and query, encoded as on the wire. */
  std::string target = "/";
  std::vector<Header> headers;
  Body body;
};

/** Status and header fields. The server sets Content-Length and
 * Transfer-Encoding. */
struct ResponseHead {
  int status = 200;
  std::vector<Header> headers;
  /** Makes the server send a body with neither a length nor chunks, which ends
   * with the connection. For stand-ins of other servers. */
  bool ends_with_connection = false;
};

struct Response {
  ResponseHead head;
  std::string body;
};

/** An exchange over HTTP failed below HTTP: the connection was not made, broke
 * or timed out. */
class TransportError : public std::runtime_error {
 public:
  TransportError(const std::string& what, bool may_have_run, bool timed_out)
      : std::runtime_error(what),
        may_have_run_(may_have_run),
        timed_out_(timed_out) {}

  /** @return False only if no byte of the request was sent. */
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }
  [[nodiscard]] bool timed_out() const { return timed_out_; }

 private:
  bool may_have_run_;
  bool timed_out_;
};

/** An answer exceeds a limit of its size. Its connection is closed. */
class OversizedAnswer final : public TransportError {
 public:
  using TransportError::TransportError;
};

/** Makes room for `capacity` bytes in all. A string that grows by itself takes
 * up to twice its size. @pre `capacity` is at least the string's size. */
void SetCapacity(std::string& text, std::size_t capacity);

/** @return The message of an OversizedAnswer. */
std::string DescribeOversizedAnswer(std::size_t max_bytes);

/** @return The path of a target, without its query. */
std::string_view PathOf(std::string_view target);

/** @return The decoded value of a query parameter. */
std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name);

/** @return `text` with everything but unreserved characters percent-encoded. */
std::string UrlEncode(std::string_view text);

/** @return `text` with percent escapes decoded and '+' replaced by a space. */
std::string UrlDecode(std::string_view text);

/** @return An answer that holds metrics in the Prometheus text format. */
Response MetricsResponse(std::string text);

/** @return An answer with this status, content type and body. */
Response MakeResponse(int status, std::string_view content_type,
                      std::string body);

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_HTTP_TYPE_H_
