/** @file answer_sink_base.h Receivers of an answer, part by part. */
#ifndef SAPPHIRE_ENTRY_ANSWER_SINK_BASE_H_
#define SAPPHIRE_ENTRY_ANSWER_SINK_BASE_H_

#include <memory>
#include <string>

#include "core/task_type.h"
#include "gen/link_types.h"
#include "http/server_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

/** Receives one answer: a head, parts, an end. */
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  virtual core::Task<> Head(gen::RunHead head) = 0;
  virtual core::Task<> Part(std::string data) = 0;
  virtual core::Task<> End() = 0;

  /** Discards what was received so far. @pre Not started(). */
  virtual void Reset() = 0;

  /** @return True once something was sent irrevocably, so that the receiver
   * would notice a retry. */
  [[nodiscard]] virtual bool started() const = 0;

  /** @return True once nobody waits for the answer any more. Any thread. */
  [[nodiscard]] virtual bool abandoned() const { return false; }
};

/**
 * Sends an answer to an HTTP caller. A streamed answer is sent from its first
 * part on. Any other is buffered until it is complete, so that the request can
 * be retried, unless it exceeds a size limit.
 */
class HttpSink final : public AnswerSink {
 public:
  /** @pre `writer` outlives the sink. */
  HttpSink(http::ResponseWriter& writer, std::string request_id, bool stream);

  core::Task<> Head(gen::RunHead head) override;
  core::Task<> Part(std::string data) override;
  core::Task<> End() override;
  void Reset() override;
  [[nodiscard]] bool started() const override { return writer_.started(); }
  [[nodiscard]] bool abandoned() const override {
    return writer_.CallerDisconnected();
  }

 private:
  [[nodiscard]] http::ResponseHead MakeHead() const;

  http::ResponseWriter& writer_;
  const std::string request_id_;
  const bool stream_;
  gen::RunHead head_;
  std::string buffered_;
};

/** Sends an answer over a link, with numbered parts so that a gap is detected.
 */
class CallSink final : public AnswerSink {
 public:
  explicit CallSink(std::shared_ptr<link::Call> call);

  core::Task<> Head(gen::RunHead head) override;
  core::Task<> Part(std::string data) override;
  core::Task<> End() override;
  void Reset() override {}
  [[nodiscard]] bool started() const override { return started_; }
  [[nodiscard]] bool abandoned() const override { return call_->ended(); }

 private:
  const std::shared_ptr<link::Call> call_;
  bool started_ = false;
  gen::RunEnd totals_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ANSWER_SINK_BASE_H_
