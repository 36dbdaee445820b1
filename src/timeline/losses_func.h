/** @file losses_func.h Why requests were refused, failed or late, from lines.
 */
#ifndef SAPPHIRE_TIMELINE_LOSSES_FUNC_H_
#define SAPPHIRE_TIMELINE_LOSSES_FUNC_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "timeline/event_type.h"

namespace sapphire::timeline {

/** How a caller was served badly. */
enum class LossKind { kRefused, kFailed, kLate };

/** The one cause that a lost request is put down to. */
enum class LossCause {
  kLoadFromMemory,  ///< It waited for a load from an engine's memory.
  kLoadFromDisk,    ///< It waited for a load from an engine's disk.
  kLoadFromStore,   ///< It waited for a load from the weight store.
  kWakeUpFailed,    ///< The model's latest wake-up had failed.
  kAdapter,         ///< It waited for an adapter.
  kNoRoom,          ///< No engine could make room for its model.
  kNoEngine,        ///< No engine of its service could be reached.
  kSlowFirstToken,  ///< Its engine was slow with the first token.
  kPause,           ///< Its engine paused for too long between events.
  kEngineSilent,    ///< Its engine fell silent.
  kEngineBroke,     ///< Its engine's connection ended in the middle.
  kEngineError,     ///< Its engine answered with an error of its own.
  kSentAgain,       ///< It was served by a second engine, too late.
  kEntryLeaving,    ///< Its entry was about to end.
  kNotConfigured,   ///< Its entry knew no configuration yet.
  kCrashesEngines,  ///< It had crashed engines before.
  kCallerLeft,      ///< Its caller left while it was being served.
  kUnknown,         ///< The lines do not tell.
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

/** Losses and what they are to be compared with. */
struct LossAccount {
  std::vector<Loss> losses;
  /** Requests that ended, lost or not. */
  int requests = 0;
};

/**
 * Gives every request that was refused, failed or late one cause, from the
 * lines of all processes. Requests that no route allows are not counted.
 * @param events Sorted by time.
 */
LossAccount AccountLosses(const std::vector<Event>& events);

/** @return A table of routes by cause, and of seconds. */
std::string RenderLosses(const LossAccount& account);

/** @return A JSON document with each loss and the sums. */
std::string RenderLossesJson(const LossAccount& account);

/** @return Bars of seconds, stacked by cause, with a legend. */
std::string RenderLossesSvg(const LossAccount& account);

/** @return Whole seconds since the first loss of the account. */
std::int64_t SecondOf(const Loss& loss, const LossAccount& account);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_LOSSES_FUNC_H_
