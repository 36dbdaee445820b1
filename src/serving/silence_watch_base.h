/** @file silence_watch_base.h Gives up a send whose engine is silent. */
#ifndef SAPPHIRE_SERVING_SILENCE_WATCH_BASE_H_
#define SAPPHIRE_SERVING_SILENCE_WATCH_BASE_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "core/clock_base.h"
#include "core/task_type.h"

namespace sapphire::serving {

/** What a watch knows of the current silence, for the log. */
struct SilenceReport {
  /** Time since the engine last sent something; until then, since the send. */
  std::chrono::milliseconds silent{0};
  /** How long the engine may be silent; zero: without limit. */
  std::chrono::milliseconds limit{0};
  /** How much later than due the last timer of the watch was handled: the time
   * for which the event loop was busy. */
  std::chrono::milliseconds timer_delay{0};
};

/**
 * Calls `should_give_up` while an engine is silent.
 *
 * Silence alone does not end a send: a busy engine may only pause. The call is
 * repeated until another engine can take over or the engine sends again.
 */
class SilenceWatch {
 public:
  /** @param should_give_up Called while the engine is silent. When it returns
   * true, `abort` is called and the watch ends. */
  SilenceWatch(const core::Executor& executor,
               std::function<bool()> should_give_up,
               std::function<void()> abort, const core::Clock& clock);
  ~SilenceWatch();
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;

  /**
   * Starts the wait anew, when a request was sent or the engine has answered.
   * @param silence How long the engine may be silent; zero: without limit.
   */
  void Restart(std::chrono::milliseconds silence);

  /** @return True if the send was given up. */
  [[nodiscard]] bool gave_up() const;

  [[nodiscard]] SilenceReport Report() const;

 private:
  struct State;
  const std::shared_ptr<State> state_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_SILENCE_WATCH_BASE_H_
