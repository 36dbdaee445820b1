/** @file losses_func.h Derives from logs why requests were refused, failed or
 * late. */
#ifndef SAPPHIRE_TIMELINE_LOSSES_FUNC_H_
#define SAPPHIRE_TIMELINE_LOSSES_FUNC_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "timeline/event_type.h"

namespace sapphire::timeline {

/** How a request was lost. */
enum class LossKind { kRefused, kFailed, kLate };

/** The cause that a lost request is attributed to. */
enum class LossCause {
  kLoadFromMemory,  ///< It waited for a load from an engine's memory.
  kLoadFromDisk,    ///< It waited for a load from an engine's disk.
  kLoadFromStore,   ///< It waited for a load from the weight store.
  kLoadFailed,      ///< The latest load of its model failed.
  kAdapter,         ///< It waited for an adapter.
  kNoRoom,          ///< No engine could make room for its model.
  kNoEngine,        ///< No engine of its service could be reached.
  kSlowFirstToken,  ///< Its engine was slow with the first token.
  kPause,           ///< Its engine paused for too long between events.
  kEngineTimedOut,  ///< Its engine stopped sending or timed out.
  kConnectionLost,  ///< Its engine's connection ended before the answer did.
  kEngineError,     ///< Its engine answered with an error.
  kRetried,         ///< It was late after its first engine failed.
  kEntryShutdown,   ///< Its entry was shutting down.
  kNotConfigured,   ///< Its entry had no configuration yet.
  kCrashesEngines,  ///< It had crashed engines before.
  kCallerLeft,      ///< Its caller disconnected while it was being served.
  kUnknown,         ///< The logs do not show the cause.
};

/** @return The cause's name, as tables and JSON show it. */
std::string_view NameOf(LossCause cause);
std::string_view NameOf(LossKind kind);

struct Loss {
  core::RequestId request;
  std::string route;
  LossKind kind = LossKind::kFailed;
  LossCause cause = LossCause::kUnknown;
  /** When it ended. */
  core::WallTime time;
  std::chrono::milliseconds took{0};
};

/** Lost requests, and the number of all requests. */
struct LossReport {
  std::vector<Loss> losses;
  /** Requests that ended, lost or not. */
  int requests = 0;
};

/**
 * Attributes every request that was refused, failed or late to one cause, from
 * the events of all processes. Invalid requests, which no route serves, are not
 * counted.
 * @param events Sorted by time.
 */
LossReport AnalyseLosses(const std::vector<Event>& events);

/** @return Tables of losses by route and cause, and by second. */
std::string RenderLosses(const LossReport& report);

/** @return A JSON document with each loss and the number of requests. */
std::string RenderLossesJson(const LossReport& report);

/** @return A bar chart of losses per second, stacked by cause. */
std::string RenderLossesSvg(const LossReport& report);

/** @return Whole seconds since the first loss of the report. */
std::int64_t SecondOf(const Loss& loss, const LossReport& report);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_LOSSES_FUNC_H_
