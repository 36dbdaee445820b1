/** @file send_limits.cc Computes the time limits of a send. */
#include <algorithm>

#include "serving/send_limits_func.h"

namespace sapphire::serving {

using routing::RequestKind;

namespace {

/** Time after the deadline within which the engine's own timeout answer
 * arrives. */
constexpr milliseconds kDeadlineGrace{80};
/** A stream that is silent for this long after its start moves to another
 * engine if possible: ten times the usual pause of a full engine, and less than
 * callers tolerate. */
constexpr milliseconds kMaxStreamSilence{1500};
/** A request whose first byte is later than this many objectives and
 * kFirstByteSlack moves to another engine if possible. */
constexpr int kObjectivesToFirstByte = 2;
constexpr milliseconds kFirstByteSlack{500};
/** Share of the time left for the first attempt of an idempotent request. */
constexpr double kFirstAttemptShare = 0.5;

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
    limits.pause = kMaxStreamSilence;
    return limits;
  }
  const auto share = static_cast<milliseconds::rep>(
      static_cast<double>(state.left.count()) * kFirstAttemptShare);
  limits.first_byte_silence = milliseconds(share);
  return limits;
}

}  // namespace sapphire::serving
