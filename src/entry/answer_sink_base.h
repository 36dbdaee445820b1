/** @file answer_sink_base.h Where an answer goes as it comes. */
#ifndef SAPPHIRE_ENTRY_ANSWER_SINK_BASE_H_
#define SAPPHIRE_ENTRY_ANSWER_SINK_BASE_H_

#include <memory>
#include <string>

#include "core/task_type.h"
#include "gen/link_types.h"
#include "http/server_base.h"
#include "link/link_base.h"

namespace sapphire::entry {

/** Takes one answer: a head, parts, an end. */
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  virtual core::Task<> Head(gen::RunHead head) = 0;
  virtual core::Task<> Part(std::string data) = 0;
  virtual core::Task<> End() = 0;

  /** Forgets what came so far. @pre Not started(). */
  virtual void Reset() = 0;

  /** @return True once something was passed on that can't be taken back: the
   * request can't be tried again without the receiver noticing. */
  [[nodiscard]] virtual bool started() const = 0;

  /** @return True if nobody waits for the answer any more. Any thread. */
  [[nodiscard]] virtual bool abandoned() const { return false; }
};

/**
 * Passes an answer on to an HTTP caller. A streamed one goes out from its first
 * part on; any other is held until it is whole, so that it can be tried again,
 * unless it grows over a limit.
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
  [[nodiscard]] bool abandoned() const override { return writer_.CallerGone(); }

 private:
  [[nodiscard]] http::ResponseHead MakeHead() const;

  http::ResponseWriter& writer_;
  const std::string request_id_;
  const bool stream_;
  gen::RunHead head_;
  std::string held_;
};

/** Passes an answer on over a link, numbered so that a gap shows. */
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
