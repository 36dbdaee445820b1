/** @file exchange_base.h Sends a request to one engine, relays its answer. */
#ifndef SAPPHIRE_SERVING_EXCHANGE_BASE_H_
#define SAPPHIRE_SERVING_EXCHANGE_BASE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "core/task_type.h"
#include "fleet/engine_type.h"
#include "http/client_base.h"
#include "http/server_base.h"
#include "serving/answer_budget_base.h"
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
  kCancelled,     ///< Ended by this entry: another engine answers the request.
};

/** How an engine's answer ended, for the log. */
struct AnswerEnd {
  /** No value if the answer broke off, or was not read to its end. */
  std::optional<http::BodyEnd> body_end;
  /** Bytes of a stream after its last complete event. */
  std::size_t partial_event_bytes = 0;
};

struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kLost;
  /** Reason of the end, for the log. */
  std::string reason;
  /** With kEngineFailed: the engine's own answer, and the memory it takes. */
  std::optional<http::Response> failure;
  std::shared_ptr<BudgetShare> failure_share;
  /** The send exceeded its time limit, or another engine has taken the request
   * because this one was silent. */
  bool timed_out = false;
  /** No connection could be made: the engine is down or cut off. */
  bool unreachable = false;
  /** The answer was given up for its size. */
  bool oversized = false;
  /** A later instance of the engine replied: the addressed one has ended. */
  bool replaced = false;
  /** The engine turned the request away and asks for rest. */
  bool asks_for_rest = false;
  /** The engine does not hold the model, contrary to what was known. */
  bool lacks_model = false;
  AnswerEnd answer_end;
  /** The answer's head carried an engine's mark, for the log. */
  bool genuine = false;
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
  /** Software version of the engines whose events the caller has of this
   * stream, also from earlier attempts; no other may go on with it. */
  std::optional<fleet::SoftwareVersion> software_version;
  EventSplitter events;
  /** Abort the sends in progress. */
  std::set<std::shared_ptr<http::Abort>> sends;
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
   * other answer, and between two parts of a stream; after it, the request is
   * also sent to another engine if possible. Zero: no limit. */
  milliseconds first_byte_silence{0};
  milliseconds pause{0};
  /** Opens a new connection, for a request that must not run twice. */
  bool fresh_connection = false;
};

/** Callbacks of a send in progress. */
struct ExchangeHooks {
  /** Called with the head of any answer, also of one that is not relayed. */
  std::function<void(const EngineAnswer& answer)> head_received =
      [](const EngineAnswer&) {};
  /** Called at most once: with the first part of a stream, or after the
   * complete body of any other answer. */
  std::function<void()> first_byte = [] {};
  /** Called before the caller receives its first event of a stream, if it has
   * none from an earlier attempt either. */
  std::function<void()> stream_begun = [] {};
  /** Called with each part of a streamed answer and at its end. */
  std::function<void()> received = [] {};
  /** Called repeatedly while the engine is silent. */
  std::function<void()> silent = [] {};
};

/** Why this entry ends a send. */
enum class StopReason {
  kNone,
  kSuperseded,  ///< The engine was silent, and another one has answered.
  kCancelled,   ///< The engine that was silent has answered after all.
};

/**
 * One send of a request to one engine: `Open`, then `Relay` if the engine has
 * taken the request. Never sends twice.
 */
class Exchange {
 public:
  /**
   * @param budget Limits what is held of answers, by this exchange and others.
   * @pre All references outlive the exchange.
   */
  Exchange(
      http::Client& engine, const EngineWire& wire,
      const CallerRequest& request, ExchangeLimits limits,
      CallerConnection& caller, const core::Clock& clock, ExchangeHooks hooks,
      const core::Executor& executor,
      std::shared_ptr<AnswerBudget> budget = std::make_shared<AnswerBudget>());
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /**
   * Sends the request and reads the head of the answer; nothing is relayed yet.
   * @return The result, if the send has ended with that.
   */
  core::Task<std::optional<ExchangeResult>> Open(SendOptions send,
                                                 bool is_stream);

  /** Relays the answer: a complete body at once, a stream event by event. */
  core::Task<ExchangeResult> Relay();

  /** Closes the connection. Nothing more is relayed. */
  void Stop(StopReason reason);

  /** @return True if the engine has answered with a success. */
  [[nodiscard]] bool succeeded() const;

  /** @return A result of this send. */
  [[nodiscard]] ExchangeResult MakeResult(ExchangeEnd end, std::string reason,
                                          bool timed_out) const;

 private:
  [[nodiscard]] std::optional<ExchangeResult> EvaluateHead() const;
  core::Task<ExchangeResult> RelayBody();
  core::Task<ExchangeResult> RelayStream();
  core::Task<ExchangeResult> SendBody(http::Response response);
  [[nodiscard]] bool MayContinueStream() const;
  [[nodiscard]] std::size_t MaxBodyBytes() const;
  std::string FaultOfPartialEvent();
  bool GoesOnPastDeadline();
  ExchangeResult GiveUpForSize(ExchangeEnd end, std::string reason);
  core::Task<std::string> Write(const std::string& bytes, bool over);
  void UpdateLongestPause();
  [[nodiscard]] std::string_view FaultOfStreamEnd(http::BodyEnd end) const;
  [[nodiscard]] ExchangeEnd EndOfBrokenStream() const;
  [[nodiscard]] milliseconds TimeToDeadline() const;

  http::Client& engine_;
  const EngineWire& wire_;
  const CallerRequest& request_;
  const ExchangeLimits limits_;
  CallerConnection& caller_;
  const core::Clock& clock_;
  const ExchangeHooks hooks_;
  const std::shared_ptr<http::Abort> abort_ = std::make_shared<http::Abort>();
  SilenceWatch watch_;
  const std::shared_ptr<AnswerBudget> budget_;
  /** Memory that an incomplete event takes. */
  BudgetShare event_share_;
  std::unique_ptr<http::ResponseStream> stream_;
  EngineAnswer answer_;
  bool is_stream_ = false;
  StopReason stopped_ = StopReason::kNone;
  AnswerEnd answer_end_;
  std::size_t relayed_ = 0;
  /** Parts read after the deadline. */
  int late_parts_ = 0;
  fleet::InstanceId addressed_;
  fleet::SoftwareVersion software_version_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_EXCHANGE_BASE_H_
