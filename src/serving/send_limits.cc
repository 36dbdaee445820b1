/** @file send_limits.cc How long one send to an engine may take. */
#include <algorithm>

#include "serving/send_limits_func.h"

namespace sapphire::serving {

using routing::RequestKind;

namespace {

/** The engine's own answer to a passed deadline is on its way then. */
constexpr milliseconds kDeadlineGrace{80};
/** Without a word for this long in its middle, a stream goes on elsewhere if it
 * can: ten times the usual pause of a full engine, below what callers bear. */
constexpr milliseconds kStreamSilence{1500};
/** When a first byte is later than this many objectives, the request goes
 * elsewhere if it can. */
constexpr int kObjectivesToFirstByte = 2;
constexpr milliseconds kFirstByteSlack{500};
/** Part of the time left that the first try of an idempotent request gets. */
constexpr double kFirstTryShare = 0.5;

}  // namespace

ExchangeLimits LimitsOfSend(const SendState& state) {
  const routing::Route& route = *state.route;
  const bool is_stream = route.kind == RequestKind::kStream;
  ExchangeLimits limits;
  limits.deadline = state.deadline + kDeadlineGrace;
  limits.fresh_connection = route.kind == RequestKind::kNonIdempotent ||
                            (is_stream && !route.resumable);
  const bool last = state.runs + 1 >= route.max_engines;
  if (last || limits.fresh_connection) return limits;
  if (is_stream) {
    const milliseconds usual =
        kObjectivesToFirstByte * route.objective + kFirstByteSlack;
    limits.first_byte_silence = usual;
    limits.pause = kStreamSilence;
    return limits;
  }
  const auto share = static_cast<milliseconds::rep>(
      static_cast<double>(state.left.count()) * kFirstTryShare);
  limits.first_byte_silence = milliseconds(share);
  return limits;
}

}  // namespace sapphire::serving
