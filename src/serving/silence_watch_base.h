/** @file silence_watch_base.h Reports engines that are silent. */
#ifndef SAPPHIRE_SERVING_SILENCE_WATCH_BASE_H_
#define SAPPHIRE_SERVING_SILENCE_WATCH_BASE_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "core/clock_base.h"
#include "core/task_type.h"

namespace sapphire::serving {

/** Wait after a delayed timer: what arrived while the event loop was busy is
 * handled within it. */
inline constexpr std::chrono::milliseconds kCatchUpTime{20};

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
 * Reports that an engine is silent, again and again until it sends something.
 * Silence alone does not end a send: a busy engine may only pause.
 */
class SilenceWatch {
 public:
  /** @param silent Called while the engine is silent. */
  SilenceWatch(const core::Executor& executor, std::function<void()> silent,
               const core::Clock& clock);
  ~SilenceWatch();
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;

  /**
   * Starts the wait anew, when a request was sent or the engine has answered.
   * @param silence How long the engine may be silent; zero: without limit.
   */
  void Restart(std::chrono::milliseconds silence);

  [[nodiscard]] SilenceReport Report() const;

 private:
  struct State;
  const std::shared_ptr<State> state_;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_SILENCE_WATCH_BASE_H_
