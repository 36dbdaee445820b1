/** @file cold_wait.cc Decides whether a request should wait for a model that is
 * loading. */
#include "policy/cold_wait_func.h"

namespace sapphire::policy {

namespace {

/** Fraction by which a load may take longer than expected. */
constexpr double kLoadTimeError = 0.15;
/** Time that an engine needs to start an answer. */
constexpr std::chrono::milliseconds kAnswerStartTime{30};

}  // namespace

bool IsWorthWaiting(std::chrono::milliseconds ready_in,
                    std::chrono::milliseconds left) {
  const std::chrono::duration<double, std::milli> expected = ready_in;
  return expected * (1 + kLoadTimeError) + kAnswerStartTime <= left;
}

}  // namespace sapphire::policy
