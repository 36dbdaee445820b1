/** @file client_base.h A small HTTP/1.1 client. */
#ifndef SAPPHIRE_HTTP_CLIENT_BASE_H_
#define SAPPHIRE_HTTP_CLIENT_BASE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "core/task_type.h"
#include "http/http_type.h"

namespace sapphire::http {

/** How the end of a body was recognised. */
enum class BodyEnd {
  kStated,  ///< By its length or its last chunk: the body is complete.
  /** Only by an orderly close of the connection, which also occurs when the
   * server crashes. */
  kConnectionClosed,
};

/** A part of a body, or its end. */
using BodyPart = std::variant<std::string, BodyEnd>;

/** What a reader of a whole answer makes of BodyEnd::kConnectionClosed. */
enum class UnstatedEnd {
  kRefuse,  ///< The answer may be truncated: an error.
  /** For a reader that detects a truncated body itself, such as a parser of a
   * JSON object, or needs only the head. */
  kAccept,
};

/** An answer that is read in parts. Destroying it before the end closes the
 * connection, which cancels the request at the server. */
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;

  [[nodiscard]] virtual const ResponseHead& head() const = 0;

  /**
   * @return The next part of the body, or its end.
   * @throws TransportError if the answer is incomplete or `timeout` expires.
   * @throws OversizedAnswer if a chunk extension or the trailers exceed their
   *   limit. The body itself is unlimited.
   */
  virtual core::Task<BodyPart> Read(std::chrono::milliseconds timeout) = 0;
};

/** Aborts an exchange at any point by closing its connection. Used on the
 * thread that runs the exchange. */
class Abort {
 public:
  /** Closes the connection, immediately or as soon as there is one. */
  void Now();
  [[nodiscard]] bool requested() const { return requested_; }

  /** For the exchange. @param close Closes the connection; null once the
   * exchange has ended. */
  void Attach(std::function<void()> close);

 private:
  bool requested_ = false;
  std::function<void()> close_;
};

struct OpenOptions {
  /** Time limit until the head of the answer is read, connecting included. */
  std::chrono::milliseconds timeout{30'000};
  std::chrono::milliseconds connect_timeout{30'000};
  /** Opens a new connection instead of reusing an idle one. The server may
   * close an idle connection just as the request is sent, and then it is not
   * known whether the request has run. */
  bool fresh_connection = false;
  std::shared_ptr<Abort> abort;
};

/** Largest body of an answer that is read whole, unless stated otherwise. */
inline constexpr std::size_t kMaxFetchedBytes = 16 * 1024 * 1024;
/** The same for an engine's state, or its answer to an order. */
inline constexpr std::size_t kMaxStateBytes = 256 * 1024;

/** Parts of an answer that are still read after its time limit, if they are
 * there already: a complete answer is not given up because this process is
 * late. */
inline constexpr int kMaxLateParts = 8;

/** Limits of an answer that is read whole. */
struct FetchOptions {
  /** Time limit until the head of the answer is read, connecting included. */
  std::chrono::milliseconds head_timeout{30'000};
  /** Time limit until the next bytes of the body. */
  std::chrono::milliseconds part_timeout{30'000};
  /** Time limit of the whole exchange: also an answer that keeps coming in
   * ends. */
  std::chrono::milliseconds timeout{30'000};
  UnstatedEnd unstated = UnstatedEnd::kRefuse;
  std::size_t max_body_bytes = kMaxFetchedBytes;
};

/** @return Limits of an answer that must be small and whole within `timeout`.
 */
inline FetchOptions SmallAnswer(std::chrono::milliseconds timeout,
                                UnstatedEnd unstated) {
  return {timeout, timeout, timeout, unstated, kMaxStateBytes};
}

struct ClientOptions {
  /** How long an idle connection may be reused. Far below the time after which
   * servers close idle connections, so that no request is sent on one that is
   * being closed. A shorter `Keep-Alive` timeout of the server takes
   * precedence. */
  std::chrono::milliseconds max_idle_time{5000};
};

/** Client of one server. Keeps idle connections for reuse; thread-safe. */
class Client {
 public:
  /** @param address "ip:port". */
  explicit Client(std::string address, ClientOptions options = {});
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  [[nodiscard]] const std::string& address() const;

  /**
   * Sends a request and reads the whole answer. Does not retry.
   * @throws TransportError, also for an answer that is no valid HTTP, or whose
   *   end is not stated unless `unstated` accepts it, and OversizedAnswer.
   */
  core::Task<Response> Fetch(Request request, std::chrono::milliseconds timeout,
                             UnstatedEnd unstated = UnstatedEnd::kRefuse);

  /** The same, with separate time limits for the parts of the exchange. */
  core::Task<Response> Fetch(Request request, FetchOptions options);

  /**
   * Sends a request and reads the head of its answer.
   * @throws TransportError, also for a head that is no valid HTTP: a status
   *   beyond 100 to 599, 101, or a transfer coding other than "chunked".
   */
  core::Task<std::unique_ptr<ResponseStream>> Open(
      Request request, std::chrono::milliseconds timeout);
  core::Task<std::unique_ptr<ResponseStream>> Open(Request request,
                                                   OpenOptions options);

  /**
   * Closes the idle connections. To be called after a request timed out: what
   * broke one connection has often broken all, and each of them would make
   * another call time out.
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
