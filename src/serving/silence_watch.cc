/** @file silence_watch.cc Reports engines that are silent. */
#include <utility>

#include "serving/silence_watch_base.h"

namespace sapphire::serving {

namespace {

/** Pause between two reports of a silence: endpoints
 * report a loaded model within this time. */
constexpr std::chrono::milliseconds kRecheckInterval{200};
/** A timer that is handled later than this was held up by a busy event loop. */
constexpr std::chrono::milliseconds kMaxTimerDelay{5};

}  // namespace

/** Shared with the timer's handler, which may run after the watch has ended. */
struct SilenceWatch::State : std::enable_shared_from_this<State> {
  State(const core::Executor& executor, std::function<void()> report,
        const core::Clock& steady_clock)
      : timer(executor),
        silent(std::move(report)),
        clock(steady_clock),
        last_received(clock.Now()) {}

  void Wait(std::chrono::milliseconds time) {
    timer.expires_after(time);
    due = clock.Now() + time;
    timer.async_wait(
        [self = shared_from_this(), wait = ++waits](const auto& ec) {
          // A wait that has expired can't be cancelled any more, only ignored.
          const bool is_last = wait == self->waits;
          if (!ec && !self->over && is_last) self->Check();
        });
  }

  void Check() {
    timer_delay = Since(due);
    // The engine may have answered while the loop was busy.
    const bool was_busy = timer_delay > kMaxTimerDelay;
    if (was_busy && !std::exchange(caught_up, true)) {
      Wait(kCatchUpTime);
      return;
    }
    caught_up = false;
    Wait(kRecheckInterval);
    silent();
  }

  [[nodiscard]] std::chrono::milliseconds Since(core::SteadyTime time) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock.Now() -
                                                                 time);
  }

  boost::asio::steady_timer timer;
  int waits = 0;
  const std::function<void()> silent;
  const core::Clock& clock;
  core::SteadyTime last_received;
  core::SteadyTime due;
  std::chrono::milliseconds limit{0};
  std::chrono::milliseconds timer_delay{0};
  /** True if the wait in progress is the one after a delayed timer. */
  bool caught_up = false;
  bool over = false;
};

SilenceWatch::SilenceWatch(const core::Executor& executor,
                           std::function<void()> silent,
                           const core::Clock& clock)
    : state_(std::make_shared<State>(executor, std::move(silent), clock)) {}

SilenceWatch::~SilenceWatch() {
  state_->over = true;
  state_->timer.cancel();
}

void SilenceWatch::Restart(std::chrono::milliseconds silence) {
  state_->last_received = state_->clock.Now();
  state_->limit = silence;
  state_->caught_up = false;
  if (state_->over || silence.count() == 0) return;
  state_->Wait(silence);
}

SilenceReport SilenceWatch::Report() const {
  return {state_->Since(state_->last_received), state_->limit,
          state_->timer_delay};
}

}  // namespace sapphire::serving
