/** @file stall_watch_base.h Reports work that blocks a thread's sockets. */
#ifndef SAPPHIRE_CORE_STALL_WATCH_BASE_H_
#define SAPPHIRE_CORE_STALL_WATCH_BASE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "core/clock_base.h"
#include "core/log_base.h"

namespace sapphire::core {

/**
 * Measures work on a thread that also serves sockets: no event of any stream
 * is relayed while it runs. Not thread-safe.
 */
class StallWatch {
 public:
  /** Shortest stall that is reported. With a fifth of a core it is 25 ms of
   * wall time, a fifth of the delay that makes an event late. */
  static constexpr std::chrono::milliseconds kMinStall{5};

  using Observe =
      std::function<void(std::string_view work, std::chrono::milliseconds)>;

  /** Measures the time from its construction to its destruction. */
  class Span {
   public:
    Span(StallWatch& watch, std::string_view work)
        : watch_(watch), work_(work), began_(watch.clock_.Now()) {}
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

   private:
    StallWatch& watch_;
    const std::string_view work_;
    const SteadyTime began_;
  };

  /**
   * @param observe Called for each stall.
   * @pre `clock` and `log` outlive the watch.
   */
  StallWatch(Observe observe, const Clock& clock, const Logger& log);

  /** Records that work took this long, or that a timer fired this late. */
  void Record(std::string_view work, std::chrono::milliseconds took);

  /** @return The number of stalls so far. */
  [[nodiscard]] std::int64_t stalls() const { return stalls_; }

 private:
  const Observe observe_;
  const Clock& clock_;
  const Logger& log_;
  std::int64_t stalls_ = 0;
  std::optional<SteadyTime> last_logged_;
};

}  // namespace sapphire::core

#endif  // SAPPHIRE_CORE_STALL_WATCH_BASE_H_
