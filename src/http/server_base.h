/** @file server_base.h A small HTTP/1.1 server. */
#ifndef SAPPHIRE_HTTP_SERVER_BASE_H_
#define SAPPHIRE_HTTP_SERVER_BASE_H_

#include <array>
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

class RequestBudget;

/** Which limit refused a request or a connection. */
enum class RefusalReason {
  kHead,         ///< The largest head, chunk header or trailers.
  kBody,         ///< The largest body.
  kMemory,       ///< The memory that is left for requests.
  kSlow,         ///< The same, for the one that was read the slowest.
  kConnections,  ///< The most connections.
};
inline constexpr std::size_t kRefusalReasons = 5;
/** Refusals so far, by reason. */
using RefusalCounts = std::array<std::int64_t, kRefusalReasons>;

/** @return The name of the limit in logs and metrics. */
std::string_view NameOf(RefusalReason reason);

/** Sends one answer, either in one piece or in chunks. */
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  /** Sends a complete answer. @pre Nothing was sent yet. */
  virtual core::Task<> Send(Response response) = 0;

  /** Starts an answer in parts: in chunks, unless the caller speaks HTTP/1.0 or
   * the head says otherwise. @pre Nothing was sent yet. */
  virtual core::Task<> Begin(ResponseHead head) = 0;

  /** Sends one part. @throws TransportError if the connection is closed. */
  virtual core::Task<> Write(std::string_view data) = 0;

  /** Ends an answer in parts; without it the caller sees an incomplete one: the
   * last chunk is missing, or the connection is reset. */
  virtual core::Task<> End() = 0;

  /** @return True once a byte of the answer may have been sent. */
  [[nodiscard]] virtual bool started() const = 0;

  /** @return True if the caller has closed its connection. */
  [[nodiscard]] virtual bool CallerDisconnected() { return false; }

  /**
   * Calls `callback` once, on the connection's strand, when the caller closes
   * its connection while the handler still runs. If the caller has already sent
   * further bytes, its close is detected only by a failing write. An empty
   * callback ends the watch.
   */
  virtual void OnCallerDisconnect(std::function<void()> /*callback*/) {}
};

/** Thrown by a handler to close the connection immediately, without an answer.
 */
class ConnectionCut final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ServerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  /** How long a connection may be idle between two requests. */
  std::chrono::milliseconds idle_timeout{60'000};
  /** Time limit for reading the header of a request, and again for its body. */
  std::chrono::milliseconds read_timeout{60'000};
  /** Time limit of one write; after it the connection is closed. */
  std::chrono::milliseconds write_timeout{30'000};
  /** Beyond this many, the one that has waited longest for a request or the end
   * of a head is closed, or the new one if all have a request. */
  std::size_t max_connections = SIZE_MAX;
  /** Receive buffer of a connection, for which the kernel takes twice as much;
   * 0: as the system decides. Read when the server is created. */
  int receive_buffer_bytes = 0;
};

/** @return Limits for an address that only answers queries for readiness or
 * metrics, whose bodies are not used. */
ServerLimits MonitoringLimits();

/**
 * Handles one request. A core::Error thrown before anything was sent becomes a
 * problem+json answer; thrown later, it closes the connection. A ConnectionCut
 * always closes it.
 */
using Handler = std::function<core::Task<>(const Request&, ResponseWriter&)>;

/** Listens on one address. Each connection has its own strand. */
class Server {
 public:
  /**
   * @param listen_address "ip:port"; port 0 selects a free one.
   * @param budget Limits the memory of requests, of this server and others;
   * null: unlimited.
   * @pre `log` outlives the server and its connections.
   * @throws core::Error kBadSettings if it can't listen on the address.
   */
  Server(const core::Executor& executor, const std::string& listen_address,
         ServerLimits limits, Handler handler, const core::Logger& log,
         std::shared_ptr<RequestBudget> budget = nullptr);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Begins to accept connections. */
  void Start();

  /** @return "ip:port" as bound. */
  [[nodiscard]] std::string address() const;

  /** Sets the limits for requests whose reading has not yet begun. */
  void SetLimits(const ServerLimits& limits);

  /** From now on, answers carry `Connection: close`. Connections are still
   * accepted and read, so that none is closed without an announcement. */
  void AnnounceLeaving();

  /** Stops accepting connections and closes idle ones. Requests in progress
   * continue, and their connections are closed after the answer. */
  void StopAccepting();

  /** @return Number of requests in progress. */
  [[nodiscard]] int in_progress() const;

  /** @return What its limits have refused so far. */
  [[nodiscard]] RefusalCounts refusals() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_SERVER_BASE_H_
