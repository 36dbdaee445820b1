/** @file hedge_type.h A second send of a request whose engine is silent. */
#ifndef SAPPHIRE_SERVING_HEDGE_TYPE_H_
#define SAPPHIRE_SERVING_HEDGE_TYPE_H_

#include <memory>
#include <optional>

#include "core/signal_base.h"
#include "serving/exchange_base.h"
#include "serving/request_sender_base.h"

namespace sapphire::serving {

enum class HedgeState {
  kPending,  ///< Its engine has neither taken nor refused the request yet.
  kDecided,
};

/**
 * A second send of a request, to another engine, while the engine of the first
 * one is silent. The first send is stopped once the hedge's engine answers; if
 * the caller has no part of the answer yet, once that engine has not refused at
 * once. The hedge is stopped once the first engine answers.
 */
struct Hedge {
  HedgeState state = HedgeState::kPending;
  /** Null until it is sent. */
  std::shared_ptr<EngineSend> send;
  /** The result, if the engine has not taken the request. */
  std::optional<ExchangeResult> failure;
  /** Notified when `state` changes after the first send has ended. */
  core::Signal decided;
};

}  // namespace sapphire::serving

#endif  // SAPPHIRE_SERVING_HEDGE_TYPE_H_
