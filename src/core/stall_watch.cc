/** @file stall_watch.cc Reports work that blocks a thread's sockets. */
#include <utility>

#include "core/stall_watch_base.h"

namespace sapphire::core {

namespace {

/** Shortest time between two log lines. */
constexpr std::chrono::milliseconds kMinLogInterval{1000};

}  // namespace

StallWatch::Span::~Span() {
  watch_.Record(work_, std::chrono::duration_cast<std::chrono::milliseconds>(
                           watch_.clock_.Now() - began_));
}

StallWatch::StallWatch(Observe observe, const Clock& clock, const Logger& log)
    : observe_(std::move(observe)), clock_(clock), log_(log) {}

void StallWatch::Record(std::string_view work, std::chrono::milliseconds took) {
  if (took < kMinStall) return;
  ++stalls_;
  observe_(work, took);
  const SteadyTime now = clock_.Now();
  if (last_logged_ && now - *last_logged_ < kMinLogInterval) return;
  last_logged_ = now;
  log_.Event(LogLevel::kWarning, LogCategory::kProcess, "loop_held",
             {{"work", work}, {"took_ms", took}, {"so_far", stalls_}});
}

}  // namespace sapphire::core
