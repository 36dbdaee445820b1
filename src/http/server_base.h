/** @file server_base.h A small HTTP/1.1 server. */
#ifndef SAPPHIRE_HTTP_SERVER_BASE_H_
#define SAPPHIRE_HTTP_SERVER_BASE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/log_base.h"
#include "core/task_type.h"
#include "http/http_type.h"

namespace sapphire::http {

/** Gives one answer: whole, or begun and written part by part. */
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  /** Sends a whole answer. @pre Nothing was sent yet. */
  virtual core::Task<> Send(Response response) = 0;

  /** Starts a chunked answer. @pre Nothing was sent yet. */
  virtual core::Task<> Begin(ResponseHead head) = 0;

  /** Sends one part. @throws TransportError if the caller is gone. */
  virtual core::Task<> Write(std::string_view data) = 0;

  /** Ends a chunked answer; without it the caller sees a cut connection. */
  virtual core::Task<> End() = 0;

  /** @return True once a byte of the answer may have been sent. */
  [[nodiscard]] virtual bool started() const = 0;

  /** @return True if the caller has closed its connection. */
  [[nodiscard]] virtual bool CallerGone() { return false; }

  /**
   * Calls `callback` once, on the connection's strand, when the caller closes
   * its connection while the handler still runs. A caller that has sent more
   * bytes meanwhile can't be watched: then only a failing write tells. An
   * empty callback ends the watch.
   */
  virtual void WhenCallerGone(std::function<void()> /*callback*/) {}
};

/** Thrown by a handler to close the connection at once, without an answer. */
class ConnectionCut final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ServerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  /** How long a connection may idle between two requests. */
  std::chrono::milliseconds idle_timeout{60'000};
  /** How long the header fields of a request, and then its body, may take. */
  std::chrono::milliseconds read_timeout{60'000};
  /** How long one write may be stuck before the caller counts as gone. */
  std::chrono::milliseconds write_timeout{30'000};
};

/**
 * Answers one request. A core::Error thrown before anything was sent becomes a
 * problem+json answer; thrown later, it cuts the connection. A ConnectionCut
 * cuts it in any case.
 */
using Handler = std::function<core::Task<>(const Request&, ResponseWriter&)>;

/** Listens on one address; each connection has a strand of its own. */
class Server {
 public:
  /**
   * @param listen_address "ip:port"; port 0 takes a free one.
   * @pre `log` outlives the server and its connections.
   * @throws core::Error kBadSettings if the address can't be listened on.
   */
  Server(const core::Executor& executor, const std::string& listen_address,
         ServerLimits limits, Handler handler, const core::Logger& log);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Begins to accept. */
  void Start();

  /** @return "ip:port" as bound. */
  [[nodiscard]] std::string address() const;

  /** Changes the limits for requests that are not yet being read. */
  void SetLimits(const ServerLimits& limits);

  /** Answers carry `Connection: close` from now on. Connections are still
   * accepted and read, so that no caller meets a closed one unannounced. */
  void AnnounceLeaving();

  /** Takes no further connections and closes idle ones; requests in progress
   * go on, with `Connection: close`. */
  void StopAccepting();

  /** @return How many requests are in progress. */
  [[nodiscard]] int in_progress() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_SERVER_BASE_H_
