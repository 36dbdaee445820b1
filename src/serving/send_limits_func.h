/** @file send_limits_func.h Computes the time limits of a send. */
#ifndef SAPPHIRE_SERVING_SEND_LIMITS_FUNC_H_
#define SAPPHIRE_SERVING_SEND_LIMITS_FUNC_H_

#include "core/clock_base.h"
#include "routing/route_type.h"
#include "serving/exchange_base.h"

namespace sapphire::serving {

/** Input for the limits of a send. */
struct SendState {
  const routing::Route* route = nullptr;
  /** Time by which the caller must have its final answer. */
  core::SteadyTime deadline;
  /** Time left until the deadline. */
  milliseconds left{0};
  /** Number of engines that may have run the request already. */
  int runs = 0;
};

/** @return The limits of a send. One that may be retried elsewhere is limited
 * to its engine's usual silence; the last one may take all the time that is
 * left. */
ExchangeLimits LimitsOfSend(const SendState& state);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_SEND_LIMITS_FUNC_H_
