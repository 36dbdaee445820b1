/** @file client_base.h A small HTTP/1.1 client. */
#ifndef SAPPHIRE_HTTP_CLIENT_BASE_H_
#define SAPPHIRE_HTTP_CLIENT_BASE_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "core/task_type.h"
#include "http/http_type.h"

namespace sapphire::http {

/** An answer being read part by part. Closing it ends the connection, which
 * cancels the request at the server. */
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;

  [[nodiscard]] virtual const ResponseHead& head() const = 0;

  /**
   * @return The next part of the body; nothing once the body is whole.
   * @throws TransportError if the answer is cut or `timeout` passes.
   */
  virtual core::Task<std::optional<std::string>> Read(
      std::chrono::milliseconds timeout) = 0;
};

/** Calls one server. Keeps idle connections for reuse; safe on many threads. */
class Client {
 public:
  /** @param address "ip:port". */
  explicit Client(std::string address);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  [[nodiscard]] const std::string& address() const;

  /**
   * Sends a request and reads the whole answer. Never sends it twice.
   * @throws TransportError
   */
  core::Task<Response> Fetch(Request request,
                             std::chrono::milliseconds timeout);

  /**
   * Sends a request and reads the head of its answer.
   * @throws TransportError
   */
  core::Task<std::unique_ptr<ResponseStream>> Open(
      Request request, std::chrono::milliseconds timeout);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_CLIENT_BASE_H_
