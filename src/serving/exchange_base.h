/** @file exchange_base.h One send of a request to one engine. */
#ifndef SAPPHIRE_SERVING_EXCHANGE_BASE_H_
#define SAPPHIRE_SERVING_EXCHANGE_BASE_H_

#include <chrono>
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

namespace sapphire::serving {

/** How a send ended. */
enum class ExchangeEnd {
  kServed,        ///< The caller has the whole answer.
  kEngineFailed,  ///< A whole answer that tells of a failure; not passed on
                  ///< yet.
  kNotRun,        ///< Certainly not run: refused, or never sent.
  kLost,          ///< Nothing passed on; it may have run.
  kCutMidway,     ///< Part of the stream is passed on; the rest did not come.
  kCallerLeft,    ///< The caller has closed its connection.
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kLost;
  /** For the log. */
  std::string reason;
  /** With kEngineFailed: the engine's own answer. */
  std::optional<http::Response> failure;
  /** Our own time limit ended it, or it was given up for its silence. */
  bool timed_out = false;
  /** No connection could be made: the engine is down or cut off. */
  bool unreachable = false;
  /** Another start of the engine answered: the one that was meant is gone. */
  bool replaced = false;
  /** It does not hold the model, whatever was known of it. */
  bool lacks_model = false;
};

/** The caller's side of a request, over all sends. */
struct CallerSide {
  CallerSide(http::ResponseWriter& caller,
             std::optional<std::int64_t> last_event)
      : writer(caller), events(last_event) {}

  http::ResponseWriter& writer;
  /** A part of a stream is passed on. */
  bool begun = false;
  bool left = false;
  EventSplitter events;
  /** Closes the send in progress. */
  std::shared_ptr<http::Abort> abort;
  /** When the last part of a stream was passed on, and the longest pause
   * between two parts so far, over all sends. */
  core::SteadyTime last_part;
  milliseconds longest_pause{0};
};

/** Limits of one send. */
struct ExchangeLimits {
  /** When the caller has to have its final answer. */
  core::SteadyTime deadline;
  /** Usual longest silence before the first byte, and between two parts of a
   * stream: after it, another engine is asked for. Zero: it never is. */
  milliseconds first_byte_silence{0};
  milliseconds pause{0};
  /** A request that must not run twice goes on a fresh connection. */
  bool fresh_connection = false;
};

/** What a send tells while it lasts. */
struct ExchangeHooks {
  /** Called with the head of an answer of the engine. */
  std::function<void(const EngineAnswer& answer)> answered =
      [](const EngineAnswer&) {};
  /** Called once, with the first byte of the engine's answer. */
  std::function<void()> first_byte;
  /** Called with each part of it. */
  std::function<void()> heard;
  /** Asked while the engine is silent: shall the send be given up? */
  std::function<bool()> give_up;
};

/**
 * Sends a request to an engine and passes its answer on: a whole body at once,
 * a stream event by event. Never sends twice.
 */
core::Task<ExchangeResult> RunExchange(
    http::Client& engine, const EngineWire& wire, const CallerRequest& request,
    SendOptions send, ExchangeLimits limits, bool is_stream, CallerSide& caller,
    const core::Clock& clock, ExchangeHooks hooks);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_EXCHANGE_BASE_H_
