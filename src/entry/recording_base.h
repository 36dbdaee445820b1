/** @file recording_base.h Records an answer and replays it to its followers. */
#ifndef SAPPHIRE_ENTRY_RECORDING_BASE_H_
#define SAPPHIRE_ENTRY_RECORDING_BASE_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock_base.h"
#include "core/error_type.h"
#include "core/signal_base.h"
#include "entry/answer_sink_base.h"
#include "entry/claim_type.h"

namespace sapphire::entry {

/** Records one answer and replays it from its start to each follower, also
 * while it is still arriving. Any thread. */
class Recording final : public AnswerSink {
 public:
  /** @param fingerprint Fingerprint of the request; followers must send the
   * same request. */
  explicit Recording(std::int64_t fingerprint) : fingerprint_(fingerprint) {}

  core::Task<> Head(gen::RunHead head) override;
  core::Task<> Part(std::string data) override;
  core::Task<> End() override;
  /** Never called after something was recorded: a run that has begun to answer
   * is not retried. */
  void Reset() override {}
  [[nodiscard]] bool started() const override;

  /** Ends the recording without a complete answer. */
  void Fail(core::Error error);

  /**
   * Replays the answer to `sink` as it arrives.
   * @throws core::Error the error it ended with, or kTimedOut.
   * @pre The coroutine runs on a strand.
   */
  core::Task<> Follow(AnswerSink& sink, core::SteadyTime deadline,
                      const core::Clock& clock);

  [[nodiscard]] std::int64_t fingerprint() const { return fingerprint_; }

  /** @return The complete answer, if the recording ended with one. */
  [[nodiscard]] std::optional<StoredAnswer> answer() const;

  /** @return True if the request certainly did not run and may be claimed
   * again.
   */
  [[nodiscard]] bool ended_not_run() const;

 private:
  const std::int64_t fingerprint_;
  mutable std::mutex mutex_;
  core::Signal changed_;
  std::optional<gen::RunHead> head_;
  std::vector<std::string> parts_;
  bool complete_ = false;
  std::optional<core::Error> error_;
};

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_RECORDING_BASE_H_
