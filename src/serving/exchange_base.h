/** @file exchange_base.h Sends a request to one engine, relays its answer. */
#ifndef SAPPHIRE_SERVING_EXCHANGE_BASE_H_
#define SAPPHIRE_SERVING_EXCHANGE_BASE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock_base.h"
#include "core/task_type.h"
#include "http/client_base.h"
#include "http/server_base.h"
#include "serving/caller_type.h"
#include "serving/event_splitter_base.h"
#include "serving/silence_watch_base.h"

namespace sapphire::serving {

/** How a send ended. */
enum class ExchangeEnd {
  kServed,        ///< The caller has the complete answer.
  kEngineFailed,  ///< A complete answer that reports a failure; not relayed
                  ///< yet.
  kNotRun,        ///< Certainly not run: refused, or never sent.
  kLost,          ///< Nothing relayed; the request may have run.
  kCutMidway,     ///< Part of the stream was relayed; the rest was lost.
  kCallerLeft,    ///< The caller has closed its connection.
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kLost;
  /** Reason of the end, for the log. */
  std::string reason;
  /** With kEngineFailed: the engine's own answer. */
  std::optional<http::Response> failure;
  /** The send exceeded its time limit or was given up because the engine was
   * silent. */
  bool timed_out = false;
  /** No connection could be made: the engine is down or cut off. */
  bool unreachable = false;
  /** A later instance of the engine replied: the addressed one has ended. */
  bool replaced = false;
  /** The engine does not hold the model, contrary to what was known. */
  bool lacks_model = false;
  /** How long the engine was silent when the send ended, for the log. */
  SilenceReport silence;
  /** Bytes of this send's answer that were written to the caller. */
  std::size_t relayed = 0;
};

/** The caller's connection and what was sent on it, over all sends. */
struct CallerConnection {
  CallerConnection(http::ResponseWriter& caller,
                   std::optional<std::int64_t> last_event)
      : writer(caller), events(last_event) {}

  http::ResponseWriter& writer;
  /** True once the head of a streamed answer has been sent to the caller. */
  bool begun = false;
  bool left = false;
  EventSplitter events;
  /** Aborts the send in progress. */
  std::shared_ptr<http::Abort> abort;
  /** When the last part of a stream was relayed, and the longest pause between
   * two parts so far, over all sends. */
  core::SteadyTime last_part;
  milliseconds longest_pause{0};
};

/** Limits of one send. */
struct ExchangeLimits {
  /** Time by which the caller must have its final answer. */
  core::SteadyTime deadline;
  /** Longest usual silence before the first byte of a stream or the end of any
   * other answer, and between two parts of a stream; after it, another engine
   * is tried if possible. Zero: no limit. */
  milliseconds first_byte_silence{0};
  milliseconds pause{0};
  /** Opens a new connection, for a request that must not run twice. */
  bool fresh_connection = false;
};

/** Callbacks of a send in progress. */
struct ExchangeHooks {
  /** Called with the head of an answer of the engine. */
  std::function<void(const EngineAnswer& answer)> head_received =
      [](const EngineAnswer&) {};
  /** Called at most once: with the first part of a stream, or after the
   * complete body of any other answer. */
  std::function<void()> first_byte;
  /** Called with each part of a streamed answer. */
  std::function<void()> received;
  /** Called while the engine is silent; returns true to give the send up. */
  std::function<bool()> should_give_up;
};

/** Sends a request to an engine and relays its answer: a complete body at once,
 * a stream event by event. Never sends twice. */
core::Task<ExchangeResult> RunExchange(
    http::Client& engine, const EngineWire& wire, const CallerRequest& request,
    SendOptions send, ExchangeLimits limits, bool is_stream,
    CallerConnection& caller, const core::Clock& clock, ExchangeHooks hooks);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_EXCHANGE_BASE_H_
