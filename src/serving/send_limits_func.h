/** @file send_limits_func.h How long one send to an engine may take. */
#ifndef SAPPHIRE_SERVING_SEND_LIMITS_FUNC_H_
#define SAPPHIRE_SERVING_SEND_LIMITS_FUNC_H_

#include "core/clock_base.h"
#include "routing/route_type.h"
#include "serving/exchange_base.h"

namespace sapphire::serving {

/** What the limits of a send rest on. */
struct SendState {
  const routing::Route* route = nullptr;
  /** When the caller has to have its final answer. */
  core::SteadyTime deadline;
  /** Until then. */
  milliseconds left{0};
  /** Engines that may have run the request already. */
  int runs = 0;
};

/**
 * A send that may be tried again elsewhere goes there when its engine is silent
 * for longer than usual; the last one may take all the time that is left.
 */
ExchangeLimits LimitsOfSend(const SendState& state);

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_SEND_LIMITS_FUNC_H_
