/** @file client_base.h A small HTTP/1.1 client. */
#ifndef SAPPHIRE_HTTP_CLIENT_BASE_H_
#define SAPPHIRE_HTTP_CLIENT_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
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

/** Ends an exchange from outside, at any point of it, by closing its
 * connection. Used on the thread that runs the exchange. */
class Abort {
 public:
  /** Closes the connection, now or as soon as there is one. */
  void Now();
  [[nodiscard]] bool requested() const { return requested_; }

  /** For the exchange: what closes it; null once it is over. */
  void Attach(std::function<void()> close);

 private:
  bool requested_ = false;
  std::function<void()> close_;
};

struct OpenOptions {
  /** Until the head of the answer is read, connecting included. */
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds connect_timeout{30'000};
  /** Never on a kept connection: it may be closed just as the request is sent,
   * and then nobody can say whether the request has run. */
  bool fresh_connection = false;
  std::shared_ptr<Abort> abort;
};

struct ClientOptions {
  /** Far below the time after which servers close idle connections: a request
   * is not sent into a connection that is just being closed. A shorter
   * `Keep-Alive` of the server goes before it. */
  std::chrono::milliseconds max_idle_time{5000};
};

/** Calls one server. Keeps idle connections for reuse; safe on many threads. */
class Client {
 public:
  /** @param address "ip:port". */
  explicit Client(std::string address, ClientOptions options = {});
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
  core::Task<std::unique_ptr<ResponseStream>> Open(Request request,
                                                   OpenOptions options);

  /**
   * Closes the idle connections. For a caller whose call was not answered: what
   * has silenced one connection has often silenced all, and each would cost
   * another call its time limit.
   */
  void DropIdle();

  /** @return Connections opened so far. */
  [[nodiscard]] std::int64_t connections_opened() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_CLIENT_BASE_H_
